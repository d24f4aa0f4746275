// The gate's part in the table of homes: take-over, hand-over and removal.
#include <algorithm>

#include "auburnlb/state/log.hpp"
#include "call_proxy_impl.hpp"

namespace auburnlb
{
namespace
{

constexpr milliseconds cleanup_interval{60'000};
constexpr std::size_t max_removals = 50;

std::int64_t wall_clock_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

// The table of homes.

void call_proxy::impl::feed(takeover_event const& event)
{
    for (auto const& action : apply(takeover_, event))
    {
        act(action);
    }
}

void call_proxy::impl::act(takeover_action const& action)
{
    if (auto const* put = std::get_if<put_segment>(&action))
    {
        act_on(*put, true);
    }
    else if (auto const* read = std::get_if<read_table>(&action))
    {
        act_on(*read);
    }
    else if (auto const* list = std::get_if<list_log>(&action))
    {
        act_on(*list);
    }
    else if (auto const* change = std::get_if<put_table>(&action))
    {
        act_on(*change);
    }
    else if (auto const* ended = std::get_if<takeover_ended>(&action))
    {
        act_on(*ended);
    }
}

void call_proxy::impl::act_on(read_table const& /*action*/)
{
    platform_.get(claim_table_kind, options_.service_,
                  handler<platform_object>(
                      [](impl& self, result<platform_object> const& answer)
                      {
                          table_read read;
                          if (answer)
                          {
                              auto table =
                                  table_from_json(answer.value().value_);
                              read.is_failed_ = !table;
                              read.version_ = answer.value().version_;
                              if (table)
                              {
                                  read.table_ = std::move(table).value();
                              }
                          }
                          else
                          {
                              read.is_failed_ =
                                  answer.error().code_ != error_code::not_found;
                          }
                          self.feed(takeover_event{read});
                      }));
}

void call_proxy::impl::act_on(list_log const& action)
{
    platform_.list(
        claim_segment_kind, log_prefix(options_.service_, action.log_),
        handler<std::vector<platform_object>>(
            [](impl& self, result<std::vector<platform_object>>& answer)
            { self.listed_ = std::move(answer); }));
}

/// Runs on the gate's thread without the lock: a long log takes a second to
/// read, and neither calls nor other HTTP transfers wait for it.
void call_proxy::impl::read_listed_log(
    result<std::vector<platform_object>> const& answer)
{
    log_listed listed;
    listed.is_failed_ = !answer;
    if (answer)
    {
        for (auto const& object : answer.value())
        {
            auto segment = segment_from_json(object.value_);
            if (!segment)
            {
                // A log that cannot be read in full proves nothing.
                listed.is_failed_ = true;
                break;
            }
            listed.segments_.push_back(std::move(segment).value());
        }
    }
    std::sort(listed.segments_.begin(), listed.segments_.end(),
              [](auto const& left, auto const& right)
              { return left.number_ < right.number_; });
    locked([&] { feed(takeover_event{listed}); });
}

void call_proxy::impl::act_on(put_table const& action)
{
    platform_object const object{claim_table_kind, options_.service_, 0,
                                 to_json(action.table_), false};
    platform_.put(object, action.expected_version_,
                  handler<std::uint64_t>(
                      [](impl& self, result<std::uint64_t> const& answer) {
                          self.feed(takeover_event{
                              table_put_finished{to_put_status(answer)}});
                      }));
}

void call_proxy::impl::act_on(takeover_ended const& ended)
{
    if (ended.is_log_sealed_)
    {
        feed(claim_event{log_sealed{ended.acquired_.log_}});
    }
    if (ended.is_failed_)
    {
        return;
    }
    table_ = ended.table_;
    is_table_due_ = false;
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
    if (home_->log_ != ended.acquired_.log_)
    {
        log_started_ = clock_.now();
    }
    feed(claim_event{ended.acquired_});
    metrics_.add("auburnlb_claim_shards_taken_total", {},
                 static_cast<double>(ended.acquired_.shards_.size()));
    log(log_level::info, log_event::claim_home_taken,
        {{"service", options_.service_},
         {"shards", std::to_string(ended.acquired_.shards_.size())},
         {"inherited_keys", std::to_string(ended.acquired_.inherited_.size())}},
        "this endpoint is the home of more key shards");
}

void call_proxy::impl::on_fleet_update(
    std::vector<endpoint_description> const& endpoints)
{
    time_point const now = clock_.now();
    auto fleet = std::move(fleet_);
    fleet_.clear();
    bool is_changed = !is_fleet_known_;
    for (auto const& endpoint : endpoints)
    {
        if (endpoint.service_ != options_.service_)
        {
            continue;
        }
        known_endpoint known{endpoint.incarnation_, endpoint.state_,
                             std::nullopt};
        auto const before = fleet.find(endpoint.address_);
        bool const is_same =
            before != fleet.end() &&
            before->second.incarnation_ == endpoint.incarnation_;
        is_changed |= !is_same || before->second.state_ != endpoint.state_;
        if (endpoint.state_ == host_state::dead)
        {
            known.dead_since_ = is_same && before->second.dead_since_
                                    ? before->second.dead_since_
                                    : std::optional(now);
        }
        fleet_[endpoint.address_] = known;
    }
    for (auto const& [address, known] : fleet)
    {
        // An endpoint that is no longer listed counts as dead.
        if (!fleet_.contains(address))
        {
            auto& missing = fleet_[address] = known;
            is_changed |= !missing.dead_since_;
            missing.dead_since_ = missing.dead_since_.value_or(now);
        }
    }
    is_fleet_known_ = true;
    if (is_changed)
    {
        fleet_changed_at_ = now;
        is_table_due_ = true;
    }
}

/// Homes that the table names and the fleet does not are given the same time
/// to show up as a silent endpoint.
void call_proxy::impl::note_unknown_homes()
{
    std::map<incarnation_id, time_point> unknown;
    for (auto const& entry : table_->logs_)
    {
        incarnation_id const incarnation = entry.log_.incarnation_;
        bool const is_listed =
            std::any_of(fleet_.begin(), fleet_.end(),
                        [&](auto const& item)
                        { return item.second.incarnation_ == incarnation; });
        if (is_listed || incarnation == options_.incarnation_)
        {
            continue;
        }
        auto const before = unknown_since_.find(incarnation);
        unknown[incarnation] =
            before == unknown_since_.end() ? clock_.now() : before->second;
    }
    unknown_since_ = std::move(unknown);
}

std::vector<std::string> call_proxy::impl::live_addresses() const
{
    std::vector<std::string> live;
    if (!leaving_since_)
    {
        live.push_back(options_.address_);
    }
    for (auto const& [address, endpoint] : fleet_)
    {
        if (address != options_.address_ && !endpoint.dead_since_ &&
            endpoint.state_ == host_state::live)
        {
            live.push_back(address);
        }
    }
    return live;
}

std::vector<incarnation_id> call_proxy::impl::gone_incarnations() const
{
    std::vector<incarnation_id> gone;
    time_point const now = clock_.now();
    for (auto const& [address, endpoint] : fleet_)
    {
        if (endpoint.dead_since_ &&
            now - *endpoint.dead_since_ >= options_.dead_home_timeout_)
        {
            gone.push_back(endpoint.incarnation_);
        }
    }
    for (auto const& [incarnation, since] : unknown_since_)
    {
        if (now - since >= options_.dead_home_timeout_)
        {
            gone.push_back(incarnation);
        }
    }
    return gone;
}

claim_view call_proxy::impl::view() const
{
    claim_view view;
    view.address_ = options_.address_;
    view.log_ = home_->log_;
    if (home_->is_fenced_)
    {
        ++view.log_.epoch_;
    }
    view.ownership_ = home_->shards_;
    view.released_ = released_;
    view.live_addresses_ = live_addresses();
    view.dead_incarnations_ = gone_incarnations();
    view.wall_clock_ms_ = wall_clock_ms();
    view.key_lifetime_ = home_->settings_.key_lifetime_;
    return view;
}

/// Whether the table as last read shows something for this home to do.
bool call_proxy::impl::is_work_pending() const
{
    if (is_table_due_ || !table_ || home_->is_fenced_ || !released_.empty())
    {
        return true;
    }
    // Another home gives back what this one is wished for, sooner or later.
    claim_view const now = view();
    for (std::uint32_t shard = 0; shard < table_->shards_.size(); ++shard)
    {
        if (now.ownership_[shard] == shard_ownership::none &&
            preferred_owner(shard, now.live_addresses_) == options_.address_)
        {
            return true;
        }
    }
    return !shards_to_take(*table_, now).empty();
}

void call_proxy::impl::release_shards()
{
    if (clock_.now() - fleet_changed_at_ < options_.settle_after_)
    {
        return;
    }
    auto shards = shards_to_release(view());
    if (!shards.empty())
    {
        feed(claim_event{release_requested{std::move(shards)}});
    }
}

void call_proxy::impl::release_all()
{
    release_requested wanted;
    for (std::uint32_t shard = 0; shard < home_->shards_.size(); ++shard)
    {
        wanted.shards_.push_back(shard);
    }
    feed(claim_event{wanted});
}

/// Segments can only be removed behind a seal, so a home that lives long goes
/// on in a new log once its present one is older than the keys' lifetime.
void call_proxy::impl::rotate_old_log()
{
    bool const is_old =
        clock_.now() - log_started_ >= home_->settings_.key_lifetime_;
    if (is_old && home_->next_number_ > 0 && auburnlb::is_idle(*home_) &&
        !home_->is_fenced_)
    {
        feed(claim_event{log_sealed{home_->log_}});
    }
}

void call_proxy::impl::maintain()
{
    time_point const now = clock_.now();
    // The jitter keeps homes from meeting at the table again and again.
    constexpr std::uint64_t golden = 0x9E3779B97F4A7C15ULL;
    auto const jitter = milliseconds{
        (options_.incarnation_ + ++looks_) * golden %
        (static_cast<std::uint64_t>(options_.table_check_interval_.count()) /
             2 +
         1)};
    next_look_ = now + options_.table_check_interval_ - jitter;
    if (!is_fleet_known_ || takeover_.phase_ != takeover_phase::idle)
    {
        return;
    }
    if (table_)
    {
        note_unknown_homes();
    }
    if (leaving_since_)
    {
        release_all();
    }
    else
    {
        rotate_old_log();
        release_shards();
    }
    if (now >= next_cleanup_)
    {
        next_cleanup_ = now + cleanup_interval;
        clean_up();
    }
    if (is_work_pending() ||
        looks_ % static_cast<std::uint64_t>(std::max<std::int64_t>(
                     options_.table_refresh_ / options_.table_check_interval_,
                     1)) ==
            0)
    {
        feed(takeover_event{takeover_started{view()}});
    }
}

/// Removes what no take-over needs any more, one log at a time. Only the home
/// of the first shard does it.
void call_proxy::impl::clean_up()
{
    bool const is_cleaner = table_ && !table_->logs_.empty() &&
                            home_->shards_.front() == shard_ownership::owned;
    if (!is_cleaner)
    {
        return;
    }
    claim_log_entry const entry =
        table_->logs_[cleanup_at_++ % table_->logs_.size()];
    auto const is_old =
        removable_segments(options_.service_, entry, {0, 1}, wall_clock_ms(),
                           home_->settings_.key_lifetime_);
    if (is_old.empty())
    {
        return;
    }
    platform_.list(
        claim_segment_kind, log_prefix(options_.service_, entry.log_),
        handler<std::vector<platform_object>>(
            [entry](impl& self,
                    result<std::vector<platform_object>> const& answer)
            {
                if (!answer)
                {
                    return;
                }
                std::vector<std::uint64_t> numbers;
                std::map<std::string, std::uint64_t> versions;
                for (auto const& object : answer.value())
                {
                    if (auto segment = segment_from_json(object.value_))
                    {
                        numbers.push_back(segment.value().number_);
                        versions[object.name_] = object.version_;
                    }
                }
                auto names = removable_segments(
                    self.options_.service_, entry, numbers, wall_clock_ms(),
                    self.home_->settings_.key_lifetime_);
                names.resize(std::min(names.size(), max_removals));
                for (auto const& name : names)
                {
                    self.platform_.remove(claim_segment_kind, name,
                                          versions[name],
                                          [](result<std::uint64_t> const&) {});
                }
            }));
}

} // namespace auburnlb
