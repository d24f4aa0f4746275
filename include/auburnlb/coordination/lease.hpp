// Leader leases by conditional update, with fencing numbers, and the check that
// refuses orders with an old fencing number.
#ifndef AUBURNLB_COORDINATION_LEASE_HPP
#define AUBURNLB_COORDINATION_LEASE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "auburnlb/coordination/store_version.hpp"
#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Kind of the platform objects that hold leases. An object has the name of the
/// leader-only task, and the holder's name as its value.
inline constexpr char lease_object_kind[] = "leases";

struct lease_limits
{
    /// How long a write holds the lease. The holder counts from before the
    /// write, the others from when they first saw its version.
    milliseconds duration_{6'000};
    /// Time between two writes of the holder.
    milliseconds renewal_interval_{2'000};
    /// The holder stops using the lease this long before it ends, so that clock
    /// rates may differ by margin_ / duration_.
    milliseconds margin_{1'000};
    /// Interval of reads while another process holds the lease, and delay after
    /// a failed call of a process that does not hold it.
    milliseconds poll_interval_{1'000};
    /// Delay after a failed call of the holder.
    milliseconds retry_interval_{500};

    bool operator==(lease_limits const&) const = default;
};

/// State of the lease of one leader-only task in one process.
struct lease_state
{
    lease_limits limits_;
    /// Holder name of this process. Unique for each run, such as name and
    /// incarnation.
    std::string self_;

    /// The object as last seen; revision zero if it was absent.
    store_version seen_version_;
    std::string seen_holder_;
    /// When seen_version_ was first seen; unset before the first read.
    std::optional<time_point> seen_since_;
    /// When the epoch of seen_version_ was first seen.
    time_point epoch_since_{};

    /// Version of the lease held; revision zero if there is none. Valid only
    /// before held_until_.
    store_version held_version_;
    time_point held_until_{};

    /// Whether a call to the platform is pending.
    bool is_waiting_ = false;
    /// When the last write was sent, and the epoch of the version that it
    /// expected.
    time_point write_sent_{};
    std::uint64_t write_epoch_ = 0;
    time_point next_call_{};
    /// The current version is unknown because a call failed.
    bool needs_read_ = false;
    /// The lease was released for a planned stop and is not taken again.
    bool is_released_ = false;
};

/// Read the lease's object and pass it to on_lease_read.
struct read_lease
{
    bool operator==(read_lease const&) const = default;
};

/// Write the holder's name if the object still has the expected version, and
/// pass the new version to on_lease_written.
struct write_lease
{
    store_version expected_version_;
    std::string holder_;

    bool operator==(write_lease const&) const = default;
};

using lease_action = std::variant<read_lease, write_lease>;
using lease_actions = std::vector<lease_action>;

/// Starts a renewal or a read if one is due.
lease_actions on_lease_tick(lease_state& state, time_point now);

/// Handles the lease's object. Revision zero means that it is absent. The
/// object of a restored store may name an earlier holder than the present one,
/// so nobody but the present one takes the lease before its duration has
/// passed.
lease_actions on_lease_read(lease_state& state, store_version const& version,
                            std::string const& holder, time_point now);

/// Handles a write that took effect with this version. If the store was
/// restored before the write, the lease is not held.
void on_lease_written(lease_state& state, store_version const& version,
                      time_point now);

/// Handles a read or write that failed or whose outcome is unknown. A conflict
/// counts as a failure.
void on_lease_failed(lease_state& state, time_point now);

/// Returns the fencing number for an order sent now, or std::nullopt if the
/// lease is not held. To be called for each order, because the lease may have
/// ended while the process was paused.
std::optional<std::uint64_t> held_fencing_number(lease_state const& state,
                                                 time_point now);

/// Ends the lease early, for a planned stop: writes its object without a
/// holder, so that another process can take the lease at once. If that write
/// fails, the lease expires after its duration.
lease_actions release_lease(lease_state& state, time_point now);

/// Whether an order may be passed on to the endpoint.
enum class order_verdict
{
    pass,
    /// The fencing number is lower than one that was seen before.
    stale,
    /// The current fencing number has not been read since the process started.
    unread,
};

/// Fencing numbers that one companion has seen, by leader-only task. A new
/// process starts without any and must read them before it passes its first
/// order, because its predecessor may have passed orders with a higher number.
struct order_gate
{
    /// Highest fencing number read or passed. Invariant: never decreases.
    std::map<std::string, std::uint64_t> highest_;

    bool operator==(order_gate const&) const = default;
};

/// Checks an order's fencing number, and records it if the order passes.
order_verdict check_order(order_gate& gate, std::string const& task,
                          std::uint64_t number);

/// Records the version of the task's lease object, as read from the platform.
void on_fencing_number_read(order_gate& gate, std::string const& task,
                            std::uint64_t version);

} // namespace auburnlb

#endif
