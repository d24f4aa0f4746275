// Updates of the endpoint directory and selection of plain endpoints.
#include "auburnlb/coordination/endpoint_directory.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace auburnlb
{

namespace
{

/// Penalty for an endpoint in another data centre, in units of load per slot.
constexpr double remote_penalty = 0.35;

/// A plain endpoint with this many of the router's requests per slot, running
/// and waiting, is full.
constexpr double max_requests_per_slot = 4;

/// An endpoint that has not responded to probes for this long is probably lost.
constexpr milliseconds max_silence{1'000};

bool has_other_layers(endpoint_record const& left, endpoint_record const& right)
{
    return left.layers_ != right.layers_;
}

/// Whether the run that a record names ended before the known one began, or has
/// been seen to end.
bool is_ended_run(endpoint_record const& record, endpoint_record const& known,
                  bool is_known_removed)
{
    return is_same_run(record, known)
               ? is_known_removed && record.sequence_ <= known.sequence_
               : record.started_ms_ < known.started_ms_;
}

bool is_among(std::vector<std::string> const& ids, std::string const& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// Keeps what a run has said about itself while it was out of the list.
void keep_notices(known_endpoint const& before, known_endpoint& after)
{
    if (is_same_run(before.record_, after.record_))
    {
        after.backoff_until_ = before.backoff_until_;
        after.has_announced_leaving_ = is_leaving(before);
    }
}

/// Returns the last run that is known of an endpoint, or null.
endpoint_record const* last_run(endpoint_directory const& directory,
                                std::string const& id)
{
    auto const found = directory.endpoints_.find(id);
    if (found != directory.endpoints_.end())
    {
        return &found->second->record_;
    }
    auto const removed = directory.removed_.find(id);
    return removed == directory.removed_.end()
               ? nullptr
               : &removed->second.endpoint_->record_;
}

bool is_doubtful(endpoint_directory const& directory,
                 endpoint_record const& record)
{
    endpoint_record const* const known = last_run(directory, record.id_);
    return known != nullptr &&
           is_ended_run(record, *known,
                        directory.removed_.contains(record.id_));
}

/// Whether a record is older than the known one of the same run. A run does not
/// cease to drain before its end.
bool is_outdated(endpoint_record const& record, endpoint_record const& known)
{
    return record.sequence_ < known.sequence_ ||
           (known.is_draining_ && !record.is_draining_);
}

endpoint_change update_record(known_endpoint& endpoint,
                              endpoint_record const& record, record_age age)
{
    endpoint_record const& known = endpoint.record_;
    bool const is_ignored =
        age == record_age::unknown && is_outdated(record, known);
    if (is_ignored || known == record)
    {
        return endpoint_change::none;
    }
    bool const leaves = record.is_draining_ && !known.is_draining_;
    if (has_other_layers(known, record))
    {
        endpoint.layers_missing_until_ = time_point{};
    }
    endpoint.record_ = record;
    return leaves ? endpoint_change::leaving : endpoint_change::updated;
}

/// An address serves one process, so the runs that began there before this one
/// have ended, whether or not they are still listed.
void replace_runs_at_address(endpoint_directory& directory,
                             endpoint_record const& record, time_point now)
{
    for (auto const& [id, endpoint] : directory.endpoints_)
    {
        endpoint_record const& known = endpoint->record_;
        if (known.id_ != record.id_ && known.address_ == record.address_ &&
            known.started_ms_ < record.started_ms_)
        {
            record_run_replaced(*endpoint, now);
        }
    }
}

double load_score(known_endpoint const& endpoint,
                  std::string const& data_centre, time_point now)
{
    double const requests =
        static_cast<double>(total_load(endpoint).requests_) + 1;
    double const load_per_slot =
        requests / std::max(1.0, static_cast<double>(endpoint.record_.slots_));
    double const penalty =
        endpoint.record_.data_centre_ == data_centre ? 0 : remote_penalty;
    return (load_per_slot + penalty) * cost_factor(endpoint.health_, now);
}

} // namespace

endpoint_load& operator+=(endpoint_load& sum, endpoint_load const& load)
{
    sum.requests_ += load.requests_;
    sum.kv_reserved_ += load.kv_reserved_;
    sum.prefill_backlog_ += load.prefill_backlog_;
    return sum;
}

endpoint_load total_load(known_endpoint const& endpoint)
{
    endpoint_load total = endpoint.load_;
    total += endpoint.other_routers_load_;
    return total;
}

endpoint_change apply_record(endpoint_directory& directory,
                             endpoint_record const& record, record_age age,
                             time_point now)
{
    if (age == record_age::unknown && is_doubtful(directory, record))
    {
        directory.doubtful_[record.id_] = {record, now};
        return endpoint_change::none;
    }
    directory.doubtful_.erase(record.id_);
    auto const removed = directory.removed_.extract(record.id_);
    endpoint_ptr& entry = directory.endpoints_[record.id_];
    if (entry == nullptr)
    {
        entry = std::make_shared<known_endpoint>();
        entry->record_ = record;
        if (!removed.empty())
        {
            keep_notices(*removed.mapped().endpoint_, *entry);
        }
        replace_runs_at_address(directory, record, now);
        return endpoint_change::joined;
    }
    entry->missing_since_.reset();
    if (is_same_run(entry->record_, record))
    {
        return update_record(*entry, record, age);
    }
    // Requests in progress belong to the previous run and keep its object.
    entry->is_removed_ = true;
    entry = std::make_shared<known_endpoint>();
    entry->record_ = record;
    replace_runs_at_address(directory, record, now);
    return endpoint_change::replaced;
}

std::vector<std::string> replaced_runs(endpoint_directory const& directory,
                                       endpoint_record const& record)
{
    std::vector<std::string> runs;
    auto const same = directory.endpoints_.find(record.id_);
    if (same != directory.endpoints_.end() &&
        is_same_run(same->second->record_, record))
    {
        return runs;
    }
    for (auto const& [id, endpoint] : directory.endpoints_)
    {
        endpoint_record const& known = endpoint->record_;
        bool const is_in_its_place =
            known.id_ == record.id_ || known.address_ == record.address_;
        if (is_in_its_place && run_id_of(known) != run_id_of(record))
        {
            runs.push_back(run_id_of(known));
        }
    }
    return runs;
}

run_status status_of_run(endpoint_record const& record,
                         std::uint64_t started_ms)
{
    if (started_ms == record.started_ms_)
    {
        return run_status::alive;
    }
    return started_ms > record.started_ms_ ? run_status::ended
                                           : run_status::unknown;
}

run_status status_of_answer(endpoint_record const& record,
                            std::optional<std::uint64_t> started_ms)
{
    if (started_ms)
    {
        return status_of_run(record, *started_ms);
    }
    return record.accelerator_.empty() ? run_status::alive
                                       : run_status::unknown;
}

std::vector<endpoint_record> take_confirmed(endpoint_directory& directory,
                                            time_point now)
{
    std::vector<endpoint_record> confirmed;
    std::erase_if(directory.doubtful_,
                  [&](auto const& entry)
                  {
                      bool const is_confirmed =
                          now - entry.second.listed_at_ >= stale_listing_time;
                      if (is_confirmed)
                      {
                          confirmed.push_back(entry.second.record_);
                      }
                      return is_confirmed;
                  });
    std::erase_if(
        directory.removed_, [now](auto const& entry)
        { return now - entry.second.removed_at_ >= removed_run_retention; });
    return confirmed;
}

endpoint_change apply_removal(endpoint_directory& directory,
                              std::string const& id, time_point now)
{
    directory.doubtful_.erase(id);
    auto const found = directory.endpoints_.find(id);
    if (found == directory.endpoints_.end())
    {
        return endpoint_change::none;
    }
    if (now < directory.list_trusted_at_)
    {
        found->second->missing_since_ = now;
        directory.has_missing_ = true;
        return endpoint_change::none;
    }
    found->second->is_removed_ = true;
    directory.removed_[id] = {found->second, now};
    directory.endpoints_.erase(found);
    return endpoint_change::removed;
}

void on_platform_recovered(endpoint_directory& directory, time_point now)
{
    directory.list_trusted_at_ = now + list_recovery_time;
}

std::vector<endpoint_ptr> expire_missing(endpoint_directory& directory,
                                         time_point now)
{
    std::vector<endpoint_ptr> removed;
    if (!directory.has_missing_ || now < directory.list_trusted_at_)
    {
        return removed;
    }
    directory.has_missing_ = false;
    std::erase_if(directory.endpoints_,
                  [&](auto const& entry)
                  {
                      if (!entry.second->missing_since_)
                      {
                          return false;
                      }
                      entry.second->is_removed_ = true;
                      directory.removed_[entry.first] = {entry.second, now};
                      removed.push_back(entry.second);
                      return true;
                  });
    return removed;
}

std::vector<endpoint_ptr> endpoints_of(endpoint_directory const& directory,
                                       std::string const& service)
{
    std::vector<endpoint_ptr> endpoints;
    for (auto const& [id, endpoint] : directory.endpoints_)
    {
        if (endpoint->record_.service_ == service && !is_leaving(*endpoint))
        {
            endpoints.push_back(endpoint);
        }
    }
    return endpoints;
}

bool accepts_requests(known_endpoint const& endpoint, time_point now)
{
    return !endpoint.is_removed_ && !is_leaving(endpoint) &&
           now >= endpoint.full_until_ && is_available(endpoint.health_, now);
}

bool may_be_sent_to(known_endpoint const& endpoint, time_point now)
{
    return now >= endpoint.backoff_until_ &&
           may_send(endpoint.rate_limit_, now);
}

bool is_leaving(known_endpoint const& endpoint)
{
    return endpoint.record_.is_draining_ || endpoint.has_announced_leaving_;
}

void record_backoff(known_endpoint& endpoint, milliseconds backoff,
                    time_point now)
{
    endpoint.backoff_until_ = std::max(endpoint.backoff_until_, now + backoff);
}

time_point backoff_end(std::vector<endpoint_ptr> const& endpoints,
                       time_point now)
{
    std::optional<time_point> first;
    for (endpoint_ptr const& each : endpoints)
    {
        first = std::min(first.value_or(each->backoff_until_),
                         each->backoff_until_);
    }
    return std::max(first.value_or(now), now);
}

std::vector<endpoint_ptr>
path_begins(std::vector<endpoint_ptr> const& engines,
            std::vector<std::string> const& allowed_ids)
{
    std::vector<endpoint_ptr> begins;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(begins),
                 [&allowed_ids](endpoint_ptr const& each)
                 {
                     auto const& layers = each->record_.layers_;
                     return layers && layers->first_ == 0 &&
                            (allowed_ids.empty() ||
                             is_among(allowed_ids, each->record_.id_));
                 });
    return begins;
}

bool has_responded_since(known_endpoint const& endpoint, time_point since)
{
    return std::max(endpoint.last_progress_, endpoint.probe_answered_) >= since;
}

bool has_failed_since(known_endpoint const& endpoint, time_point since)
{
    return endpoint.probe_failed_ >= since &&
           !has_responded_since(endpoint, endpoint.probe_failed_);
}

void record_probe_failure(known_endpoint& endpoint, bool is_refused,
                          time_point now)
{
    bool const is_first = !has_failed_since(endpoint, endpoint.silent_since_);
    if (is_first)
    {
        endpoint.silent_since_ = now;
    }
    endpoint.probe_failed_ = now;
    endpoint.is_refusing_connections_ = is_refused;
}

void record_probe_answer(known_endpoint& endpoint, run_status status,
                         time_point now)
{
    if (status == run_status::alive)
    {
        endpoint.probe_answered_ = now;
    }
    if (status == run_status::ended)
    {
        record_run_replaced(endpoint, now);
    }
}

void record_run_replaced(known_endpoint& endpoint, time_point now)
{
    record_probe_failure(endpoint, true, now);
    record_health_signal(endpoint.health_, health_signal::silence, now);
}

bool is_probably_lost(known_endpoint const& endpoint, time_point now)
{
    if (!has_failed_since(endpoint, endpoint.silent_since_))
    {
        return false;
    }
    return endpoint.is_refusing_connections_ ||
           now - endpoint.silent_since_ >= max_silence;
}

path_engine to_path_engine(known_endpoint const& endpoint,
                           model_profile const& model, time_point now)
{
    path_engine engine;
    engine.id_ = endpoint.record_.id_;
    engine.address_ = endpoint.record_.address_;
    engine.data_centre_ = endpoint.record_.data_centre_;
    engine.layers_ = endpoint.record_.layers_.value_or(layer_range{});
    auto const accelerator =
        model.accelerators_.find(endpoint.record_.accelerator_);
    if (accelerator != model.accelerators_.end())
    {
        engine.accelerator_ = accelerator->second;
    }
    std::uint32_t const layer_count =
        engine.layers_.end_ - engine.layers_.first_;
    engine.kv_capacity_ =
        kv_capacity_tokens(model, engine.accelerator_, layer_count) *
        static_cast<double>(layer_count);
    endpoint_load const total = total_load(endpoint);
    engine.kv_reserved_ = total.kv_reserved_;
    engine.streams_ = total.requests_;
    engine.slots_ = endpoint.record_.slots_;
    engine.prefill_backlog_ = total.prefill_backlog_;
    engine.may_be_first_ = may_be_sent_to(endpoint, now);
    engine.cost_factor_ = cost_factor(endpoint.health_, now);
    engine.is_usable_ = layer_count > 0 &&
                        accelerator != model.accelerators_.end() &&
                        now >= endpoint.layers_missing_until_ &&
                        accepts_requests(endpoint, now);
    return engine;
}

endpoint_ptr choose_endpoint(std::vector<endpoint_ptr> const& endpoints,
                             std::string const& data_centre,
                             std::vector<std::string> const& excluded_ids,
                             time_point now)
{
    endpoint_ptr best;
    double lowest_score = std::numeric_limits<double>::infinity();
    for (endpoint_ptr const& each : endpoints)
    {
        bool const is_excluded = is_among(excluded_ids, each->record_.id_);
        bool const is_full =
            each->load_.requests_ >=
            max_requests_per_slot * static_cast<double>(each->record_.slots_);
        if (is_excluded || is_full || !accepts_requests(*each, now) ||
            !may_be_sent_to(*each, now))
        {
            continue;
        }
        double const score = load_score(*each, data_centre, now);
        if (score < lowest_score)
        {
            lowest_score = score;
            best = each;
        }
    }
    return best;
}

void add_load(known_endpoint& endpoint, endpoint_load const& load)
{
    endpoint.load_ += load;
}

void subtract_load(known_endpoint& endpoint, endpoint_load const& load)
{
    endpoint_load& own = endpoint.load_;
    own.requests_ -= std::min(own.requests_, load.requests_);
    own.kv_reserved_ = std::max(0.0, own.kv_reserved_ - load.kv_reserved_);
    own.prefill_backlog_ =
        std::max(0.0, own.prefill_backlog_ - load.prefill_backlog_);
    if (own.requests_ == 0)
    {
        // Sums of fractions leave a rest, which would count as a reservation.
        own = {};
    }
}

} // namespace auburnlb
