// What a router keeps outside of its process of the retries that it has used,
// so that the process which follows it stays within the limit of the window
// that contains both.
#ifndef AUBURNLB_COORDINATION_RETRY_RECORD_HPP
#define AUBURNLB_COORDINATION_RETRY_RECORD_HPP

#include <cstdint>
#include <map>
#include <string>

namespace auburnlb
{

/// Retries in the window, by service. Contains no service without any.
using retry_counts = std::map<std::string, std::uint32_t>;

/// What a process knows of the retries of earlier processes of its router.
struct earlier_retries
{
    /// Unset until the record was read.
    bool is_known_ = false;
    retry_counts counts_;

    bool operator==(earlier_retries const&) const = default;
};

/// Returns the retries of a service; infinite while they are not known.
double inherited_retries(earlier_retries const& earlier,
                         std::string const& service);

/// The retries of one service now, and how many it may use.
struct service_retries
{
    double used_ = 0;
    double allowed_ = 0;

    bool operator==(service_retries const&) const = default;
};

/// Returns the record of these retries.
retry_counts
make_record(std::map<std::string, service_retries> const& services);

/// Returns whether the record has to be written. A process that is killed
/// leaves few retries out of its record, and few retries are never recorded.
/// @param written the record as it stands
bool is_record_due(std::map<std::string, service_retries> const& services,
                   retry_counts const& written);

} // namespace auburnlb

#endif
