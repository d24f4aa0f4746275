// Order in which unfinished requests and connections give way.
#include "auburnlb/coordination/body_eviction.hpp"

#include <algorithm>
#include <map>
#include <queue>
#include <tuple>
#include <utility>

namespace auburnlb
{

namespace
{

/// The rate below which a request is stalled, over the silence after which it
/// may give way.
constexpr std::size_t min_progress_bytes = 128;

/// A body arrives steadily if it brings this in the same time: half a megabit a
/// second, a fortieth of the slowest callers' link.
constexpr std::size_t min_steady_bytes = std::size_t{16} * 1'024;

/// Descriptors that connections of callers leave to everything else, at least;
/// otherwise a quarter: requests need connections to endpoints.
constexpr std::size_t min_reserved_descriptors = 64;

/// The unfinished requests of one address.
struct address_load
{
    std::size_t bytes_ = 0;
    std::size_t requests_ = 0;
};

using loads_by_address = std::map<std::string_view, address_load>;

bool is_quiet(time_point since, time_point now)
{
    return now - since >= min_eviction_silence;
}

loads_by_address add_up(std::vector<unfinished_request> const& others,
                        room_need const& need)
{
    loads_by_address loads;
    for (unfinished_request const& each : others)
    {
        address_load& load = loads[each.address_];
        load.bytes_ += each.bytes_;
        ++load.requests_;
    }
    address_load& load = loads[need.address_];
    load.bytes_ += need.held_;
    ++load.requests_;
    return loads;
}

/// Chooses among candidates until nothing is missing any more.
class chooser
{
public:
    chooser(std::vector<unfinished_request> const& others,
            room_need const& need)
        : others_(others)
        , loads_(add_up(others, need))
        , missing_(need.missing_)
    {
    }

    loads_by_address const& loads() const { return loads_; }
    bool is_done() const { return missing_ == 0; }
    std::vector<eviction> take() { return std::move(chosen_); }

    /// @param min_load addresses that hold as much or less keep theirs
    void choose(std::vector<std::size_t> candidates, std::size_t min_load,
                eviction_reason reason)
    {
        // The last one of each address gives way first.
        std::sort(candidates.begin(), candidates.end(),
                  [this](std::size_t left, std::size_t right)
                  { return order_of(left) > order_of(right); });
        std::map<std::string_view, std::vector<std::size_t>> by_address;
        for (std::size_t const each : candidates)
        {
            by_address[others_[each].address_].push_back(each);
        }
        std::priority_queue<std::pair<std::size_t, std::string_view>> largest;
        for (auto const& [address, indexes] : by_address)
        {
            largest.emplace(loads_[address].bytes_, address);
        }
        while (!is_done() && !largest.empty() && largest.top().first > min_load)
        {
            std::string_view const address = largest.top().second;
            largest.pop();
            std::vector<std::size_t>& indexes = by_address[address];
            evict(indexes.back(), reason);
            indexes.pop_back();
            if (!indexes.empty())
            {
                largest.emplace(loads_[address].bytes_, address);
            }
        }
    }

private:
    std::tuple<time_point, time_point, std::size_t>
    order_of(std::size_t index) const
    {
        unfinished_request const& request = others_[index];
        return {request.progressed_at_, request.began_at_, index};
    }

    void evict(std::size_t index, eviction_reason reason)
    {
        unfinished_request const& request = others_[index];
        address_load& load = loads_[request.address_];
        load.bytes_ -= request.bytes_;
        --load.requests_;
        missing_ -= std::min(missing_, request.bytes_);
        chosen_.push_back({index, reason});
    }

    std::vector<unfinished_request> const& others_;
    loads_by_address loads_;
    std::size_t missing_;
    std::vector<eviction> chosen_;
};

/// The requests that give way while they make progress.
std::vector<std::size_t>
over_share_candidates(std::vector<unfinished_request> const& others,
                      loads_by_address const& loads, std::size_t share,
                      time_point now)
{
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < others.size(); ++index)
    {
        unfinished_request const& each = others[index];
        address_load const& load = loads.at(each.address_);
        bool const is_spared = load.requests_ == 1 &&
                               now - each.began_at_ < stall_grace &&
                               !is_quiet(each.steady_at_, now);
        if (load.bytes_ > share && !is_spared &&
            !is_quiet(each.progressed_at_, now))
        {
            candidates.push_back(index);
        }
    }
    return candidates;
}

} // namespace

read_progress begin_progress(time_point now)
{
    return {now, now, 0, now, 0, now, 0};
}

void record_bytes(read_progress& progress, std::size_t bytes, time_point now)
{
    progress.bytes_since_progress_ += bytes;
    if (progress.bytes_since_progress_ >= min_progress_bytes)
    {
        progress.progressed_at_ = now;
        progress.bytes_since_progress_ = 0;
    }
    progress.bytes_since_steady_ += bytes;
    if (progress.bytes_since_steady_ >= min_steady_bytes)
    {
        progress.steady_at_ = now;
        progress.bytes_since_steady_ = 0;
    }
    progress.window_bytes_ += bytes;
    if (progress.window_bytes_ >= min_stall_bytes)
    {
        progress.window_began_at_ = now;
        progress.window_bytes_ = 0;
    }
}

bool is_stalled(read_progress const& progress, milliseconds stall_time,
                time_point now)
{
    return now - progress.began_at_ >= stall_grace &&
           now - progress.window_began_at_ >= stall_time;
}

std::vector<eviction>
choose_evictions(std::vector<unfinished_request> const& others,
                 room_need const& need, time_point now)
{
    chooser chosen(others, need);
    std::size_t const share = need.budget_ / chosen.loads().size();
    bool const is_within_share =
        chosen.loads().at(need.address_).bytes_ <= share;
    std::vector<std::size_t> silent;
    for (std::size_t index = 0; index < others.size(); ++index)
    {
        if (is_quiet(others[index].progressed_at_, now))
        {
            silent.push_back(index);
        }
    }
    chosen.choose(std::move(silent), 0, eviction_reason::silent);
    if (!chosen.is_done() && is_within_share)
    {
        chosen.choose(over_share_candidates(others, chosen.loads(), share, now),
                      share, eviction_reason::over_share);
    }
    return chosen.is_done() ? chosen.take() : std::vector<eviction>{};
}

std::vector<std::size_t>
choose_connections(std::vector<open_connection> const& connections,
                   std::size_t count, time_point now)
{
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < connections.size(); ++index)
    {
        open_connection const& each = connections[index];
        if (each.is_silent_ ||
            (each.is_unfinished_ && is_quiet(each.quiet_since_, now)))
        {
            candidates.push_back(index);
        }
    }
    auto const order = [&connections](std::size_t index)
    {
        open_connection const& each = connections[index];
        return std::tuple(!each.is_silent_, each.quiet_since_, index);
    };
    std::size_t const chosen = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(),
                      candidates.begin() + static_cast<std::ptrdiff_t>(chosen),
                      candidates.end(),
                      [&order](std::size_t left, std::size_t right)
                      { return order(left) < order(right); });
    candidates.resize(chosen);
    return candidates;
}

std::size_t connection_limit(std::size_t configured, std::size_t descriptors)
{
    std::size_t const reserve =
        std::max(min_reserved_descriptors, descriptors / 4);
    std::size_t const available =
        descriptors > reserve ? descriptors - reserve : 1;
    return configured == 0 ? available : std::min(configured, available);
}

} // namespace auburnlb
