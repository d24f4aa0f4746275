// Counters, gauges and latency summaries in the Prometheus text format.
#ifndef AUBURNLB_STATE_METRICS_HPP
#define AUBURNLB_STATE_METRICS_HPP

#include <memory>
#include <string>

#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/refusal.hpp"

namespace auburnlb
{

/// A registry of metrics. Latencies are Boost.Accumulators sets, one for each
/// thread, merged when read. Thread-safe.
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(metrics_registry const&) = delete;
    metrics_registry& operator=(metrics_registry const&) = delete;

    /// Adds to a counter. labels is the inside of the braces in the text
    /// format, such as `service="kalai-writer"`, or empty.
    void add(std::string const& name, std::string const& labels = {},
             double amount = 1);
    void set_gauge(std::string const& name, std::string const& labels,
                   double value);
    /// Records a duration; exposed in seconds as count, sum and quantiles 0.5,
    /// 0.95 and 0.99.
    void observe(std::string const& name, std::string const& labels,
                 nanoseconds duration);
    void count_refusal(refusal_reason reason);
    void count_retry(retry_reason reason);

    double counter_value(std::string const& name,
                         std::string const& labels = {}) const;
    /// The Prometheus text exposition of everything.
    std::string render() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace auburnlb

#endif
