// Decides what is recorded of retries, and when.
#include "auburnlb/coordination/retry_record.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace auburnlb
{

namespace
{

/// Part of the allowed retries by which the record may be too low.
constexpr double unrecorded_share = 0.1;

std::uint32_t count_of(retry_counts const& counts, std::string const& service)
{
    auto const found = counts.find(service);
    return found == counts.end() ? 0 : found->second;
}

std::uint32_t to_count(double retries)
{
    constexpr double most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::clamp(std::ceil(retries), 0.0, most));
}

} // namespace

double inherited_retries(earlier_retries const& earlier,
                         std::string const& service)
{
    return earlier.is_known_ ? count_of(earlier.counts_, service)
                             : std::numeric_limits<double>::infinity();
}

retry_counts make_record(std::map<std::string, service_retries> const& services)
{
    retry_counts record;
    for (auto const& [service, retries] : services)
    {
        if (std::uint32_t const count = to_count(retries.used_))
        {
            record[service] = count;
        }
    }
    return record;
}

bool is_record_due(std::map<std::string, service_retries> const& services,
                   retry_counts const& written)
{
    return std::any_of(
        services.begin(), services.end(),
        [&written](auto const& each)
        {
            auto const& [service, retries] = each;
            std::uint32_t const count = count_of(written, service);
            bool const is_over = count > 0 && retries.used_ == 0;
            return is_over ||
                   retries.used_ - count > unrecorded_share * retries.allowed_;
        });
}

} // namespace auburnlb
