// Evaluation of crashes: which traits of requests explain them.
#ifndef AUBURNLB_COORDINATION_CRASH_EVALUATION_HPP
#define AUBURNLB_COORDINATION_CRASH_EVALUATION_HPP

#include <string_view>
#include <unordered_set>

#include "auburnlb/coordination/crash_causes.hpp"

namespace auburnlb
{

/// Returns all traits that are named in the crash, as long as it lives.
std::unordered_set<std::string_view> traits_of(endpoint_crash const& crash);

/// Returns whether the request has all these traits.
bool has_all(request_traits const& request, request_traits const& traits);

/// Returns whether one of the refused traits was there at the crash.
bool is_explained(crash_causes const& state, endpoint_crash const& crash);

/// Updates refused_ and suspects_: refuses traits until none has enough
/// unexplained crashes. A crash that one trait explains does not count against
/// the sound ones beside it.
void evaluate_crashes(crash_causes& state);

} // namespace auburnlb

#endif
