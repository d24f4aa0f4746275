// Reads a companion's options from its settings.
#ifndef AUBURNLB_COMPANION_COMPANION_OPTIONS_HPP
#define AUBURNLB_COMPANION_COMPANION_OPTIONS_HPP

#include "auburnlb/companion/companion.hpp"
#include "auburnlb/state/settings.hpp"

namespace auburnlb
{

/// Returns an error that names the field if a required one is missing.
result<companion_options> read_companion_options(settings const& values);

} // namespace auburnlb

#endif
