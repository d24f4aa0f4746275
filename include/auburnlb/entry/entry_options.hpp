// Reads an entry's options from its settings.
#ifndef AUBURNLB_ENTRY_ENTRY_OPTIONS_HPP
#define AUBURNLB_ENTRY_ENTRY_OPTIONS_HPP

#include "auburnlb/entry/entry.hpp"
#include "auburnlb/state/settings.hpp"

namespace auburnlb
{

/// Returns an error that names the field if a required one is missing.
result<entry_options> read_entry_options(settings const& values);

} // namespace auburnlb

#endif
