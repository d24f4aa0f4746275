// Finds the requests that crash the endpoints which run them, from crashes seen
// by all routers: one request that comes again, or requests that have nothing
// in common but a part of their prompts.
#ifndef AUBURNLB_COORDINATION_CRASH_CAUSES_HPP
#define AUBURNLB_COORDINATION_CRASH_CAUSES_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "auburnlb/coordination/request_fingerprint.hpp"
#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// What a request has in common with others that crash in the same way: the
/// request itself, which may come again, and the parts of its prompt that other
/// requests may share.
using request_traits = std::set<std::string>;

/// Returns the trait that only the same request has. Unlike all other traits,
/// it contains no slash.
std::string request_trait(request_fingerprint fingerprint);

bool is_request_trait(std::string const& trait);

/// Returns a trait for each part of a prompt, as all routers know it.
/// Identifiers that are too long to be exchanged are left out.
request_traits prompt_traits(std::string const& service,
                             std::vector<std::string> const& part_ids);

/// Returns the traits that parts of a prompt have in a response that has gone
/// on for some time. A part whose endpoints crash later in the response is
/// blamed by this one, since responses that only go on do not clear it.
request_traits continued_traits(request_traits const& prompt);

/// Returns the traits separated by commas.
std::string to_string(request_traits const& traits);

/// A crash and the requests that the endpoint was running, each by those of its
/// traits that may be the cause.
struct endpoint_crash
{
    time_point at_{};
    std::set<request_traits> requests_;

    bool operator==(endpoint_crash const&) const = default;
};

/// Crashes by the endpoint's run, so that a crash that several routers see
/// counts once, and the last success of each trait that is named in them.
struct crash_causes_update
{
    std::map<std::string, endpoint_crash> crashes_;
    std::map<std::string, time_point> successes_;

    bool operator==(crash_causes_update const&) const = default;
};

/// What all routers together know.
struct crash_causes
{
    struct known_crash
    {
        endpoint_crash crash_;
        /// Revision with which this router learned of it.
        std::uint64_t revision_ = 0;

        bool operator==(known_crash const&) const = default;
    };
    struct success
    {
        time_point at_{};
        /// Revision with which this router learned that it clears a trait; 0 if
        /// it clears none.
        std::uint64_t revision_ = 0;

        bool operator==(success const&) const = default;
    };

    std::map<std::string, known_crash> crashes_;
    /// The latest success of each trait: a complete response to a request with
    /// it, or for prompt_traits() one that has continued.
    std::map<std::string, success> successes_;
    /// When the latest crash was that names each trait. Invariant: follows from
    /// crashes_.
    std::unordered_map<std::string, time_point> last_crash_;
    /// Requests that have all traits of one of these are refused. Invariant:
    /// follows from crashes_ and successes_.
    std::vector<request_traits> refused_;
    /// Traits that are not refused, but close to it. Invariant: as above.
    std::set<std::string> suspects_;
    /// Rises whenever other routers have something new to learn.
    std::uint64_t revision_ = 0;

    bool operator==(crash_causes const&) const = default;
};

/// A trait that was there at this many crashes is refused.
inline constexpr std::size_t refused_after_crashes = 3;
/// A request with a trait that was there at this many crashes is not retried
/// after a failure.
inline constexpr std::size_t suspected_after_crashes = 2;

/// Counts a crash against the requests that it interrupted. Returns whether
/// anything about it is new.
bool add_crash(crash_causes& state, std::string const& endpoint_run,
               endpoint_crash const& crash);

/// Progress of the response to one attempt.
struct response_progress
{
    time_point began_at_{};
    std::uint32_t events_ = 0;

    bool operator==(response_progress const&) const = default;
};

/// Returns whether the response has gone on for so long that its prompt does
/// not crash the endpoint at once.
bool has_continued(response_progress const& progress, time_point now);

/// Returns those traits of a request that may be why its endpoint crashed now.
/// @param progress of the response; unset if it has not begun
request_traits possible_causes(request_fingerprint fingerprint,
                               request_traits const& prompt,
                               std::optional<response_progress> const& progress,
                               time_point now);

/// Returns all traits of a request by which it may be refused, and which its
/// complete response clears.
request_traits all_traits(request_fingerprint fingerprint,
                          request_traits const& prompt);

/// Records a success of requests with these traits. Returns those that crashes
/// since their last success had named.
request_traits record_success(crash_causes& state, request_traits const& traits,
                              time_point now);

/// Returns whether a request with these traits must not reach an endpoint.
bool is_refused(crash_causes const& state, request_traits const& traits);

/// What the crashes and successes so far say of a request.
enum class request_record
{
    /// It was in progress at no crash.
    clean,
    /// It was, and has never succeeded.
    unproven,
    /// It has succeeded.
    sound,
};

request_record record_of(crash_causes const& state,
                         request_fingerprint fingerprint);

/// Returns whether a request with these traits should not be tried again.
bool is_suspected(crash_causes const& state, request_traits const& traits);

/// Returns what a router has not learned yet that knows everything up to this
/// revision. A revision above the current one is of an earlier process and
/// counts as none.
crash_causes_update current_update(crash_causes const& state,
                                   std::uint64_t known_revision = 0);

/// Returns the crashes that show why requests are refused, or nearly, without
/// the other requests that they interrupted.
crash_causes_update lasting_update(crash_causes const& state);

/// Returns whether the updates show the same crashes and name the same traits
/// as sound. When those last succeeded makes no difference.
bool is_same_evidence(crash_causes_update const& left,
                      crash_causes_update const& right);

/// Returns the number of crashes that were not known before.
std::size_t merge_update(crash_causes& state, crash_causes_update const& update,
                         time_point now);

/// Forgets old crashes and successes.
void expire_crash_causes(crash_causes& state, time_point now);

} // namespace auburnlb

#endif
