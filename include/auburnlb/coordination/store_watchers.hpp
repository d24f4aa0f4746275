// Selection of the routers of a data centre that watch the platform's store for
// the others, so that calls to it do not grow with the number of routers.
#ifndef AUBURNLB_COORDINATION_STORE_WATCHERS_HPP
#define AUBURNLB_COORDINATION_STORE_WATCHERS_HPP

#include <cstddef>
#include <string>
#include <vector>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Whether a router reaches the store.
enum class store_reachability
{
    /// Unknown: the router does not watch, or has no response yet.
    none,
    reachable,
    unreachable,
};

char const* to_string(store_reachability reachability);
/// Returns none for an unknown text.
store_reachability parse_store_reachability(std::string const& text);

/// Another router of the data centre that has answered recently.
struct watch_candidate
{
    /// Control address. Lower addresses take precedence.
    std::string address_;
    store_reachability reachability_ = store_reachability::none;
    /// How long ago the store last answered it, as far as this router knows.
    nanoseconds answer_age_ = nanoseconds::max();

    bool operator==(watch_candidate const&) const = default;
};

/// A watcher whose last answer is older than max_answer_age() is not relied on:
/// its connection to the store may be dead without its knowledge. Two others
/// replace it at once; all of them watch if no answer is known after this time.
inline constexpr milliseconds replacement_time{500};

/// Returns how old a watcher's last answer becomes while all is well.
/// @param watch_wait how long a watch waits for a change
milliseconds max_answer_age(milliseconds watch_wait);

/// Returns how long a watch waits, so that the watches of a router's two feeds
/// end in turn and its last answer is rarely older than half a wait.
/// @param other_end when the other feed's watch ends; in the past if none waits
milliseconds staggered_wait(milliseconds watch_wait, time_point other_end,
                            time_point now);

/// Number of routers that watch the store. With two, the loss of one does not
/// interrupt updates to the others.
inline constexpr std::size_t target_watchers = 2;

/// Returns whether this router is to watch the store: it is among the first
/// target_watchers routers that may reach the store, or no other router is
/// known to reach it.
/// @param max_age age from which a watcher's last answer is too old
bool is_watcher(std::string const& own_address,
                std::vector<watch_candidate> const& others,
                milliseconds max_age);

} // namespace auburnlb

#endif
