// State machine of a shard owner: group commit, fencing, replay of outcomes.
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
/// Limit of the outcomes in one state transfer segment. They are stored in
/// hexadecimal, and the platform accepts values up to one megabyte.
constexpr std::size_t max_transfer_outcome_bytes = 256U << 10U;
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
respond_to_call settled_response(request_id request, key_record const& record)
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

void respond_to_waiters(key_record& record, refusal_reason reason,
                        run_state state, actions& out)
{
    for (auto const& waiter : record.waiters_)
    {
        out.emplace_back(refuse(waiter.request_, reason, state));
    }
    record.waiters_.clear();
}

void evict_oldest_outcome(shard_owner& owner)
{
    auto const found = owner.records_.find(owner.outcomes_.front());
    owner.outcomes_.pop_front();
    if (found == owner.records_.end() || !found->second.outcome_)
    {
        return;
    }
    owner.outcome_bytes_ -= size_of(*found->second.outcome_);
    found->second.outcome_ = nullptr;
    found->second.state_ = key_state::evicted;
}

void store_outcome(shard_owner& owner, key_id key, key_record& record,
                   std::shared_ptr<call_outcome const> outcome)
{
    record.state_ = key_state::done;
    owner.outcome_bytes_ += size_of(*outcome);
    record.outcome_ = std::move(outcome);
    owner.outcomes_.push_back(key);
    while (owner.outcome_bytes_ > owner.settings_.max_outcome_bytes_)
    {
        evict_oldest_outcome(owner);
    }
}

/// Removes records at the end of their lifetime. A running key is kept until
/// its call has finished, however long that takes.
void expire_records(shard_owner& owner, time_point now)
{
    while (!owner.expiry_.empty() && owner.expiry_.front().first <= now)
    {
        key_id const key = owner.expiry_.front().second;
        owner.expiry_.pop_front();
        auto const found = owner.records_.find(key);
        if (found == owner.records_.end())
        {
            continue;
        }
        key_record const& record = found->second;
        if (!is_settled(record) && record.state_ != key_state::claimed)
        {
            owner.expiry_.emplace_back(now + owner.settings_.key_lifetime_,
                                       key);
            continue;
        }
        if (record.outcome_)
        {
            owner.outcome_bytes_ -= size_of(*record.outcome_);
        }
        owner.records_.erase(found);
    }
    while (!owner.outcomes_.empty() &&
           !owner.records_.contains(owner.outcomes_.front()))
    {
        owner.outcomes_.pop_front();
    }
}

bool is_expired(key_waiter const& waiter, time_point now)
{
    return waiter.deadline_ <= now;
}

/// Returns why a call that has not run yet cannot wait any longer, or
/// std::nullopt if it can.
std::optional<refusal_reason> timeout_reason(shard_owner const& owner,
                                             key_waiter const& waiter,
                                             time_point now)
{
    if (is_expired(waiter, now))
    {
        return refusal_reason::deadline_passed;
    }
    if (owner.failing_since_ &&
        now - std::max(waiter.arrived_, *owner.failing_since_) >=
            owner.settings_.store_timeout_)
    {
        return refusal_reason::claim_store_unavailable;
    }
    return std::nullopt;
}

