// Which routers of a data centre watch the platform's store for the others, so
// that the calls to it do not grow with the routers.
#ifndef AUBURNLB_COORDINATION_STORE_WATCHERS_HPP
#define AUBURNLB_COORDINATION_STORE_WATCHERS_HPP

#include <cstddef>
#include <string>
#include <vector>

namespace auburnlb
{

/// What a router knows of its own way to the store.
enum class store_reachability
{
    /// It does not watch, or has no answer yet.
    none,
    reachable,
    unreachable,
};

char const* to_string(store_reachability contact);
/// none for any other text.
store_reachability parse_store_reachability(std::string const& text);

/// Another router of the data centre that answered a moment ago.
struct watch_candidate
{
    /// Control address; the lower one goes first.
    std::string address_;
    store_reachability reachability_ = store_reachability::none;

    bool operator==(watch_candidate const&) const = default;
};

/// Two, so that the loss of one leaves nobody behind.
inline constexpr std::size_t wanted_watchers = 2;

/// Whether this router watches the store: it is among the first of those that
/// may reach it, or no other is known to reach it.
bool is_watcher(std::string const& own_address,
                std::vector<watch_candidate> const& others);

} // namespace auburnlb

#endif
