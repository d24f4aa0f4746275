// Records interrupted runs and confirms crashes.
#include "auburnlb/coordination/crash_counts.hpp"

#include <algorithm>
#include <set>

namespace auburnlb
{

namespace
{

/// How long a confirmed crash counts against a request.
constexpr seconds crash_lifetime{60};

/// A run that was interrupted at most this long before the endpoint was found
/// to refuse connections counts as interrupted by the crash.
constexpr milliseconds interrupted_run_lifetime{1'000};

/// Limit of recorded runs. An endpoint runs a few hundred at most.
constexpr std::size_t max_interrupted_runs = 4'096;

/// Limit of recorded crashes, which are sent to the other routers.
constexpr std::size_t max_local_crashes = 1'024;

void expire(crash_counts& counts, time_point now)
{
    while (!counts.local_crashes_.empty() &&
           (now - counts.local_crashes_.front().at_ > crash_lifetime ||
            counts.local_crashes_.size() > max_local_crashes))
    {
        counts.local_crashes_.pop_front();
    }
    while (!counts.interrupted_runs_.empty() &&
           (now - counts.interrupted_runs_.front().at_ >
                interrupted_run_lifetime ||
            counts.interrupted_runs_.size() > max_interrupted_runs))
    {
        counts.interrupted_runs_.pop_front();
    }
}

} // namespace

void record_interrupted_run(crash_counts& counts, std::string const& address,
                            request_fingerprint fingerprint, time_point now)
{
    expire(counts, now);
    counts.interrupted_runs_.push_back({address, fingerprint, now});
}

std::vector<request_fingerprint>
confirm_crash(crash_counts& counts, std::string const& address, time_point now)
{
    expire(counts, now);
    // Two runs of one request at one endpoint count as one crash.
    std::set<request_fingerprint> found;
    std::erase_if(counts.interrupted_runs_,
                  [&](crash_counts::interrupted_run const& run)
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
        counts.local_crashes_.push_back({each, now});
    }
    return {found.begin(), found.end()};
}

void clear_crashes(crash_counts& counts, request_fingerprint fingerprint)
{
    std::erase_if(counts.local_crashes_,
                  [fingerprint](crash_counts::crash const& each)
                  { return each.fingerprint_ == fingerprint; });
    for (auto& [router, table] : counts.peer_crashes_)
    {
        table.erase(fingerprint);
    }
}

void replace_peer_crashes(crash_counts& counts, std::string const& router,
                          crash_table table)
{
    counts.peer_crashes_[router] = std::move(table);
}

crash_table local_crashes(crash_counts& counts, time_point now)
{
    expire(counts, now);
    crash_table table;
    for (crash_counts::crash const& each : counts.local_crashes_)
    {
        ++table[each.fingerprint_];
    }
    return table;
}

std::uint32_t crash_count(crash_counts const& counts,
                          request_fingerprint fingerprint, time_point now)
{
    auto sum = static_cast<std::uint32_t>(std::count_if(
        counts.local_crashes_.begin(), counts.local_crashes_.end(),
        [&](crash_counts::crash const& each)
        {
            return each.fingerprint_ == fingerprint &&
                   now - each.at_ <= crash_lifetime;
        }));
    for (auto const& [router, table] : counts.peer_crashes_)
    {
        auto const found = table.find(fingerprint);
        sum += found == table.end() ? 0 : found->second;
    }
    return sum;
}

} // namespace auburnlb
