// Confirmed crashes and their requests.
#include "auburnlb/coordination/crash_counts.hpp"

#include <algorithm>
#include <set>

namespace auburnlb
{

namespace
{

/// How long a crash is held against a request.
constexpr seconds crash_lifetime{60};

/// A run that broke this long before the endpoint was found dead broke because
/// of it.
constexpr milliseconds broken_lifetime{1'000};

/// Runs that are remembered; an endpoint runs a few hundred at most.
constexpr std::size_t max_broken_runs = 4'096;

/// Crashes that are remembered and told to the others.
constexpr std::size_t max_crashes_kept = 1'024;

void expire(crash_counts& counts, time_point now)
{
    while (!counts.own_.empty() &&
           (now - counts.own_.front().at_ > crash_lifetime ||
            counts.own_.size() > max_crashes_kept))
    {
        counts.own_.pop_front();
    }
    while (!counts.broken_.empty() &&
           (now - counts.broken_.front().at_ > broken_lifetime ||
            counts.broken_.size() > max_broken_runs))
    {
        counts.broken_.pop_front();
    }
}

} // namespace

void record_interrupted_run(crash_counts& counts, std::string const& address,
                            request_fingerprint fingerprint, time_point now)
{
    expire(counts, now);
    counts.broken_.push_back({address, fingerprint, now});
}

std::vector<request_fingerprint>
confirm_crash(crash_counts& counts, std::string const& address, time_point now)
{
    expire(counts, now);
    // Two runs of one request at one endpoint are one crash.
    std::set<request_fingerprint> found;
    std::erase_if(counts.broken_,
                  [&](crash_counts::broken_run const& run)
                  {
                      if (run.address_ != address)
                      {
                          return false;
                      }
                      found.insert(run.fingerprint_);
                      return true;
                  });
    for (request_fingerprint const each : found)
    {
        counts.own_.push_back({each, now});
    }
    return {found.begin(), found.end()};
}

void clear_crashes(crash_counts& counts, request_fingerprint fingerprint)
{
    std::erase_if(counts.own_, [fingerprint](crash_counts::crash const& each)
                  { return each.fingerprint_ == fingerprint; });
    for (auto& [router, table] : counts.foreign_)
    {
        table.erase(fingerprint);
    }
}

void replace_peer_crashes(crash_counts& counts, std::string const& router,
                          crash_table table)
{
    counts.foreign_[router] = std::move(table);
}

crash_table local_crashes(crash_counts& counts, time_point now)
{
    expire(counts, now);
    crash_table table;
    for (crash_counts::crash const& each : counts.own_)
    {
        ++table[each.fingerprint_];
    }
    return table;
}

std::uint32_t crash_count(crash_counts const& counts,
                          request_fingerprint fingerprint, time_point now)
{
    auto sum = static_cast<std::uint32_t>(
        std::count_if(counts.own_.begin(), counts.own_.end(),
                      [&](crash_counts::crash const& each)
                      {
                          return each.fingerprint_ == fingerprint &&
                                 now - each.at_ <= crash_lifetime;
                      }));
    for (auto const& [router, table] : counts.foreign_)
    {
        auto const found = table.find(fingerprint);
        sum += found == table.end() ? 0 : found->second;
    }
    return sum;
}

} // namespace auburnlb