/// Refuses the waiters that timed out. The reply is not_run even while the
/// key's segment is being written: without a waiter the key becomes `claimed`
/// and never runs for that call. If the key may still run for another waiter,
/// the reply is `unknown`.
void refuse_timed_out(shard_owner const& owner, key_record& record,
                      time_point now, actions& out)
{
    auto& waiters = record.waiters_;
    for (std::size_t index = 0; index < waiters.size();)
    {
        key_waiter const waiter = waiters[index];
        auto const reason = timeout_reason(owner, waiter, now);
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
void run_claimed(shard_owner& owner, key_id key, key_record& record,
                 time_point now, actions& out)
{
    refuse_timed_out(owner, record, now, out);
    if (record.waiters_.empty() || owner.is_fenced_)
    {
        return;
    }
    record.state_ = key_state::running;
    ++owner.running_;
    out.emplace_back(run_call{record.waiters_.front().request_, key});
}

/// Returns the keys of closing shards that have outcomes, as far as they fit
/// into one state transfer segment.
std::vector<claimed_key> keys_to_transfer(shard_owner const& owner)
{
    std::vector<claimed_key> keys;
    std::size_t bytes = 0;
    for (auto const& [key, record] : owner.records_)
    {
        if (owner.shards_[record.shard_] != shard_ownership::closing ||
            !record.outcome_)
        {
            continue;
        }
        bytes += size_of(*record.outcome_);
        if (bytes > max_transfer_outcome_bytes)
        {
            break;
        }
        keys.push_back(
            {key, record.shard_, record.fingerprint_, record.outcome_});
    }
    return keys;
}

bool has_unsettled_closing_key(shard_owner const& owner)
{
    return std::any_of(owner.records_.begin(), owner.records_.end(),
                       [&](auto const& item)
                       {
                           key_record const& record = item.second;
                           return owner.shards_[record.shard_] ==
                                      shard_ownership::closing &&
                                  (record.state_ == key_state::waiting ||
                                   record.state_ == key_state::running);
                       });
}

std::vector<std::uint32_t> closing_shards(shard_owner const& owner)
{
    std::vector<std::uint32_t> shards;
    for (std::uint32_t shard = 0; shard < owner.shards_.size(); ++shard)
    {
        if (owner.shards_[shard] == shard_ownership::closing)
        {
            shards.push_back(shard);
        }
    }
    return shards;
}

void start_put(shard_owner& owner, segment_kind kind,
               std::vector<claimed_key> keys, time_point now, actions& out)
{
    claim_segment segment{owner.service_,         owner.log_,
                          owner.next_number_,     owner.log_.incarnation_,
                          owner.next_number_ + 1, kind,
                          std::move(keys),        {}};
    if (kind == segment_kind::state_transfer)
    {
        segment.shards_ = closing_shards(owner);
    }
    owner.last_put_at_ = now;
    out.emplace_back(put_segment{segment});
    owner.put_ = pending_put{std::move(segment), put_phase::writing, now, 0};
}

std::vector<claimed_key> dequeue_group(shard_owner& owner)
{
    std::vector<claimed_key> group;
    std::size_t consumed = 0;
    while (consumed < owner.queue_.size() &&
           group.size() < owner.settings_.max_group_keys_)
    {
        key_id const key = owner.queue_[consumed++];
        auto const found = owner.records_.find(key);
        if (found == owner.records_.end())
        {
            continue;
        }
        if (found->second.waiters_.empty())
        {
            owner.records_.erase(found);
            continue;
        }
        group.push_back(
            {key, found->second.shard_, found->second.fingerprint_, nullptr});
    }
    owner.queue_.erase(owner.queue_.begin(),
                       owner.queue_.begin() +
                           static_cast<std::ptrdiff_t>(consumed));
    return group;
}

void put_if_due(shard_owner& owner, time_point now, actions& out)
{
    if (owner.put_ || owner.is_fenced_ ||
        (owner.next_number_ > 0 &&
         now < owner.last_put_at_ + owner.settings_.group_interval_))
    {
        return;
    }
    if (auto group = dequeue_group(owner); !group.empty())
    {
        start_put(owner, segment_kind::claims, std::move(group), now, out);
        return;
    }
    if (owner.is_transfer_requested_ && !has_unsettled_closing_key(owner))
    {
        owner.is_transfer_requested_ = false;
        start_put(owner, segment_kind::state_transfer, keys_to_transfer(owner),
                  now, out);
    }
}

void finish_transfer(shard_owner& owner, claim_segment const& segment,
                     actions& out)
{
    for (std::uint32_t const shard : segment.shards_)
    {
        owner.shards_[shard] = shard_ownership::none;
    }
    out.emplace_back(shards_released{segment.shards_});
}

void on_segment_durable(shard_owner& owner, time_point now, actions& out)
{
    claim_segment const segment = std::move(owner.put_->segment_);
    owner.put_.reset();
    ++owner.next_number_;
    owner.failing_since_.reset();
    if (segment.kind_ == segment_kind::state_transfer)
    {
        finish_transfer(owner, segment, out);
    }
    for (auto const& claim : segment.keys_)
    {
        auto const found = owner.records_.find(claim.key_);
        if (found == owner.records_.end() ||
            found->second.state_ != key_state::waiting)
        {
            continue;
        }
        found->second.state_ = key_state::claimed;
        owner.expiry_.emplace_back(now + owner.settings_.key_lifetime_,
                                   claim.key_);
        run_claimed(owner, claim.key_, found->second, now, out);
    }
    put_if_due(owner, now, out);
}

/// Calls that were not sent must not run under a sealed log. Running calls keep
/// their record, so that their outcome can still be looked up.
void on_fenced(shard_owner& owner, actions& out)
{
    owner.is_fenced_ = true;
    owner.put_.reset();
    owner.queue_.clear();
    owner.is_transfer_requested_ = false;
    std::fill(owner.shards_.begin(), owner.shards_.end(),
              shard_ownership::none);
    for (auto entry = owner.records_.begin(); entry != owner.records_.end();)
    {
        key_record& record = entry->second;
        if (record.state_ != key_state::waiting &&
            record.state_ != key_state::claimed)
        {
            ++entry;
            continue;
        }
        respond_to_waiters(record, refusal_reason::not_shard_home,
                           run_state::not_run, out);
        entry = owner.records_.erase(entry);
    }
    out.emplace_back(owner_fenced{owner.log_});
}

/// Returns a delay that doubles with each failure. The jitter differs between
/// owners, so that they do not retry at the same time after an outage.
milliseconds retry_delay(shard_owner const& owner, std::uint32_t failures)
{
    auto const base = std::min(owner.settings_.retry_interval_ *
                                   (1U << std::min(failures, 10U)),
                               max_retry_interval);
    auto const span = static_cast<std::uint64_t>(base.count()) / 2 + 1;
    std::uint64_t const jitter =
        (owner.log_.incarnation_ * 0x9E3779B97F4A7C15ULL + failures) % span;
    return base - milliseconds{jitter};
}

void retry_later(shard_owner& owner, put_phase phase, time_point now)
{
    owner.put_->phase_ = phase;
    owner.put_->retry_at_ = now + retry_delay(owner, owner.put_->failures_++);
    if (!owner.failing_since_)
    {
        owner.failing_since_ = now;
    }
}

void read_back(shard_owner& owner, actions& out)
{
    owner.put_->phase_ = put_phase::reading;
    out.emplace_back(read_segment{owner.log_, owner.put_->segment_.number_});
}

void retry_put(shard_owner& owner, time_point now, actions& out)
{
    if (!owner.put_ || now < owner.put_->retry_at_)
    {
        return;
    }
    if (owner.put_->phase_ == put_phase::write_later)
    {
        owner.put_->phase_ = put_phase::writing;
        out.emplace_back(put_segment{owner.put_->segment_});
    }
    else if (owner.put_->phase_ == put_phase::read_later)
    {
        read_back(owner, out);
    }
}

void on(shard_owner& owner, tick const& /*event*/, time_point now, actions& out)
{
    expire_records(owner, now);
    std::erase_if(owner.keys_with_waiters_,
                  [&](key_id const& key)
                  {
                      auto const found = owner.records_.find(key);
                      if (found == owner.records_.end())
                      {
                          return true;
                      }
                      refuse_timed_out(owner, found->second, now, out);
                      return found->second.waiters_.empty();
                  });
    retry_put(owner, now, out);
    put_if_due(owner, now, out);
}

void respond_to_lookup(shard_owner const& owner, call_arrived const& call,
                       actions& out)
{
    auto const found = owner.records_.find(make_key_id(call.key_));
    if (found == owner.records_.end())
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
    out.emplace_back(settled_response(call.request_, found->second));
}

void attach_call(shard_owner& owner, key_id key, key_record& record,
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
        out.emplace_back(settled_response(call.request_, record));
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
    owner.keys_with_waiters_.insert(key);
    if (record.state_ == key_state::claimed)
    {
        run_claimed(owner, key, record, now, out);
    }
}

std::optional<refusal_reason> refusal_of_new_key(shard_owner const& owner,
                                                 std::uint32_t shard,
                                                 time_point now)
{
    if (owner.shards_[shard] != shard_ownership::owned)
    {
        return refusal_reason::not_shard_home;
    }
    if (owner.records_.size() >= owner.settings_.max_keys_)
    {
        return refusal_reason::overloaded;
    }
    if (owner.failing_since_ &&
        now - *owner.failing_since_ >= owner.settings_.store_timeout_)
    {
        return refusal_reason::claim_store_unavailable;
    }
    return std::nullopt;
}

void on(shard_owner& owner, call_arrived const& call, time_point now,
        actions& out)
{
    if (call.is_lookup_)
    {
        respond_to_lookup(owner, call, out);
        return;
    }
    key_id const key = make_key_id(call.key_);
    auto const found = owner.records_.find(key);
    if (found != owner.records_.end())
    {
        attach_call(owner, key, found->second, call, now, out);
        return;
    }
    auto const shard_count = static_cast<std::uint32_t>(owner.shards_.size());
    std::uint32_t const shard = shard_of(call.key_, shard_count);
    if (auto const reason = refusal_of_new_key(owner, shard, now))
    {
        out.emplace_back(refuse(call.request_, *reason, run_state::not_run));
        return;
    }
    key_record record;
    record.shard_ = shard;
    record.fingerprint_ = call.fingerprint_;
    record.waiters_.push_back({call.request_, now, call.deadline_});
    owner.records_.emplace(key, std::move(record));
    owner.keys_with_waiters_.insert(key);
    owner.queue_.push_back(key);
    put_if_due(owner, now, out);
}

void on(shard_owner& owner, put_finished const& put, time_point now,
        actions& out)
{
    if (!owner.put_ || owner.put_->segment_.number_ != put.number_ ||
        owner.put_->phase_ != put_phase::writing)
    {
        return;
    }
    switch (put.status_)
    {
    case put_status::created:
        on_segment_durable(owner, now, out);
        return;
    case put_status::conflict:
        // The name may exist because of an earlier attempt to write this
        // segment.
        read_back(owner, out);
        return;
    case put_status::not_sent:
        retry_later(owner, put_phase::write_later, now);
        return;
    case put_status::lost:
        retry_later(owner, put_phase::read_later, now);
        return;
    }
}

void on(shard_owner& owner, segment_read const& read, time_point now,
        actions& out)
{
    if (!owner.put_ || owner.put_->segment_.number_ != read.number_ ||
        owner.put_->phase_ != put_phase::reading)
    {
        return;
    }
    if (read.is_failed_)
    {
        retry_later(owner, put_phase::read_later, now);
        return;
    }
    if (!read.segment_)
    {
        // The lost create may still take effect. Only the same segment may be
        // written under this name, so that both make the same claims.
        retry_later(owner, put_phase::write_later, now);
        return;
    }
    if (read.segment_->writer_ != owner.put_->segment_.writer_ ||
        read.segment_->content_id_ != owner.put_->segment_.content_id_)
    {
        on_fenced(owner, out);
        return;
    }
    on_segment_durable(owner, now, out);
}

void on(shard_owner& owner, call_finished const& call, time_point now,
        actions& out)
{
    auto const found = owner.records_.find(call.key_);
    if (found == owner.records_.end() ||
        found->second.state_ != key_state::running)
    {
        return;
    }
    key_record& record = found->second;
    --owner.running_;
    if (call.status_ == call_status::not_sent)
    {
        record.state_ = key_state::claimed;
        respond_to_waiters(record, refusal_reason::no_endpoint,
                           run_state::not_run, out);
    }
    else if (call.status_ == call_status::lost || !call.outcome_)
    {
        record.state_ = key_state::unknown;
        respond_to_waiters(record, refusal_reason::call_outcome_unknown,
                           run_state::unknown, out);
    }
    else
    {
        auto const waiters = std::move(record.waiters_);
        record.waiters_.clear();
        store_outcome(owner, call.key_, record, call.outcome_);
        bool is_replay = false;
        for (auto const& waiter : waiters)
        {
            out.emplace_back(respond_to_call{
                waiter.request_, refusal_reason::key_in_progress,
                run_state::ran, call.outcome_, is_replay});
            is_replay = true;
        }
    }
    put_if_due(owner, now, out);
}

void inherit(shard_owner& owner, inherited_key const& inherited, time_point now)
{
    claimed_key const& claim = inherited.claim_;
    auto& record = owner.records_[claim.key_];
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
    owner.expiry_.emplace_back(now + owner.settings_.key_lifetime_, claim.key_);
    if (claim.outcome_)
    {
        store_outcome(owner, claim.key_, record, claim.outcome_);
    }
}

void on(shard_owner& owner, shards_acquired const& acquired, time_point now,
        actions& /*out*/)
{
    if (acquired.log_ != owner.log_)
    {
        if (!owner.is_fenced_ || acquired.log_.epoch_ < owner.log_.epoch_)
        {
            return;
        }
        owner.log_ = acquired.log_;
        owner.next_number_ = 0;
        owner.is_fenced_ = false;
        owner.failing_since_.reset();
    }
    if (owner.is_fenced_)
    {
        return;
    }
    for (auto const& key : acquired.inherited_)
    {
        inherit(owner, key, now);
    }
    for (std::uint32_t const shard : acquired.shards_)
    {
        owner.shards_.at(shard) = shard_ownership::owned;
    }
}

void on(shard_owner& owner, release_requested const& release, time_point now,
        actions& out)
{
    for (std::uint32_t const shard : release.shards_)
    {
        if (owner.shards_.at(shard) == shard_ownership::owned)
        {
            owner.shards_[shard] = shard_ownership::closing;
            owner.is_transfer_requested_ = true;
        }
    }
    put_if_due(owner, now, out);
}

void on(shard_owner& owner, log_sealed const& sealed, time_point /*now*/,
        actions& out)
{
    if (sealed.log_ == owner.log_ && !owner.is_fenced_)
    {
        on_fenced(owner, out);
    }
}

} // namespace

shard_owner make_shard_owner(std::string service, std::uint32_t shards,
                             claim_log_id log, shard_owner_settings settings)
{
    shard_owner owner;
    owner.settings_ = settings;
    owner.service_ = std::move(service);
    owner.log_ = log;
    owner.shards_.assign(shards, shard_ownership::none);
    return owner;
}

std::vector<claim_action> apply(shard_owner& owner, claim_event const& event,
                                time_point now)
{
    actions out;
    std::visit([&](auto const& kind) { on(owner, kind, now, out); }, event);
    return out;
}

std::optional<time_point> next_wake(shard_owner const& owner)
{
    if (owner.put_)
    {
        bool const is_waiting = owner.put_->phase_ == put_phase::write_later ||
                                owner.put_->phase_ == put_phase::read_later;
        return is_waiting ? std::optional(owner.put_->retry_at_) : std::nullopt;
    }
    if (owner.queue_.empty() && !owner.is_transfer_requested_)
    {
        return std::nullopt;
    }
    return owner.last_put_at_ + owner.settings_.group_interval_;
}

bool is_idle(shard_owner const& owner)
{
    return !owner.put_ && owner.queue_.empty() && owner.running_ == 0;
}

microseconds group_interval(std::size_t owners, std::size_t writes_per_second)
{
    constexpr microseconds shortest{3'000};
    auto const share =
        microseconds{1'000'000 * std::max<std::size_t>(owners, 1) /
                     std::max<std::size_t>(writes_per_second, 1)};
    return std::max(shortest, share);
}

} // namespace auburnlb
