// The rules of leases and of the gate for orders.
#include "auburnlb/coordination/lease.hpp"

#include <algorithm>

namespace auburnlb
{

namespace
{

// Seeing the same version again does not restart its time.
void note_version(lease_state& state, std::uint64_t version,
                  std::string const& holder, time_point now)
{
    if (state.seen_since_ && state.seen_version_ == version)
    {
        return;
    }
    state.seen_version_ = version;
    state.seen_holder_ = holder;
    state.seen_since_ = now;
}

bool is_free(lease_state const& state, time_point now)
{
    bool const is_own = state.seen_holder_ == state.self_;
    return state.seen_holder_.empty() || is_own ||
           now - *state.seen_since_ >= state.limits_.duration_;
}

lease_actions begin_write(lease_state& state, std::string const& holder,
                          time_point now)
{
    state.is_waiting_ = true;
    state.write_sent_ = now;
    return {write_lease{state.seen_version_, holder}};
}

void drop_lease(lease_state& state)
{
    state.fencing_number_ = 0;
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
    if (is_held && !state.must_read_)
    {
        return begin_write(state, state.self_, now);
    }
    if (!is_held)
    {
        drop_lease(state);
    }
    state.is_waiting_ = true;
    return {read_lease{}};
}

lease_actions on_lease_read(lease_state& state, std::uint64_t version,
                            std::string const& holder, time_point now)
{
    state.is_waiting_ = false;
    state.must_read_ = false;
    note_version(state, version, holder, now);
    if (holder != state.self_)
    {
        drop_lease(state);
    }
    if (!state.is_released_ && is_free(state, now))
    {
        return begin_write(state, state.self_, now);
    }
    state.next_call_ = now + state.limits_.poll_;
    return {};
}

void on_lease_written(lease_state& state, std::uint64_t version, time_point now)
{
    state.is_waiting_ = false;
    if (state.is_released_)
    {
        return;
    }
    state.next_call_ = state.write_sent_ + state.limits_.renewal_;
    note_version(state, version, state.self_, now);
    state.fencing_number_ = version;
    state.held_until_ =
        state.write_sent_ + state.limits_.duration_ - state.limits_.margin_;
}

void on_lease_failed(lease_state& state, time_point now)
{
    state.is_waiting_ = false;
    state.must_read_ = true;
    state.next_call_ = now + state.limits_.poll_;
}

std::optional<std::uint64_t> held_fencing_number(lease_state const& state,
                                                 time_point now)
{
    if (state.fencing_number_ == 0 || now >= state.held_until_)
    {
        return std::nullopt;
    }
    return state.fencing_number_;
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
    return begin_write(state, "", now);
}

order_verdict check_order(order_gate& gate, std::string const& duty,
                          std::uint64_t number)
{
    auto const known = gate.highest_.find(duty);
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

void on_number_read(order_gate& gate, std::string const& duty,
                    std::uint64_t version)
{
    std::uint64_t& highest = gate.highest_[duty];
    highest = std::max(highest, version);
}

} // namespace auburnlb
