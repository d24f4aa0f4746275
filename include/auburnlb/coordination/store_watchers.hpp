// Selection of the routers of a data centre that watch the platform's store for
// the others, so that calls to it do not grow with the number of routers.
#ifndef AUBURNLB_COORDINATION_STORE_WATCHERS_HPP
#define AUBURNLB_COORDINATION_STORE_WATCHERS_HPP

#include <cstddef>
#include <string>
#include <vector>

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

    bool operator==(watch_candidate const&) const = default;
};

/// Number of routers that watch the store. With two, the loss of one does not
/// interrupt updates to the others.
inline constexpr std::size_t target_watchers = 2;

/// Returns whether this router is to watch the store: it is among the first
/// target_watchers routers that are not known to be cut off from the store, or
/// no other router is known to reach it.
bool is_watcher(std::string const& own_address,
                std::vector<watch_candidate> const& others);

} // namespace auburnlb

#endif
