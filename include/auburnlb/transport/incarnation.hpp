// What tells two runs of one process apart.
#ifndef AUBURNLB_TRANSPORT_INCARNATION_HPP
#define AUBURNLB_TRANSPORT_INCARNATION_HPP

#include "auburnlb/state/ids.hpp"

namespace auburnlb
{

/// A new incarnation from the operating system's random source; never zero.
incarnation_id make_incarnation();

} // namespace auburnlb

#endif
