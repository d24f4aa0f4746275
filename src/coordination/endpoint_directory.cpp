// Keeping records, loads and health of endpoints together.
#include "auburnlb/coordination/endpoint_directory.hpp"

#include <algorithm>
#include <limits>

namespace auburnlb
{

namespace
{

/// What being in another data centre counts for, as a part of an endpoint's
/// slots.
constexpr double remote_share = 0.35;

/// Requests that a plain endpoint may have waiting for each slot before it is
/// taken for full.
constexpr double max_requests_per_slot = 4;

bool has_other_layers(endpoint_record const& left, endpoint_record const& right)
{
    return left.layers_ != right.layers_;
}

double load_share(known_endpoint const& endpoint,
                  std::string const& data_centre, time_point now)
{
    double const requests =
        static_cast<double>(total_load(endpoint).requests_) + 1;
    double const share =
        requests / std::max(1.0, static_cast<double>(endpoint.record_.slots_));
    double const distance =
        endpoint.record_.data_centre_ == data_centre ? 0 : remote_share;
    return (share + distance) * cost_factor(endpoint.health_, now);
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
                             endpoint_record const& record)
{
    endpoint_ptr& slot = directory.endpoints_[record.id_];
    if (slot == nullptr)
    {
        slot = std::make_shared<known_endpoint>();
        slot->record_ = record;
        return endpoint_change::joined;
    }
    slot->missing_since_.reset();
    if (!is_same_run(slot->record_, record))
    {
        // Requests in progress belong to the run before and keep its object.
        slot->is_removed_ = true;
        slot = std::make_shared<known_endpoint>();
        slot->record_ = record;
        return endpoint_change::replaced;
    }
    if (slot->record_ == record)
    {
        return endpoint_change::none;
    }
    bool const leaves = record.is_draining_ && !slot->record_.is_draining_;
    if (has_other_layers(slot->record_, record))
    {
        slot->layers_missing_until_ = time_point{};
    }
    slot->record_ = record;
    return leaves ? endpoint_change::leaving : endpoint_change::updated;
}

endpoint_change apply_removal(endpoint_directory& directory,
                              std::string const& id, time_point now)
{
    auto const found = directory.endpoints_.find(id);
    if (found == directory.endpoints_.end())
    {
        return endpoint_change::none;
    }
    if (now < directory.list_trusted_at_)
    {
        found->second->missing_since_ = now;
        return endpoint_change::none;
    }
    found->second->is_removed_ = true;
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
    if (now < directory.list_trusted_at_)
    {
        return removed;
    }
    std::erase_if(directory.endpoints_,
                  [&](auto const& entry)
                  {
                      if (!entry.second->missing_since_)
                      {
                          return false;
                      }
                      entry.second->is_removed_ = true;
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
        if (endpoint->record_.service_ == service &&
            !endpoint->record_.is_draining_)
        {
            endpoints.push_back(endpoint);
        }
    }
    return endpoints;
}

bool takes_requests(known_endpoint const& endpoint, time_point now)
{
    return !endpoint.is_removed_ && !endpoint.record_.is_draining_ &&
           is_trusted(endpoint.health_, now);
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
    std::uint32_t const held = engine.layers_.end_ - engine.layers_.first_;
    engine.kv_capacity_ = kv_capacity_tokens(model, engine.accelerator_, held) *
                          static_cast<double>(held);
    endpoint_load const total = total_load(endpoint);
    engine.kv_reserved_ = total.kv_reserved_;
    engine.streams_ = total.requests_;
    engine.slots_ = endpoint.record_.slots_;
    engine.prefill_backlog_ = total.prefill_backlog_;
    engine.cost_factor_ = cost_factor(endpoint.health_, now);
    engine.is_usable_ = held > 0 && accelerator != model.accelerators_.end() &&
                        now >= endpoint.layers_missing_until_ &&
                        takes_requests(endpoint, now);
    return engine;
}

endpoint_ptr choose_endpoint(std::vector<endpoint_ptr> const& endpoints,
                             std::string const& data_centre,
                             std::vector<std::string> const& excluded_ids,
                             time_point now)
{
    endpoint_ptr best;
    double least = std::numeric_limits<double>::infinity();
    for (endpoint_ptr const& each : endpoints)
    {
        bool const is_excluded =
            std::find(excluded_ids.begin(), excluded_ids.end(),
                      each->record_.id_) != excluded_ids.end();
        bool const is_full =
            each->load_.requests_ >=
            max_requests_per_slot * static_cast<double>(each->record_.slots_);
        if (is_excluded || is_full || !takes_requests(*each, now))
        {
            continue;
        }
        double const share = load_share(*each, data_centre, now);
        if (share < least)
        {
            least = share;
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
}

} // namespace auburnlb
