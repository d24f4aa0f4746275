// Leases of duties by conditional update, with fencing numbers, and the gate
// that refuses orders under an old number.
#ifndef AUBURNLB_COORDINATION_LEASE_HPP
#define AUBURNLB_COORDINATION_LEASE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Kind of the platform's objects that hold leases, named after the duty. The
/// value is the holder's name.
inline constexpr char lease_object_kind[] = "leases";

struct lease_limits
{
    /// How long a write keeps the lease, counted by the holder from before the
    /// write and by the others from when they first saw its version.
    milliseconds duration_{6'000};
    /// The holder writes again after this long.
    milliseconds renewal_{2'000};
    /// The holder stops itself this long before the lease ends, so that clocks
    /// may differ in speed by margin_ / duration_.
    milliseconds margin_{1'000};
    /// Interval of reads by those who wait, and after a failure.
    milliseconds poll_{1'000};

    bool operator==(lease_limits const&) const = default;
};

/// One process's view of one duty's lease.
struct lease_state
{
    lease_limits limits_;
    /// Unique for each run of a process, such as name and incarnation.
    std::string self_;

    /// The object as last seen; version zero if it was absent.
    std::uint64_t seen_version_ = 0;
    std::string seen_holder_;
    /// When this version was first seen; unset before the first read.
    std::optional<time_point> seen_since_;

    /// Number of the lease held, or zero. Valid only before held_until_.
    std::uint64_t fencing_number_ = 0;
    time_point held_until_{};

    /// Set while a call to the platform is under way.
    bool is_waiting_ = false;
    /// When the write under way was sent, and the version it expects.
    time_point write_sent_{};
    time_point next_call_{};
    /// The version to expect is not known, because a write failed.
    bool must_read_ = false;
    /// A planned stop: the lease is given up for good.
    bool is_released_ = false;
};

/// Read the lease's object and give the answer to on_lease_read.
struct read_lease
{
    bool operator==(read_lease const&) const = default;
};

/// Write the holder's name if the version is still the expected one, and give
/// the answer to on_lease_written.
struct write_lease
{
    std::uint64_t expected_version_ = 0;
    std::string holder_;

    bool operator==(write_lease const&) const = default;
};

using lease_action = std::variant<read_lease, write_lease>;
using lease_actions = std::vector<lease_action>;

lease_actions on_lease_tick(lease_state& state, time_point now);

/// Version zero: the object is absent.
lease_actions on_lease_read(lease_state& state, std::uint64_t version,
                            std::string const& holder, time_point now);

/// The write took effect as this version.
void on_lease_written(lease_state& state, std::uint64_t version,
                      time_point now);

/// A read or write failed, or its outcome is not known. A conflict counts as
/// well.
void on_lease_failed(lease_state& state, time_point now);

/// The fencing number for orders at this moment. Ask again for each order: a
/// process that was paused learns here that its lease has ended.
std::optional<std::uint64_t> held_fencing_number(lease_state const& state,
                                                 time_point now);

/// Ends the lease early, for a planned stop: its object is written without a
/// holder, which lets others in at once. If that write fails, the lease lapses
/// after its duration.
lease_actions release_lease(lease_state& state, time_point now);

/// Whether an order may pass to the endpoint.
enum class order_verdict
{
    pass,
    /// A newer holder has given orders, or is known from the platform.
    stale,
    /// This gate has not read the current number since its process began.
    unread,
};

/// Numbers that one companion knows, by duty. A new process begins without
/// any, and must read them before it passes its first order: it does not know
/// what the process before it has passed.
struct order_gate
{
    /// Highest number read or passed. Invariant: never falls.
    std::map<std::string, std::uint64_t> highest_;

    bool operator==(order_gate const&) const = default;
};

/// Decides on an order, and remembers its number if it passes.
order_verdict check_order(order_gate& gate, std::string const& duty,
                          std::uint64_t number);

/// The platform's current version of the duty's lease was read.
void on_number_read(order_gate& gate, std::string const& duty,
                    std::uint64_t version);

} // namespace auburnlb

#endif
