// An entry's options from its settings.
#ifndef AUBURNLB_ENTRY_ENTRY_OPTIONS_HPP
#define AUBURNLB_ENTRY_ENTRY_OPTIONS_HPP

#include "auburnlb/entry/entry.hpp"
#include "auburnlb/state/settings.hpp"

namespace auburnlb
{

/// An error names the field that is missing.
result<entry_options> read_entry_options(settings const& values);

} // namespace auburnlb

#endif
