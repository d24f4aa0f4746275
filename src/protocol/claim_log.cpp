// State machine of a claim home: group commit, fencing, replay of outcomes.
#include "auburnlb/protocol/claim_log.hpp"

#include <algorithm>

#include "auburnlb/protocol/claim_shards.hpp"

namespace auburnlb
{
namespace
{

using actions = std::vector<claim_action>;

/// Fixed memory cost of a stored outcome in addition to its text.
constexpr std::size_t outcome_overhead_bytes = 64;
/// Limit of the outcomes in one handover segment. They are stored in
/// hexadecimal, and the platform accepts values up to one megabyte.
constexpr std::size_t max_handover_outcome_bytes = 256U << 10U;
constexpr milliseconds max_retry_interval{1'000};

std::size_t size_of(call_outcome const& outcome)
{
    std::size_t size = outcome_overhead_bytes + outcome.body_.size();
    for (auto const& [name, value] : outcome.headers_)
    {
        size += name.size() + value.size();
    }
    return size;
}

respond_to_call refuse(request_id request, refusal_reason reason,
                       run_state state)
{
    return {request, reason, state, nullptr, false};
}

/// Returns the reply for a settled key: one that has an outcome or can no
/// longer get one.
respond_to_call answer_settled(request_id request, key_record const& record)
{
    switch (record.state_)
    {
    case key_state::done:
        return {request, refusal_reason::key_in_progress, run_state::ran,
                record.outcome_, true};
    case key_state::evicted:
        return refuse(request, refusal_reason::key_outcome_unknown,
                      run_state::ran);
    default:
        return refuse(request, refusal_reason::key_outcome_unknown,
                      run_state::unknown);
    }
}

bool is_settled(key_record const& record)
{
    return record.state_ == key_state::done ||
           record.state_ == key_state::evicted ||
           record.state_ == key_state::unknown;
}

void answer_waiters(key_record& record, refusal_reason reason, run_state state,
                    actions& out)
{
    for (auto const& waiter : record.waiters_)
    {
        out.emplace_back(refuse(waiter.request_, reason, state));
    }
    record.waiters_.clear();
}

void evict_oldest_outcome(shard_owner& home)
{
    auto const found = home.records_.find(home.outcomes_.front());
    home.outcomes_.pop_front();
    if (found == home.records_.end() || !found->second.outcome_)
    {
        return;
    }
    home.outcome_bytes_ -= size_of(*found->second.outcome_);
    found->second.outcome_ = nullptr;
    found->second.state_ = key_state::evicted;
}

void store_outcome(shard_owner& home, key_id key, key_record& record,
                   std::shared_ptr<call_outcome const> outcome)
{
    record.state_ = key_state::done;
    home.outcome_bytes_ += size_of(*outcome);
    record.outcome_ = std::move(outcome);
    home.outcomes_.push_back(key);
    while (home.outcome_bytes_ > home.settings_.max_outcome_bytes_)
    {
        evict_oldest_outcome(home);
    }
}

/// Removes records at the end of their lifetime. A running key is kept until
/// its call has finished, however long that takes.
void expire_records(shard_owner& home, time_point now)
{
    while (!home.expiry_.empty() && home.expiry_.front().first <= now)
    {
        key_id const key = home.expiry_.front().second;
        home.expiry_.pop_front();
        auto const found = home.records_.find(key);
        if (found == home.records_.end())
        {
            continue;
        }
        key_record const& record = found->second;
        if (!is_settled(record) && record.state_ != key_state::claimed)
        {
            home.expiry_.emplace_back(now + home.settings_.key_lifetime_, key);
            continue;
        }
        if (record.outcome_)
        {
            home.outcome_bytes_ -= size_of(*record.outcome_);
        }
        home.records_.erase(found);
    }
    while (!home.outcomes_.empty() &&
           !home.records_.contains(home.outcomes_.front()))
    {
        home.outcomes_.pop_front();
    }
}

bool is_expired(key_waiter const& waiter, time_point now)
{
    return waiter.deadline_ <= now;
}

/// Returns why a call that has not run yet cannot wait any longer, or
/// std::nullopt if it can.
std::optional<refusal_reason> timeout_reason(shard_owner const& home,
                                             key_waiter const& waiter,
                                             time_point now)
{
    if (is_expired(waiter, now))
    {
        return refusal_reason::deadline_passed;
    }
    if (home.failing_since_ &&
        now - std::max(waiter.arrived_, *home.failing_since_) >=
            home.settings_.store_timeout_)
    {
        return refusal_reason::claim_store_unavailable;
    }
    return std::nullopt;
}

/// Refuses the waiters that timed out. The reply is not_run even while the
/// key's segment is being written: without a waiter the key becomes `claimed`
/// and never runs for that call. If the key may still run for another waiter,
/// the reply is `unknown`.
void refuse_timed_out(shard_owner const& home, key_record& record,
                      time_point now, actions& out)
{
    auto& waiters = record.waiters_;
    for (std::size_t index = 0; index < waiters.size();)
    {
        key_waiter const waiter = waiters[index];
        auto const reason = timeout_reason(home, waiter, now);
        if (!reason ||
            (record.state_ == key_state::running && !is_expired(waiter, now)))
        {
            ++index;
            continue;
        }
        waiters.erase(waiters.begin() + static_cast<std::ptrdiff_t>(index));
        bool const is_proved_not_run =
            waiters.empty() && record.state_ != key_state::running;
        out.emplace_back(
            is_proved_not_run
                ? refuse(waiter.request_, *reason, run_state::not_run)
                : refuse(waiter.request_, refusal_reason::key_in_progress,
                         run_state::unknown));
    }
}

/// Runs a durable key for its first waiter that has not timed out.
void run_claimed(shard_owner& home, key_id key, key_record& record,
                 time_point now, actions& out)
{
    refuse_timed_out(home, record, now, out);
    if (record.waiters_.empty() || home.is_fenced_)
    {
        return;
    }
    record.state_ = key_state::running;
    ++home.running_;
    out.emplace_back(run_call{record.waiters_.front().request_, key});
}

/// Returns the keys of closing shards that have outcomes, as far as they fit
/// into one handover segment.
std::vector<claimed_key> keys_to_hand_over(shard_owner const& home)
{
    std::vector<claimed_key> keys;
    std::size_t bytes = 0;
    for (auto const& [key, record] : home.records_)
    {
        if (home.shards_[record.shard_] != shard_ownership::closing ||
            !record.outcome_)
        {
            continue;
        }
        bytes += size_of(*record.outcome_);
        if (bytes > max_handover_outcome_bytes)
        {
            break;
        }
        keys.push_back(
            {key, record.shard_, record.fingerprint_, record.outcome_});
    }
    return keys;
}

bool has_unsettled_closing_key(shard_owner const& home)
{
    return std::any_of(home.records_.begin(), home.records_.end(),
                       [&](auto const& item)
                       {
                           key_record const& record = item.second;
                           return home.shards_[record.shard_] ==
                                      shard_ownership::closing &&
                                  (record.state_ == key_state::waiting ||
                                   record.state_ == key_state::running);
                       });
}

std::vector<std::uint32_t> closing_shards(shard_owner const& home)
{
    std::vector<std::uint32_t> shards;
    for (std::uint32_t shard = 0; shard < home.shards_.size(); ++shard)
    {
        if (home.shards_[shard] == shard_ownership::closing)
        {
            shards.push_back(shard);
        }
    }
    return shards;
}

void start_put(shard_owner& home, segment_kind kind,
               std::vector<claimed_key> keys, time_point now, actions& out)
{
    claim_segment segment{home.service_,         home.log_,
                          home.next_number_,     home.log_.incarnation_,
                          home.next_number_ + 1, kind,
                          std::move(keys),       {}};
    if (kind == segment_kind::hand_over)
    {
        segment.shards_ = closing_shards(home);
    }
    home.last_put_at_ = now;
    out.emplace_back(put_segment{segment});
    home.put_ = pending_put{std::move(segment), put_phase::writing, now, 0};
}

std::vector<claimed_key> dequeue_group(shard_owner& home)
{
    std::vector<claimed_key> group;
    std::size_t consumed = 0;
    while (consumed < home.queue_.size() &&
           group.size() < home.settings_.max_group_keys_)
    {
        key_id const key = home.queue_[consumed++];
        auto const found = home.records_.find(key);
        if (found == home.records_.end())
        {
            continue;
        }
        if (found->second.waiters_.empty())
        {
            home.records_.erase(found);
            continue;
        }
        group.push_back(
            {key, found->second.shard_, found->second.fingerprint_, nullptr});
    }
    home.queue_.erase(home.queue_.begin(),
                      home.queue_.begin() +
                          static_cast<std::ptrdiff_t>(consumed));
    return group;
}

void put_if_due(shard_owner& home, time_point now, actions& out)
{
    if (home.put_ || home.is_fenced_ ||
        (home.next_number_ > 0 &&
         now < home.last_put_at_ + home.settings_.group_interval_))
    {
        return;
    }
    if (auto group = dequeue_group(home); !group.empty())
    {
        start_put(home, segment_kind::claims, std::move(group), now, out);
        return;
    }
    if (home.is_handover_requested_ && !has_unsettled_closing_key(home))
    {
        home.is_handover_requested_ = false;
        start_put(home, segment_kind::hand_over, keys_to_hand_over(home), now,
                  out);
    }
}

void finish_handover(shard_owner& home, claim_segment const& segment,
                     actions& out)
{
    for (std::uint32_t const shard : segment.shards_)
    {
        home.shards_[shard] = shard_ownership::none;
    }
    out.emplace_back(shards_released{segment.shards_});
}

void on_segment_durable(shard_owner& home, time_point now, actions& out)
{
    claim_segment const segment = std::move(home.put_->segment_);
    home.put_.reset();
    ++home.next_number_;
    home.failing_since_.reset();
    if (segment.kind_ == segment_kind::hand_over)
    {
        finish_handover(home, segment, out);
    }
    for (auto const& claim : segment.keys_)
    {
        auto const found = home.records_.find(claim.key_);
        if (found == home.records_.end() ||
            found->second.state_ != key_state::waiting)
        {
            continue;
        }
        found->second.state_ = key_state::claimed;
        home.expiry_.emplace_back(now + home.settings_.key_lifetime_,
                                  claim.key_);
        run_claimed(home, claim.key_, found->second, now, out);
    }
    put_if_due(home, now, out);
}

/// Calls that were not sent must not run under a sealed log. Running calls keep
/// their record, so that their outcome can still be looked up.
void on_fenced(shard_owner& home, actions& out)
{
    home.is_fenced_ = true;
    home.put_.reset();
    home.queue_.clear();
    home.is_handover_requested_ = false;
    std::fill(home.shards_.begin(), home.shards_.end(), shard_ownership::none);
    for (auto entry = home.records_.begin(); entry != home.records_.end();)
    {
        key_record& record = entry->second;
        if (record.state_ != key_state::waiting &&
            record.state_ != key_state::claimed)
        {
            ++entry;
            continue;
        }
        answer_waiters(record, refusal_reason::not_shard_home,
                       run_state::not_run, out);
        entry = home.records_.erase(entry);
    }
    out.emplace_back(owner_fenced{home.log_});
}

/// Returns a delay that doubles with each failure. The jitter differs between
/// homes, so that they do not retry at the same time after an outage.
milliseconds retry_delay(shard_owner const& home, std::uint32_t failures)
{
    auto const base = std::min(home.settings_.retry_interval_ *
                                   (1U << std::min(failures, 10U)),
                               max_retry_interval);
    auto const span = static_cast<std::uint64_t>(base.count()) / 2 + 1;
    std::uint64_t const jitter =
        (home.log_.incarnation_ * 0x9E3779B97F4A7C15ULL + failures) % span;
    return base - milliseconds{jitter};
}

void retry_later(shard_owner& home, put_phase phase, time_point now)
{
    home.put_->phase_ = phase;
    home.put_->retry_at_ = now + retry_delay(home, home.put_->failures_++);
    if (!home.failing_since_)
    {
        home.failing_since_ = now;
    }
}

void read_back(shard_owner& home, actions& out)
{
    home.put_->phase_ = put_phase::reading;
    out.emplace_back(read_segment{home.log_, home.put_->segment_.number_});
}

void retry_put(shard_owner& home, time_point now, actions& out)
{
    if (!home.put_ || now < home.put_->retry_at_)
    {
        return;
    }
    if (home.put_->phase_ == put_phase::write_later)
    {
        home.put_->phase_ = put_phase::writing;
        out.emplace_back(put_segment{home.put_->segment_});
    }
    else if (home.put_->phase_ == put_phase::read_later)
    {
        read_back(home, out);
    }
}

void on(shard_owner& home, tick const& /*event*/, time_point now, actions& out)
{
    expire_records(home, now);
    std::erase_if(home.keys_with_waiters_,
                  [&](key_id const& key)
                  {
                      auto const found = home.records_.find(key);
                      if (found == home.records_.end())
                      {
                          return true;
                      }
                      refuse_timed_out(home, found->second, now, out);
                      return found->second.waiters_.empty();
                  });
    retry_put(home, now, out);
    put_if_due(home, now, out);
}

void answer_lookup(shard_owner const& home, call_arrived const& call,
                   actions& out)
{
    auto const found = home.records_.find(make_key_id(call.key_));
    if (found == home.records_.end())
    {
        // The key may have run and expired, so it is not certain that it did
        // not run.
        out.emplace_back(refuse(call.request_,
                                refusal_reason::key_outcome_unknown,
                                run_state::unknown));
        return;
    }
    if (!is_settled(found->second))
    {
        out.emplace_back(refuse(call.request_, refusal_reason::key_in_progress,
                                run_state::unknown));
        return;
    }
    out.emplace_back(answer_settled(call.request_, found->second));
}

void attach_call(shard_owner& home, key_id key, key_record& record,
                 call_arrived const& call, time_point now, actions& out)
{
    if (record.fingerprint_ != call.fingerprint_)
    {
        out.emplace_back(refuse(call.request_,
                                refusal_reason::key_body_mismatch,
                                run_state::not_run));
        return;
    }
    if (is_settled(record))
    {
        out.emplace_back(answer_settled(call.request_, record));
        return;
    }
    bool const is_duplicate =
        std::any_of(record.waiters_.begin(), record.waiters_.end(),
                    [&](key_waiter const& waiter)
                    { return waiter.request_ == call.request_; });
    if (is_duplicate)
    {
        return;
    }
    record.waiters_.push_back({call.request_, now, call.deadline_});
    home.keys_with_waiters_.insert(key);
    if (record.state_ == key_state::claimed)
    {
        run_claimed(home, key, record, now, out);
    }
}

std::optional<refusal_reason>
refusal_of_new_key(shard_owner const& home, std::uint32_t shard, time_point now)
{
    if (home.shards_[shard] != shard_ownership::owned)
    {
        return refusal_reason::not_shard_home;
    }
    if (home.records_.size() >= home.settings_.max_keys_)
    {
        return refusal_reason::overloaded;
    }
    if (home.failing_since_ &&
        now - *home.failing_since_ >= home.settings_.store_timeout_)
    {
        return refusal_reason::claim_store_unavailable;
    }
    return std::nullopt;
}

void on(shard_owner& home, call_arrived const& call, time_point now,
        actions& out)
{
    if (call.is_lookup_)
    {
        answer_lookup(home, call, out);
        return;
    }
    key_id const key = make_key_id(call.key_);
    auto const found = home.records_.find(key);
    if (found != home.records_.end())
    {
        attach_call(home, key, found->second, call, now, out);
        return;
    }
    auto const shard_count = static_cast<std::uint32_t>(home.shards_.size());
    std::uint32_t const shard = shard_of(call.key_, shard_count);
    if (auto const reason = refusal_of_new_key(home, shard, now))
    {
        out.emplace_back(refuse(call.request_, *reason, run_state::not_run));
        return;
    }
    key_record record;
    record.shard_ = shard;
    record.fingerprint_ = call.fingerprint_;
    record.waiters_.push_back({call.request_, now, call.deadline_});
    home.records_.emplace(key, std::move(record));
    home.keys_with_waiters_.insert(key);
    home.queue_.push_back(key);
    put_if_due(home, now, out);
}

void on(shard_owner& home, put_finished const& answer, time_point now,
        actions& out)
{
    if (!home.put_ || home.put_->segment_.number_ != answer.number_ ||
        home.put_->phase_ != put_phase::writing)
    {
        return;
    }
    switch (answer.status_)
    {
    case put_status::created:
        on_segment_durable(home, now, out);
        return;
    case put_status::conflict:
        // The name may exist because of an earlier attempt to write this
        // segment.
        read_back(home, out);
        return;
    case put_status::not_sent:
        retry_later(home, put_phase::write_later, now);
        return;
    case put_status::lost:
        retry_later(home, put_phase::read_later, now);
        return;
    }
}

void on(shard_owner& home, segment_read const& read, time_point now,
        actions& out)
{
    if (!home.put_ || home.put_->segment_.number_ != read.number_ ||
        home.put_->phase_ != put_phase::reading)
    {
        return;
    }
    if (read.is_failed_)
    {
        retry_later(home, put_phase::read_later, now);
        return;
    }
    if (!read.segment_)
    {
        // The lost create may still take effect. Only the same segment may be
        // written under this name, so that both make the same claims.
        retry_later(home, put_phase::write_later, now);
        return;
    }
    if (read.segment_->writer_ != home.put_->segment_.writer_ ||
        read.segment_->content_id_ != home.put_->segment_.content_id_)
    {
        on_fenced(home, out);
        return;
    }
    on_segment_durable(home, now, out);
}

void on(shard_owner& home, call_finished const& call, time_point now,
        actions& out)
{
    auto const found = home.records_.find(call.key_);
    if (found == home.records_.end() ||
        found->second.state_ != key_state::running)
    {
        return;
    }
    key_record& record = found->second;
    --home.running_;
    if (call.status_ == call_status::not_sent)
    {
        record.state_ = key_state::claimed;
        answer_waiters(record, refusal_reason::no_endpoint, run_state::not_run,
                       out);
    }
    else if (call.status_ == call_status::lost || !call.outcome_)
    {
        record.state_ = key_state::unknown;
        answer_waiters(record, refusal_reason::call_outcome_unknown,
                       run_state::unknown, out);
    }
    else
    {
        auto const waiters = std::move(record.waiters_);
        record.waiters_.clear();
        store_outcome(home, call.key_, record, call.outcome_);
        bool is_replay = false;
        for (auto const& waiter : waiters)
        {
            out.emplace_back(respond_to_call{
                waiter.request_, refusal_reason::key_in_progress,
                run_state::ran, call.outcome_, is_replay});
            is_replay = true;
        }
    }
    put_if_due(home, now, out);
}

void inherit(shard_owner& home, inherited_key const& inherited, time_point now)
{
    claimed_key const& claim = inherited.claim_;
    auto& record = home.records_[claim.key_];
    // A record of this process is newer than the content of a log.
    bool const is_new_record =
        record.state_ == key_state::waiting && record.waiters_.empty();
    if (!is_new_record &&
        !(record.state_ == key_state::unknown && claim.outcome_))
    {
        return;
    }
    record.state_ = key_state::unknown;
    record.shard_ = claim.shard_;
    record.fingerprint_ = claim.fingerprint_;
    home.expiry_.emplace_back(now + home.settings_.key_lifetime_, claim.key_);
    if (claim.outcome_)
    {
        store_outcome(home, claim.key_, record, claim.outcome_);
    }
}

void on(shard_owner& home, shards_acquired const& acquired, time_point now,
        actions& /*out*/)
{
    if (acquired.log_ != home.log_)
    {
        if (!home.is_fenced_ || acquired.log_.epoch_ < home.log_.epoch_)
        {
            return;
        }
        home.log_ = acquired.log_;
        home.next_number_ = 0;
        home.is_fenced_ = false;
        home.failing_since_.reset();
    }
    if (home.is_fenced_)
    {
        return;
    }
    for (auto const& key : acquired.inherited_)
    {
        inherit(home, key, now);
    }
    for (std::uint32_t const shard : acquired.shards_)
    {
        home.shards_.at(shard) = shard_ownership::owned;
    }
}

void on(shard_owner& home, release_requested const& release, time_point now,
        actions& out)
{
    for (std::uint32_t const shard : release.shards_)
    {
        if (home.shards_.at(shard) == shard_ownership::owned)
        {
            home.shards_[shard] = shard_ownership::closing;
            home.is_handover_requested_ = true;
        }
    }
    put_if_due(home, now, out);
}

void on(shard_owner& home, log_sealed const& sealed, time_point /*now*/,
        actions& out)
{
    if (sealed.log_ == home.log_ && !home.is_fenced_)
    {
        on_fenced(home, out);
    }
}

} // namespace

shard_owner make_shard_owner(std::string service, std::uint32_t shards,
                             claim_log_id log, shard_owner_settings settings)
{
    shard_owner home;
    home.settings_ = settings;
    home.service_ = std::move(service);
    home.log_ = log;
    home.shards_.assign(shards, shard_ownership::none);
    return home;
}

std::vector<claim_action> apply(shard_owner& home, claim_event const& event,
                                time_point now)
{
    actions out;
    std::visit([&](auto const& kind) { on(home, kind, now, out); }, event);
    return out;
}

std::optional<time_point> next_wake(shard_owner const& home)
{
    if (home.put_)
    {
        bool const is_waiting = home.put_->phase_ == put_phase::write_later ||
                                home.put_->phase_ == put_phase::read_later;
        return is_waiting ? std::optional(home.put_->retry_at_) : std::nullopt;
    }
    if (home.queue_.empty() && !home.is_handover_requested_)
    {
        return std::nullopt;
    }
    return home.last_put_at_ + home.settings_.group_interval_;
}

bool is_idle(shard_owner const& home)
{
    return !home.put_ && home.queue_.empty() && home.running_ == 0;
}

microseconds group_interval(std::size_t homes, std::size_t writes_per_second)
{
    constexpr microseconds shortest{3'000};
    auto const share =
        microseconds{1'000'000 * std::max<std::size_t>(homes, 1) /
                     std::max<std::size_t>(writes_per_second, 1)};
    return std::max(shortest, share);
}

} // namespace auburnlb
