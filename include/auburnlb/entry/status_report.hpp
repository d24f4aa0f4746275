// Renders the status of an entry's services and endpoints for operators.
#ifndef AUBURNLB_ENTRY_STATUS_REPORT_HPP
#define AUBURNLB_ENTRY_STATUS_REPORT_HPP

#include <string>

#include "auburnlb/entry/routing_view.hpp"

namespace auburnlb
{

/// Returns the JSON object of GET /admin/v1/status.
std::string render_status(std::string const& entry, routing_view const& view);

} // namespace auburnlb

#endif
