// Generation of incarnation ids, which distinguish the runs of a process.
#ifndef AUBURNLB_TRANSPORT_INCARNATION_HPP
#define AUBURNLB_TRANSPORT_INCARNATION_HPP

#include "auburnlb/state/ids.hpp"

namespace auburnlb
{

/// Returns a random incarnation id from the operating system; never zero.
incarnation_id make_incarnation();

} // namespace auburnlb

#endif
