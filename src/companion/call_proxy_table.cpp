// Implementation of call_proxy: claim table, takeover and release of shards,
// and removal of old claim segments.
#include <algorithm>

#include "auburnlb/state/log.hpp"
#include "call_proxy_impl.hpp"

namespace auburnlb
{
namespace
{

constexpr milliseconds cleanup_interval{60'000};
constexpr std::size_t max_removals_per_cleanup = 50;

std::int64_t wall_clock_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

// Claim table.

void call_proxy::impl::handle_event(takeover_event const& event)
{
    for (auto const& action : apply(takeover_, event))
    {
        execute_action(action);
    }
}

void call_proxy::impl::execute_action(takeover_action const& action)
{
    if (auto const* put = std::get_if<put_segment>(&action))
    {
        execute(*put, true);
    }
    else if (auto const* read = std::get_if<read_table>(&action))
    {
        execute(*read);
    }
    else if (auto const* list = std::get_if<list_log>(&action))
    {
        execute(*list);
    }
    else if (auto const* change = std::get_if<put_table>(&action))
    {
        execute(*change);
    }
    else if (auto const* ended = std::get_if<takeover_ended>(&action))
    {
        execute(*ended);
    }
}

void call_proxy::impl::execute(read_table const& /*action*/)
{
    platform_.get(claim_table_kind, options_.service_,
                  locked_handler<platform_object>(
                      [](impl& self, result<platform_object> const& response)
                      {
                          table_read read;
                          if (response)
                          {
                              auto table =
                                  table_from_json(response.value().value_);
                              read.is_failed_ = !table;
                              read.version_ = response.value().version_;
                              if (table)
                              {
                                  read.table_ = std::move(table).value();
                              }
                          }
                          else
                          {
                              read.is_failed_ = response.error().code_ !=
                                                error_code::not_found;
                          }
                          self.handle_event(takeover_event{read});
                      }));
}

void call_proxy::impl::execute(list_log const& action)
{
    platform_.list(
        claim_segment_kind, log_prefix(options_.service_, action.log_),
        locked_handler<std::vector<platform_object>>(
            [](impl& self, result<std::vector<platform_object>>& response)
            { self.listed_log_ = std::move(response); }));
}

/// Parses a listed claim log. Runs on the proxy's thread without the lock,
/// because a long log takes a second to parse and must not block calls or other
/// HTTP transfers.
void call_proxy::impl::parse_listed_log(
    result<std::vector<platform_object>> const& response)
{
    log_listed listed;
    listed.is_failed_ = !response;
    if (response)
    {
        for (auto const& object : response.value())
        {
            auto segment = segment_from_json(object.value_);
            if (!segment)
            {
                // A log that is only partly readable does not show which keys
                // were claimed.
                listed.is_failed_ = true;
                break;
            }
            listed.segments_.push_back(std::move(segment).value());
        }
    }
    std::sort(listed.segments_.begin(), listed.segments_.end(),
              [](auto const& left, auto const& right)
              { return left.number_ < right.number_; });
    run_locked([&] { handle_event(takeover_event{listed}); });
}

void call_proxy::impl::execute(put_table const& action)
{
    platform_object const object{claim_table_kind, options_.service_, 0,
                                 to_json(action.table_), false};
    platform_.put(object, action.expected_version_,
                  locked_handler<std::uint64_t>(
                      [](impl& self, result<std::uint64_t> const& response)
                      {
                          self.handle_event(takeover_event{
                              table_put_finished{to_put_status(response)}});
                      }));
}

void call_proxy::impl::execute(takeover_ended const& ended)
{
    if (ended.is_log_sealed_)
    {
        handle_event(claim_event{log_sealed{ended.acquired_.log_}});
    }
    if (ended.is_failed_)
    {
        return;
    }
    table_ = ended.table_;
    is_table_check_due_ = false;
    std::erase_if(released_,
                  [&](std::uint32_t shard)
                  {
                      return std::count(ended.released_.begin(),
                                        ended.released_.end(), shard) > 0;
                  });
    if (ended.acquired_.shards_.empty())
    {
        return;
    }
    if (owner_->log_ != ended.acquired_.log_)
    {
        log_started_at_ = clock_.now();
    }
    handle_event(claim_event{ended.acquired_});
    metrics_.add("auburnlb_claim_shards_taken_total", {},
                 static_cast<double>(ended.acquired_.shards_.size()));
    log(log_level::info, log_event::claim_home_taken,
        {{"service", options_.service_},
         {"shards", std::to_string(ended.acquired_.shards_.size())},
         {"inherited_keys", std::to_string(ended.acquired_.inherited_.size())}},
        "this endpoint took over key shards");
}

void call_proxy::impl::on_fleet_update(
    std::vector<endpoint_description> const& endpoints)
{
    time_point const now = clock_.now();
    auto previous_endpoints = std::move(endpoints_);
    endpoints_.clear();
    bool is_changed = !is_fleet_known_;
    for (auto const& endpoint : endpoints)
    {
        if (endpoint.service_ != options_.service_)
        {
            continue;
        }
        service_endpoint known{endpoint.incarnation_, endpoint.state_,
                               std::nullopt};
        auto const previous = previous_endpoints.find(endpoint.address_);
        bool const is_same =
            previous != previous_endpoints.end() &&
            previous->second.incarnation_ == endpoint.incarnation_;
        is_changed |= !is_same || previous->second.state_ != endpoint.state_;
        if (endpoint.state_ == host_state::dead)
        {
            known.dead_since_ = is_same && previous->second.dead_since_
                                    ? previous->second.dead_since_
                                    : std::optional(now);
        }
        endpoints_[endpoint.address_] = known;
    }
    for (auto const& [address, known] : previous_endpoints)
    {
        // An endpoint that is no longer listed counts as dead.
        if (!endpoints_.contains(address))
        {
            auto& missing = endpoints_[address] = known;
            is_changed |= !missing.dead_since_;
            missing.dead_since_ = missing.dead_since_.value_or(now);
        }
    }
    is_fleet_known_ = true;
    if (is_changed)
    {
        fleet_changed_at_ = now;
        is_table_check_due_ = true;
    }
}

/// Tracks owners that are in the claim table but not in the fleet. They are
/// replaced after the same timeout as dead endpoints.
void call_proxy::impl::update_unknown_owners()
{
    std::map<incarnation_id, time_point> unknown;
    for (auto const& entry : table_->logs_)
    {
        incarnation_id const incarnation = entry.log_.incarnation_;
        bool const is_listed =
            std::any_of(endpoints_.begin(), endpoints_.end(),
                        [&](auto const& item)
                        { return item.second.incarnation_ == incarnation; });
        if (is_listed || incarnation == options_.incarnation_)
        {
            continue;
        }
        auto const previous = unknown_since_.find(incarnation);
        unknown[incarnation] =
            previous == unknown_since_.end() ? clock_.now() : previous->second;
    }
    unknown_since_ = std::move(unknown);
}

std::vector<std::string> call_proxy::impl::find_live_addresses() const
{
    std::vector<std::string> live;
    if (!leaving_since_)
    {
        live.push_back(options_.address_);
    }
    for (auto const& [address, endpoint] : endpoints_)
    {
        if (address != options_.address_ && !endpoint.dead_since_ &&
            endpoint.state_ == host_state::live)
        {
            live.push_back(address);
        }
    }
    return live;
}

std::vector<incarnation_id> call_proxy::impl::find_dead_incarnations() const
{
    std::vector<incarnation_id> gone;
    time_point const now = clock_.now();
    for (auto const& [address, endpoint] : endpoints_)
    {
        if (endpoint.dead_since_ &&
            now - *endpoint.dead_since_ >= options_.dead_owner_timeout_)
        {
            gone.push_back(endpoint.incarnation_);
        }
    }
    for (auto const& [incarnation, since] : unknown_since_)
    {
        if (now - since >= options_.dead_owner_timeout_)
        {
            gone.push_back(incarnation);
        }
    }
    return gone;
}

claim_view call_proxy::impl::make_claim_view() const
{
    claim_view view;
    view.address_ = options_.address_;
    view.log_ = owner_->log_;
    if (owner_->is_fenced_)
    {
        ++view.log_.epoch_;
    }
    view.ownership_ = owner_->shards_;
    view.released_ = released_;
    view.live_addresses_ = find_live_addresses();
    view.dead_incarnations_ = find_dead_incarnations();
    view.wall_clock_ms_ = wall_clock_ms();
    view.key_lifetime_ = owner_->settings_.key_lifetime_;
    return view;
}

/// Returns true if the claim table as last read requires an action of this
/// owner, or has to be read again.
bool call_proxy::impl::has_table_work() const
{
    if (is_table_check_due_ || !table_ || owner_->is_fenced_ ||
        !released_.empty())
    {
        return true;
    }
    // Other owners will release the shards for which this owner is preferred.
    claim_view const current = make_claim_view();
    for (std::uint32_t shard = 0; shard < table_->shards_.size(); ++shard)
    {
        if (current.ownership_[shard] == shard_ownership::none &&
            preferred_owner(shard, current.live_addresses_) ==
                options_.address_)
        {
            return true;
        }
    }
    return !shards_to_take(*table_, current).empty();
}

void call_proxy::impl::release_shards()
{
    if (clock_.now() - fleet_changed_at_ < options_.rebalance_delay_)
    {
        return;
    }
    auto shards = shards_to_release(make_claim_view());
    if (!shards.empty())
    {
        handle_event(claim_event{release_requested{std::move(shards)}});
    }
}

void call_proxy::impl::release_all_shards()
{
    release_requested request;
    for (std::uint32_t shard = 0; shard < owner_->shards_.size(); ++shard)
    {
        request.shards_.push_back(shard);
    }
    handle_event(claim_event{request});
}

/// Starts a new claim log once the current one is older than the key lifetime.
/// Segments are removed only from sealed logs, so the log of a long-lived owner
/// would otherwise grow without limit.
void call_proxy::impl::rotate_old_log()
{
    bool const is_old =
        clock_.now() - log_started_at_ >= owner_->settings_.key_lifetime_;
    if (is_old && owner_->next_number_ > 0 && auburnlb::is_idle(*owner_) &&
        !owner_->is_fenced_)
    {
        handle_event(claim_event{log_sealed{owner_->log_}});
    }
}

void call_proxy::impl::run_maintenance()
{
    time_point const now = clock_.now();
    // The jitter prevents owners from repeatedly updating the table at the same
    // time.
    constexpr std::uint64_t golden_ratio = 0x9E3779B97F4A7C15ULL;
    auto const jitter = milliseconds{
        (options_.incarnation_ + ++table_checks_) * golden_ratio %
        (static_cast<std::uint64_t>(options_.table_check_interval_.count()) /
             2 +
         1)};
    next_table_check_ = now + options_.table_check_interval_ - jitter;
    if (!is_fleet_known_ || takeover_.phase_ != takeover_phase::idle)
    {
        return;
    }
    if (table_)
    {
        update_unknown_owners();
    }
    if (leaving_since_)
    {
        release_all_shards();
    }
    else
    {
        rotate_old_log();
        release_shards();
    }
    if (now >= next_cleanup_)
    {
        next_cleanup_ = now + cleanup_interval;
        remove_old_segments();
    }
    if (has_table_work() ||
        table_checks_ % static_cast<std::uint64_t>(std::max<std::int64_t>(
                            options_.table_refresh_interval_ /
                                options_.table_check_interval_,
                            1)) ==
            0)
    {
        handle_event(takeover_event{takeover_started{make_claim_view()}});
    }
}

/// Removes segments that no takeover needs any more, one log per call. Only
/// the owner of the first shard removes segments.
void call_proxy::impl::remove_old_segments()
{
    bool const is_responsible =
        table_ && !table_->logs_.empty() &&
        owner_->shards_.front() == shard_ownership::owned;
    if (!is_responsible)
    {
        return;
    }
    claim_log_entry const entry =
        table_->logs_[next_cleanup_log_++ % table_->logs_.size()];
    auto const removable =
        removable_segments(options_.service_, entry, {0, 1}, wall_clock_ms(),
                           owner_->settings_.key_lifetime_);
    if (removable.empty())
    {
        return;
    }
    platform_.list(
        claim_segment_kind, log_prefix(options_.service_, entry.log_),
        locked_handler<std::vector<platform_object>>(
            [entry](impl& self,
                    result<std::vector<platform_object>> const& response)
            {
                if (!response)
                {
                    return;
                }
                std::vector<std::uint64_t> numbers;
                std::map<std::string, std::uint64_t> versions;
                for (auto const& object : response.value())
                {
                    if (auto segment = segment_from_json(object.value_))
                    {
                        numbers.push_back(segment.value().number_);
                        versions[object.name_] = object.version_;
                    }
                }
                auto names = removable_segments(
                    self.options_.service_, entry, numbers, wall_clock_ms(),
                    self.owner_->settings_.key_lifetime_);
                names.resize(std::min(names.size(), max_removals_per_cleanup));
                for (auto const& name : names)
                {
                    self.platform_.remove(claim_segment_kind, name,
                                          versions[name],
                                          [](result<std::uint64_t> const&) {});
                }
            }));
}

} // namespace auburnlb
