// Requests whose run was cut off, until it is known whether their endpoint has
// crashed.
#ifndef AUBURNLB_COORDINATION_INTERRUPTED_RUNS_HPP
#define AUBURNLB_COORDINATION_INTERRUPTED_RUNS_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/coordination/crash_causes.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/endpoint_record.hpp"

namespace auburnlb
{

struct interrupted_runs
{
    struct run
    {
        std::string endpoint_run_;
        /// Where the endpoint listened.
        std::string address_;
        /// Those that may be why the endpoint crashed.
        request_traits traits_;
        time_point at_{};
        /// The endpoint has answered since, and it is not known by which run.
        bool was_answered_ = false;

        bool operator==(run const&) const = default;
    };

    std::vector<run> runs_;
    /// When each endpoint's run was found to have ended.
    std::map<std::string, time_point> ended_at_;

    bool operator==(interrupted_runs const&) const = default;
};

/// Records that a run was cut off. Returns the crash if the endpoint's run is
/// known to have ended.
std::optional<endpoint_crash>
record_interrupted_run(interrupted_runs& interrupted,
                       interrupted_runs::run const& run);

/// Returns whether the endpoint's run is known to have ended lately.
bool has_ended(interrupted_runs const& interrupted,
               std::string const& endpoint_run);

/// Returns the endpoints' runs that cut off requests at this address, and that
/// another run has taken the place of. The list may have forgotten them before.
std::vector<std::string> runs_replaced_by(interrupted_runs const& interrupted,
                                          endpoint_record const& record);

/// Called when an endpoint's run is known to have ended. Returns its crash if
/// it interrupted requests.
std::optional<endpoint_crash> confirm_crash(interrupted_runs& interrupted,
                                            std::string const& endpoint_run,
                                            time_point now);

/// Handles a sign of life that the endpoint's run gave at some time after
/// asked_at. What was cut before that was not cut by a crash. Returns the
/// number of such runs.
std::size_t dismiss_runs(interrupted_runs& interrupted,
                         std::string const& endpoint_run, time_point asked_at);

/// Handles an answer that does not tell which run of the endpoint gave it.
void record_answer(interrupted_runs& interrupted,
                   std::string const& endpoint_run, time_point asked_at);

/// Returns whether a run of the request was cut off by an endpoint that has not
/// answered since.
bool is_unresolved(interrupted_runs const& interrupted,
                   request_fingerprint fingerprint);

/// Returns whether requests were cut off by the endpoint's run after this time,
/// and it is not known whether it has ended.
bool awaits_confirmation(interrupted_runs const& interrupted,
                         std::string const& endpoint_run, time_point since);

/// Forgets runs whose endpoint was not found to have ended. Returns their
/// number.
std::size_t expire_interrupted_runs(interrupted_runs& interrupted,
                                    time_point now);

} // namespace auburnlb

#endif
