// Transitions of a claim home: group commit, fencing, replay of outcomes.
#include "auburnlb/protocol/claim_log.hpp"

#include <algorithm>

#include "auburnlb/protocol/claim_shards.hpp"

namespace auburnlb
{
namespace
{

using actions = std::vector<claim_action>;

/// Fixed cost of a remembered outcome beside its text.
constexpr std::size_t outcome_overhead_bytes = 64;
/// Outcomes of one hand-over. They are stored in hexadecimal and the platform
/// holds values up to a megabyte.
constexpr std::size_t max_hand_over_bytes = 256U << 10U;
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

/// Answers a key that has an outcome or can have none any more.
respond_to_call answer_settled(request_id request, key_record const& record)
{
    switch (record.stage_)
    {
    case key_stage::done:
        return {request, refusal_reason::key_in_progress, run_state::ran,
                record.outcome_, true};
    case key_stage::forgotten:
        return refuse(request, refusal_reason::key_outcome_unknown,
                      run_state::ran);
    default:
        return refuse(request, refusal_reason::key_outcome_unknown,
                      run_state::unknown);
    }
}

bool is_settled(key_record const& record)
{
    return record.stage_ == key_stage::done ||
           record.stage_ == key_stage::forgotten ||
           record.stage_ == key_stage::unknown;
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

void drop_oldest_outcome(shard_owner& home)
{
    auto const found = home.records_.find(home.outcomes_.front());
    home.outcomes_.pop_front();
    if (found == home.records_.end() || !found->second.outcome_)
    {
        return;
    }
    home.outcome_bytes_ -= size_of(*found->second.outcome_);
    found->second.outcome_ = nullptr;
    found->second.stage_ = key_stage::forgotten;
}

void remember_outcome(shard_owner& home, key_id key, key_record& record,
                      std::shared_ptr<call_outcome const> outcome)
{
    record.stage_ = key_stage::done;
    home.outcome_bytes_ += size_of(*outcome);
    record.outcome_ = std::move(outcome);
    home.outcomes_.push_back(key);
    while (home.outcome_bytes_ > home.settings_.max_outcome_bytes_)
    {
        drop_oldest_outcome(home);
    }
}

/// A running key is kept until its endpoint has answered, however long.
void forget_expired(shard_owner& home, time_point now)
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
        if (!is_settled(record) && record.stage_ != key_stage::claimed)
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

/// Why a call that has not run yet cannot wait any longer, if so.
std::optional<refusal_reason> overdue(shard_owner const& home,
                                      key_waiter const& waiter, time_point now)
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

/// A call may be told not_run while its key's put is undecided: without a
/// waiter the key becomes `claimed` and never runs on behalf of that call. If
/// another waiter may still run the key, the answer is `unknown`.
void refuse_overdue(shard_owner const& home, key_record& record, time_point now,
                    actions& out)
{
    auto& waiters = record.waiters_;
    for (std::size_t at = 0; at < waiters.size();)
    {
        key_waiter const waiter = waiters[at];
        auto const reason = overdue(home, waiter, now);
        if (!reason ||
            (record.stage_ == key_stage::running && !is_expired(waiter, now)))
        {
            ++at;
            continue;
        }
        waiters.erase(waiters.begin() + static_cast<std::ptrdiff_t>(at));
        bool const is_alone =
            waiters.empty() && record.stage_ != key_stage::running;
        out.emplace_back(
            is_alone ? refuse(waiter.request_, *reason, run_state::not_run)
                     : refuse(waiter.request_, refusal_reason::key_in_progress,
                              run_state::unknown));
    }
}

/// Runs a durable key for its first waiter whose deadline is still ahead.
void run_claimed(shard_owner& home, key_id key, key_record& record,
                 time_point now, actions& out)
{
    refuse_overdue(home, record, now, out);
    if (record.waiters_.empty() || home.is_fenced_)
    {
        return;
    }
    record.stage_ = key_stage::running;
    ++home.running_;
    out.emplace_back(run_call{record.waiters_.front().request_, key});
}

/// The keys to be handed over with their outcomes as far as they fit.
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
        if (bytes > max_hand_over_bytes)
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
                                  (record.stage_ == key_stage::waiting ||
                                   record.stage_ == key_stage::running);
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

std::vector<claimed_key> take_group(shard_owner& home)
{
    std::vector<claimed_key> group;
    std::size_t taken = 0;
    while (taken < home.queue_.size() &&
           group.size() < home.settings_.max_group_keys_)
    {
        key_id const key = home.queue_[taken++];
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
                      home.queue_.begin() + static_cast<std::ptrdiff_t>(taken));
    return group;
}

void maybe_put(shard_owner& home, time_point now, actions& out)
{
    if (home.put_ || home.is_fenced_ ||
        (home.next_number_ > 0 &&
         now < home.last_put_at_ + home.settings_.group_interval_))
    {
        return;
    }
    if (auto group = take_group(home); !group.empty())
    {
        start_put(home, segment_kind::claims, std::move(group), now, out);
        return;
    }
    if (home.is_hand_over_wanted_ && !has_unsettled_closing_key(home))
    {
        home.is_hand_over_wanted_ = false;
        start_put(home, segment_kind::hand_over, keys_to_hand_over(home), now,
                  out);
    }
}

void finish_hand_over(shard_owner& home, claim_segment const& segment,
                      actions& out)
{
    for (std::uint32_t const shard : segment.shards_)
    {
        home.shards_[shard] = shard_ownership::none;
    }
    out.emplace_back(shards_released{segment.shards_});
}

void on_durable(shard_owner& home, time_point now, actions& out)
{
    claim_segment const segment = std::move(home.put_->segment_);
    home.put_.reset();
    ++home.next_number_;
    home.failing_since_.reset();
    if (segment.kind_ == segment_kind::hand_over)
    {
        finish_hand_over(home, segment, out);
    }
    for (auto const& claim : segment.keys_)
    {
        auto const found = home.records_.find(claim.key_);
        if (found == home.records_.end() ||
            found->second.stage_ != key_stage::waiting)
        {
            continue;
        }
        found->second.stage_ = key_stage::claimed;
        home.expiry_.emplace_back(now + home.settings_.key_lifetime_,
                                  claim.key_);
        run_claimed(home, claim.key_, found->second, now, out);
    }
    maybe_put(home, now, out);
}

/// Nothing that has not been sent yet may run under a sealed log. Calls that
/// run keep their record, so that their outcome can still be looked up.
void on_fenced(shard_owner& home, actions& out)
{
    home.is_fenced_ = true;
    home.put_.reset();
    home.queue_.clear();
    home.is_hand_over_wanted_ = false;
    std::fill(home.shards_.begin(), home.shards_.end(), shard_ownership::none);
    for (auto at = home.records_.begin(); at != home.records_.end();)
    {
        key_record& record = at->second;
        if (record.stage_ != key_stage::waiting &&
            record.stage_ != key_stage::claimed)
        {
            ++at;
            continue;
        }
        answer_waiters(record, refusal_reason::not_shard_home,
                       run_state::not_run, out);
        at = home.records_.erase(at);
    }
    out.emplace_back(owner_fenced{home.log_});
}

/// Doubles with each failure. The jitter differs between homes, so that they
/// do not come back together after an outage.
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
    forget_expired(home, now);
    std::erase_if(home.awaited_,
                  [&](key_id const& key)
                  {
                      auto const found = home.records_.find(key);
                      if (found == home.records_.end())
                      {
                          return true;
                      }
                      refuse_overdue(home, found->second, now, out);
                      return found->second.waiters_.empty();
                  });
    retry_put(home, now, out);
    maybe_put(home, now, out);
}

void answer_lookup(shard_owner const& home, call_arrived const& call,
                   actions& out)
{
    auto const found = home.records_.find(make_key_id(call.key_));
    if (found == home.records_.end())
    {
        // The key may have run and been forgotten: no proof that it did not.
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

void join_record(shard_owner& home, key_id key, key_record& record,
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
    home.awaited_.insert(key);
    if (record.stage_ == key_stage::claimed)
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
        join_record(home, key, found->second, call, now, out);
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
    home.awaited_.insert(key);
    home.queue_.push_back(key);
    maybe_put(home, now, out);
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
        on_durable(home, now, out);
        return;
    case put_status::conflict:
        // The name may be taken by an earlier try of this very segment.
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
        // The lost create may still arrive: only the same segment may be
        // written under this name, so that both are the same claim.
        retry_later(home, put_phase::write_later, now);
        return;
    }
    if (read.segment_->writer_ != home.put_->segment_.writer_ ||
        read.segment_->content_id_ != home.put_->segment_.content_id_)
    {
        on_fenced(home, out);
        return;
    }
    on_durable(home, now, out);
}

void on(shard_owner& home, call_finished const& call, time_point now,
        actions& out)
{
    auto const found = home.records_.find(call.key_);
    if (found == home.records_.end() ||
        found->second.stage_ != key_stage::running)
    {
        return;
    }
    key_record& record = found->second;
    --home.running_;
    if (call.end_ == call_status::not_sent)
    {
        record.stage_ = key_stage::claimed;
        answer_waiters(record, refusal_reason::no_endpoint, run_state::not_run,
                       out);
    }
    else if (call.end_ == call_status::lost || !call.outcome_)
    {
        record.stage_ = key_stage::unknown;
        answer_waiters(record, refusal_reason::call_outcome_unknown,
                       run_state::unknown, out);
    }
    else
    {
        auto const waiters = std::move(record.waiters_);
        record.waiters_.clear();
        remember_outcome(home, call.key_, record, call.outcome_);
        bool is_replay = false;
        for (auto const& waiter : waiters)
        {
            out.emplace_back(respond_to_call{
                waiter.request_, refusal_reason::key_in_progress,
                run_state::ran, call.outcome_, is_replay});
            is_replay = true;
        }
    }
    maybe_put(home, now, out);
}

void inherit(shard_owner& home, inherited_key const& inherited, time_point now)
{
    claimed_key const& claim = inherited.claim_;
    auto& record = home.records_[claim.key_];
    // What this process remembers is newer than what a log says.
    bool const is_fresh =
        record.stage_ == key_stage::waiting && record.waiters_.empty();
    if (!is_fresh && !(record.stage_ == key_stage::unknown && claim.outcome_))
    {
        return;
    }
    record.stage_ = key_stage::unknown;
    record.shard_ = claim.shard_;
    record.fingerprint_ = claim.fingerprint_;
    home.expiry_.emplace_back(now + home.settings_.key_lifetime_, claim.key_);
    if (claim.outcome_)
    {
        remember_outcome(home, claim.key_, record, claim.outcome_);
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
            home.is_hand_over_wanted_ = true;
        }
    }
    maybe_put(home, now, out);
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
    if (home.queue_.empty() && !home.is_hand_over_wanted_)
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
