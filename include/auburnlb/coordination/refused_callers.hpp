// Callers that were refused and told when to return. They are recognised by the
// fingerprints of their requests: the time that a caller waits differs between
// callers, so that a shorter deadline does not show that it was refused before.
#ifndef AUBURNLB_COORDINATION_REFUSED_CALLERS_HPP
#define AUBURNLB_COORDINATION_REFUSED_CALLERS_HPP

#include <map>
#include <optional>

#include "auburnlb/coordination/request_fingerprint.hpp"
#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// A caller that was refused.
struct refused_caller
{
    time_point refused_at_{};
    /// When it was told to return.
    time_point turn_{};

    bool operator==(refused_caller const&) const = default;
};

/// The callers that this router has refused lately.
struct refused_callers
{
    std::map<request_fingerprint, refused_caller> by_fingerprint_;

    bool operator==(refused_callers const&) const = default;
};

/// Remembers a refused caller for a time after its turn. If too many are known,
/// it is forgotten: it then counts as one that arrives for the first time.
void remember_refused_caller(refused_callers& callers,
                             request_fingerprint fingerprint,
                             milliseconds retry_after, time_point now);

/// Returns what is known of the caller of a request that has arrived; unset if
/// it was not refused lately. A caller whose turn has come is forgotten, so
/// that other requests with the same fingerprint get no precedence from it.
std::optional<refused_caller>
take_refused_caller(refused_callers& callers, request_fingerprint fingerprint,
                    time_point now);

} // namespace auburnlb

#endif
