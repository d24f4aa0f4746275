// Placement of key shards, and the take-over of a gone home's shards.
#include "auburnlb/protocol/claim_shards.hpp"

#include <algorithm>

#include <xxhash.h>

namespace auburnlb
{
namespace
{

using actions = std::vector<takeover_action>;

constexpr std::uint32_t max_tries = 16;
constexpr std::int64_t seal_retention_ms = 24LL * 3'600 * 1'000;

std::int64_t to_ms(seconds span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

claim_log_entry const* find_log(claim_table const& table,
                                claim_log_id const& log)
{
    auto const found =
        std::find_if(table.logs_.begin(), table.logs_.end(),
                     [&](auto const& entry) { return entry.log_ == log; });
    return found == table.logs_.end() ? nullptr : &*found;
}

bool is_expired(claim_log_entry const& entry, std::int64_t now_ms,
                std::int64_t after_ms)
{
    return entry.is_sealed_ && entry.sealed_at_ms_ + after_ms < now_ms;
}

/// Whether the process that wrote a log no longer writes to it.
bool is_writer_gone(std::string const& address, claim_log_id const& log,
                    claim_view const& view)
{
    if (address == view.address_)
    {
        return log != view.log_;
    }
    return std::count(view.dead_incarnations_.begin(),
                      view.dead_incarnations_.end(), log.incarnation_) > 0;
}

/// Whether a shard's home can no longer serve it.
bool is_gone(claim_table const& table, shard_owner_entry const& home,
             claim_view const& view)
{
    auto const* entry = find_log(table, home.log_);
    return (entry != nullptr && entry->is_sealed_) ||
           is_writer_gone(home.address_, home.log_, view);
}

bool is_target(takeover const& state, std::uint32_t shard)
{
    return std::binary_search(state.targets_.begin(), state.targets_.end(),
                              shard);
}

/// A log must be sealed before it is read if its home may still write to it
/// for one of the shards to be taken. Logs of gone writers are sealed as well,
/// so that they expire.
bool is_seal_needed(takeover const& state, claim_log_entry const& entry)
{
    if (entry.log_ == state.view_.log_)
    {
        return false;
    }
    return is_writer_gone(entry.address_, entry.log_, state.view_) ||
           std::any_of(
               state.targets_.begin(), state.targets_.end(),
               [&](std::uint32_t shard)
               { return state.table_.shards_[shard].log_ == entry.log_; });
}

bool is_own_log_sealed(takeover const& state)
{
    auto const* own = find_log(state.table_, state.view_.log_);
    return own != nullptr && own->is_sealed_;
}

void end(takeover& state, bool is_failed, actions& out)
{
    state.phase_ = takeover_phase::idle;
    takeover_ended ended;
    ended.is_failed_ = is_failed;
    ended.is_log_sealed_ = is_own_log_sealed(state);
    ended.table_ = state.table_;
    ended.acquired_.log_ = state.view_.log_;
    if (!is_failed)
    {
        ended.acquired_.shards_ = state.targets_;
        ended.acquired_.inherited_ = std::move(state.inherited_);
        ended.released_ = state.view_.released_;
    }
    out.emplace_back(std::move(ended));
}

/// Counts a try; gives false and ends the take-over after too many.
bool may_try_again(takeover& state, actions& out)
{
    if (++state.tries_ <= max_tries)
    {
        return true;
    }
    end(state, true, out);
    return false;
}

void read_again(takeover& state, takeover_phase phase, actions& out)
{
    if (!may_try_again(state, out))
    {
        return;
    }
    state.phase_ = phase;
    out.emplace_back(read_table{});
}

/// The table once this home has the targets.
claim_table taken_table(takeover const& state)
{
    claim_table table = state.table_;
    auto const now_ms = state.view_.wall_clock_ms_;
    for (auto& entry : table.logs_)
    {
        if (is_seal_needed(state, entry) && !entry.is_sealed_)
        {
            entry.is_sealed_ = true;
            entry.sealed_at_ms_ = now_ms;
        }
    }
    auto const retention_ms =
        to_ms(state.view_.key_lifetime_) + seal_retention_ms;
    std::erase_if(table.logs_, [&](claim_log_entry const& entry)
                  { return is_expired(entry, now_ms, 2 * retention_ms); });
    if (find_log(table, state.view_.log_) == nullptr)
    {
        table.logs_.push_back(
            {state.view_.log_, state.view_.address_, false, 0});
    }
    for (std::uint32_t const shard : state.targets_)
    {
        table.shards_[shard] = {state.view_.address_, state.view_.log_};
    }
    return table;
}

void list_next(takeover& state, actions& out)
{
    auto const now_ms = state.view_.wall_clock_ms_;
    auto const lifetime_ms = to_ms(state.view_.key_lifetime_);
    auto const& logs = state.table_.logs_;
    while (state.log_at_ < logs.size() &&
           is_expired(logs[state.log_at_], now_ms, lifetime_ms))
    {
        ++state.log_at_;
    }
    if (state.log_at_ < logs.size())
    {
        state.phase_ = takeover_phase::listing;
        out.emplace_back(list_log{logs[state.log_at_].log_});
        return;
    }
    state.phase_ = takeover_phase::updating;
    out.emplace_back(put_table{taken_table(state), state.table_version_});
}

void plan(takeover& state, table_read const& read, actions& out)
{
    state.table_ = read.table_
                       ? *read.table_
                       : make_claim_table(state.service_, state.shard_count_);
    state.table_version_ = read.version_;
    if (is_own_log_sealed(state))
    {
        end(state, true, out);
        return;
    }
    auto released =
        without_shards(state.table_, state.view_.log_, state.view_.released_);
    bool const is_changed = released.has_value();
    if (is_changed)
    {
        state.table_ = std::move(*released);
    }
    state.targets_ = shards_to_take(state.table_, state.view_);
    state.inherited_.clear();
    state.log_at_ = 0;
    if (!state.targets_.empty())
    {
        list_next(state, out);
        return;
    }
    if (!is_changed)
    {
        end(state, false, out);
        return;
    }
    state.phase_ = takeover_phase::updating;
    out.emplace_back(put_table{state.table_, state.table_version_});
}

/// After a lost answer: whether the table already is as this home wants it.
bool is_taken(takeover const& state, claim_table const& table)
{
    shard_owner_entry const wanted{state.view_.address_, state.view_.log_};
    bool const has_targets = std::all_of(
        state.targets_.begin(), state.targets_.end(),
        [&](std::uint32_t shard) { return table.shards_[shard] == wanted; });
    return has_targets && std::all_of(state.view_.released_.begin(),
                                      state.view_.released_.end(),
                                      [&](std::uint32_t shard) {
                                          return is_target(state, shard) ||
                                                 table.shards_[shard] != wanted;
                                      });
}

void on(takeover& state, takeover_started const& event, actions& out)
{
    if (state.phase_ != takeover_phase::idle)
    {
        return;
    }
    state.view_ = event.view_;
    state.tries_ = 0;
    read_again(state, takeover_phase::reading_table, out);
}

void on(takeover& state, table_read const& read, actions& out)
{
    bool const is_settling = state.phase_ == takeover_phase::settling;
    if (!is_settling && state.phase_ != takeover_phase::reading_table)
    {
        return;
    }
    if (read.is_failed_ ||
        (read.table_ && read.table_->shards_.size() != state.shard_count_))
    {
        end(state, true, out);
        return;
    }
    if (is_settling && read.table_ && is_taken(state, *read.table_))
    {
        state.table_ = *read.table_;
        end(state, false, out);
        return;
    }
    plan(state, read, out);
}

void collect(takeover& state, log_listed const& listed)
{
    claim_log_id const log = state.table_.logs_[state.log_at_].log_;
    for (auto const& segment : listed.segments_)
    {
        for (auto const& key : segment.keys_)
        {
            if (is_target(state, key.shard_))
            {
                state.inherited_.push_back({key, log});
            }
        }
    }
}

void on(takeover& state, log_listed const& listed, actions& out)
{
    if (state.phase_ != takeover_phase::listing)
    {
        return;
    }
    if (listed.is_failed_)
    {
        end(state, true, out);
        return;
    }
    claim_log_entry const& entry = state.table_.logs_[state.log_at_];
    auto const& segments = listed.segments_;
    bool const is_sealed =
        !segments.empty() && segments.back().kind_ == segment_kind::seal;
    if (is_seal_needed(state, entry) && !is_sealed)
    {
        if (!may_try_again(state, out))
        {
            return;
        }
        state.phase_ = takeover_phase::sealing;
        std::uint64_t const number =
            segments.empty() ? 0 : segments.back().number_ + 1;
        out.emplace_back(put_segment{{state.service_,
                                      entry.log_,
                                      number,
                                      state.view_.log_.incarnation_,
                                      0,
                                      segment_kind::seal,
                                      {},
                                      {}}});
        return;
    }
    collect(state, listed);
    ++state.log_at_;
    list_next(state, out);
}

/// Whatever the answer, the next list shows whether the log is sealed.
void on(takeover& state, seal_finished const& /*event*/, actions& out)
{
    if (state.phase_ != takeover_phase::sealing)
    {
        return;
    }
    state.phase_ = takeover_phase::listing;
    out.emplace_back(list_log{state.table_.logs_[state.log_at_].log_});
}

void on(takeover& state, table_put_finished const& answer, actions& out)
{
    if (state.phase_ != takeover_phase::updating)
    {
        return;
    }
    switch (answer.status_)
    {
    case put_status::created:
        if (!state.targets_.empty())
        {
            state.table_ = taken_table(state);
        }
        end(state, false, out);
        return;
    case put_status::not_sent:
        end(state, true, out);
        return;
    case put_status::conflict:
    case put_status::lost:
        read_again(state, takeover_phase::settling, out);
        return;
    }
}

} // namespace

std::uint32_t shard_of(std::string const& key, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(XXH3_64bits(key.data(), key.size()) %
                                      shards);
}

claim_table make_claim_table(std::string service, std::uint32_t shards)
{
    claim_table table;
    table.service_ = std::move(service);
    table.shards_.resize(shards);
    return table;
}

shard_owner_entry owner_of(claim_table const& table, std::string const& key)
{
    if (table.shards_.empty())
    {
        return {};
    }
    return table.shards_[shard_of(
        key, static_cast<std::uint32_t>(table.shards_.size()))];
}

std::string preferred_owner(std::uint32_t shard,
                            std::vector<std::string> const& live_addresses)
{
    std::string best;
    std::uint64_t best_score = 0;
    for (auto const& address : live_addresses)
    {
        std::uint64_t const score =
            XXH3_64bits_withSeed(address.data(), address.size(), shard);
        if (best.empty() || score > best_score ||
            (score == best_score && address < best))
        {
            best = address;
            best_score = score;
        }
    }
    return best;
}

std::vector<std::uint32_t> shards_to_take(claim_table const& table,
                                          claim_view const& view)
{
    std::vector<std::uint32_t> shards;
    for (std::uint32_t shard = 0; shard < table.shards_.size(); ++shard)
    {
        shard_owner_entry const& home = table.shards_[shard];
        bool const is_named_here = home.address_ == view.address_;
        if (is_named_here && home.log_ == view.log_)
        {
            // Named by an update whose answer was lost.
            if (view.ownership_[shard] == shard_ownership::none)
            {
                shards.push_back(shard);
            }
            continue;
        }
        bool const is_free =
            home.address_.empty() || is_gone(table, home, view);
        if (is_free &&
            (is_named_here ||
             preferred_owner(shard, view.live_addresses_) == view.address_))
        {
            shards.push_back(shard);
        }
    }
    return shards;
}

std::vector<std::uint32_t> shards_to_release(claim_view const& view)
{
    std::vector<std::uint32_t> shards;
    for (std::uint32_t shard = 0; shard < view.ownership_.size(); ++shard)
    {
        if (view.ownership_[shard] != shard_ownership::owned)
        {
            continue;
        }
        std::string const wished = preferred_owner(shard, view.live_addresses_);
        if (!wished.empty() && wished != view.address_)
        {
            shards.push_back(shard);
        }
    }
    return shards;
}

std::optional<claim_table>
without_shards(claim_table const& table, claim_log_id const& log,
               std::vector<std::uint32_t> const& shards)
{
    claim_table changed = table;
    for (std::uint32_t const shard : shards)
    {
        if (changed.shards_.at(shard).log_ == log)
        {
            changed.shards_[shard] = {};
        }
    }
    if (changed == table)
    {
        return std::nullopt;
    }
    return changed;
}

std::vector<std::string>
removable_segments(std::string const& service, claim_log_entry const& entry,
                   std::vector<std::uint64_t> const& numbers,
                   std::int64_t wall_clock_ms, seconds key_lifetime)
{
    std::vector<std::string> names;
    auto const lifetime_ms = to_ms(key_lifetime);
    if (numbers.empty() || !is_expired(entry, wall_clock_ms, lifetime_ms))
    {
        return names;
    }
    bool const is_seal_removable =
        is_expired(entry, wall_clock_ms, lifetime_ms + seal_retention_ms);
    std::uint64_t const last =
        *std::max_element(numbers.begin(), numbers.end());
    for (std::uint64_t const number : numbers)
    {
        if (number != last || is_seal_removable)
        {
            names.push_back(segment_name(service, entry.log_, number));
        }
    }
    return names;
}

std::vector<takeover_action> apply(takeover& state, takeover_event const& event)
{
    actions out;
    std::visit([&](auto const& kind) { on(state, kind, out); }, event);
    return out;
}

} // namespace auburnlb
