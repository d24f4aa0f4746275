// Counters, gauges and latency summaries, exposed in Prometheus text format.
#ifndef AUBURNLB_STATE_METRICS_HPP
#define AUBURNLB_STATE_METRICS_HPP

#include <memory>
#include <string>

#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/refusal.hpp"

namespace auburnlb
{

/// A registry of metrics. Counters and latencies are sharded by thread and
/// merged when they are read. Thread-safe.
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(metrics_registry const&) = delete;
    metrics_registry& operator=(metrics_registry const&) = delete;

    /// Increases a counter.
    /// @param labels the text between the braces of the exposition format, such
    /// as `service="kalai-writer"`; may be empty
    void add(std::string const& name, std::string const& labels = {},
             double amount = 1);
    void set_gauge(std::string const& name, std::string const& labels,
                   double value);
    /// Records a duration, exposed in seconds as a summary with count, sum and
    /// the quantiles 0.5, 0.95 and 0.99.
    void observe(std::string const& name, std::string const& labels,
                 nanoseconds duration);
    void count_refusal(refusal_reason reason);
    void count_retry(retry_reason reason);

    /// Returns 0 for a counter that does not exist.
    double counter_value(std::string const& name,
                         std::string const& labels = {}) const;
    /// Renders all metrics in the Prometheus text exposition format.
    std::string render() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace auburnlb

#endif
