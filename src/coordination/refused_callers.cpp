// Bounded memory of refused callers.
#include "auburnlb/coordination/refused_callers.hpp"

#include <cstddef>

namespace auburnlb
{

namespace
{

/// How long after its turn a caller may still return.
constexpr milliseconds return_margin{2'000};

/// Bounds the memory, about 100 bytes a caller.
constexpr std::size_t max_refused_callers = 4'096;

bool is_forgotten(refused_caller const& caller, time_point now)
{
    return now > caller.turn_ + return_margin;
}

} // namespace

void remember_refused_caller(refused_callers& callers,
                             request_fingerprint fingerprint,
                             milliseconds retry_after, time_point now)
{
    auto& known = callers.by_fingerprint_;
    if (known.size() >= max_refused_callers)
    {
        std::erase_if(known, [now](auto const& entry)
                      { return is_forgotten(entry.second, now); });
    }
    auto const found = known.find(fingerprint);
    if (found != known.end())
    {
        // A caller that came too early has waited since its first refusal.
        found->second.turn_ = now + retry_after;
        return;
    }
    if (known.size() < max_refused_callers)
    {
        known[fingerprint] = {now, now + retry_after};
    }
}

std::optional<refused_caller>
take_refused_caller(refused_callers& callers, request_fingerprint fingerprint,
                    time_point now)
{
    auto const found = callers.by_fingerprint_.find(fingerprint);
    if (found == callers.by_fingerprint_.end())
    {
        return std::nullopt;
    }
    refused_caller const caller = found->second;
    if (now >= caller.turn_)
    {
        callers.by_fingerprint_.erase(found);
    }
    return is_forgotten(caller, now) ? std::nullopt : std::optional(caller);
}

} // namespace auburnlb
