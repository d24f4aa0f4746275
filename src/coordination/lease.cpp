// State machine of leases, and the check of orders' fencing numbers.
#include "auburnlb/coordination/lease.hpp"

#include <algorithm>

namespace auburnlb
{

namespace
{

// Records a version of the lease's object. Does not reset seen_since_ if the
// version is the same as before.
void record_version(lease_state& state, store_version const& version,
                    std::string const& holder, time_point now)
{
    if (state.seen_since_ && state.seen_version_ == version)
    {
        return;
    }
    if (!state.seen_since_ || state.seen_version_.epoch_ != version.epoch_)
    {
        state.epoch_since_ = now;
    }
    state.seen_version_ = version;
    state.seen_holder_ = holder;
    state.seen_since_ = now;
}

// Whether the object may be a copy that is older than the lease in force.
bool may_be_older_copy(lease_state const& state, time_point now)
{
    return state.seen_version_.epoch_ > first_epoch &&
           now - state.epoch_since_ < state.limits_.duration_;
}

bool is_free(lease_state const& state, time_point now)
{
    if (held_fencing_number(state, now))
    {
        return true;
    }
    if (may_be_older_copy(state, now))
    {
        return false;
    }
    bool const is_own = state.seen_holder_ == state.self_ &&
                        state.write_epoch_ == state.seen_version_.epoch_;
    return state.seen_holder_.empty() || is_own ||
           now - *state.seen_since_ >= state.limits_.duration_;
}

lease_actions start_write(lease_state& state, std::string const& holder,
                          time_point now)
{
    state.is_waiting_ = true;
    state.write_sent_ = now;
    state.write_epoch_ = state.seen_version_.epoch_;
    return {write_lease{state.seen_version_, holder}};
}

void drop_lease(lease_state& state)
{
    state.held_version_ = {};
    state.held_until_ = time_point{};
}

} // namespace

lease_actions on_lease_tick(lease_state& state, time_point now)
{
    if (state.is_waiting_ || state.is_released_ || now < state.next_call_)
    {
        return {};
    }
    bool const is_held = held_fencing_number(state, now).has_value();
    if (is_held && !state.needs_read_)
    {
        return start_write(state, state.self_, now);
    }
    if (!is_held)
    {
        drop_lease(state);
    }
    state.is_waiting_ = true;
    return {read_lease{}};
}

lease_actions on_lease_read(lease_state& state, store_version const& version,
                            std::string const& holder, time_point now)
{
    if (version.epoch_ < state.seen_version_.epoch_)
    {
        on_lease_failed(state, now);
        return {};
    }
    state.is_waiting_ = false;
    state.needs_read_ = false;
    record_version(state, version, holder, now);
    bool const is_taken =
        holder != state.self_ && version.epoch_ == state.held_version_.epoch_;
    if (is_taken)
    {
        drop_lease(state);
    }
    if (!state.is_released_ && is_free(state, now))
    {
        return start_write(state, state.self_, now);
    }
    state.next_call_ = now + state.limits_.poll_interval_;
    return {};
}

void on_lease_written(lease_state& state, store_version const& version,
                      time_point now)
{
    state.is_waiting_ = false;
    if (state.is_released_)
    {
        return;
    }
    if (version.epoch_ != state.write_epoch_)
    {
        on_lease_failed(state, now);
        return;
    }
    state.next_call_ = state.write_sent_ + state.limits_.renewal_interval_;
    record_version(state, version, state.self_, now);
    state.held_version_ = version;
    state.held_until_ =
        state.write_sent_ + state.limits_.duration_ - state.limits_.margin_;
}

void on_lease_failed(lease_state& state, time_point now)
{
    state.is_waiting_ = false;
    state.needs_read_ = true;
    state.next_call_ =
        now + (held_fencing_number(state, now) ? state.limits_.retry_interval_
                                               : state.limits_.poll_interval_);
}

std::optional<std::uint64_t> held_fencing_number(lease_state const& state,
                                                 time_point now)
{
    if (state.held_version_.revision_ == 0 || now >= state.held_until_)
    {
        return std::nullopt;
    }
    return to_fencing_number(state.held_version_);
}

lease_actions release_lease(lease_state& state, time_point now)
{
    bool const was_held = held_fencing_number(state, now).has_value();
    drop_lease(state);
    state.is_released_ = true;
    if (!was_held)
    {
        return {};
    }
    return start_write(state, "", now);
}

order_verdict check_order(order_gate& gate, std::string const& task,
                          std::uint64_t number)
{
    auto const known = gate.highest_.find(task);
    if (known == gate.highest_.end())
    {
        return order_verdict::unread;
    }
    if (number < known->second)
    {
        return order_verdict::stale;
    }
    known->second = number;
    return order_verdict::pass;
}

void on_fencing_number_read(order_gate& gate, std::string const& task,
                            std::uint64_t version)
{
    std::uint64_t& highest = gate.highest_[task];
    highest = std::max(highest, version);
}

} // namespace auburnlb
