// Metrics on top of Boost.Accumulators, sharded by thread and merged when read.
//
// The quantile estimators of the library cannot be merged exactly across
// threads. A latency series is therefore a histogram with fixed, geometrically
// growing buckets and one accumulator set for each bucket. Buckets merge
// exactly by adding counts and sums, and a quantile is the mean of the bucket
// that contains it. Its relative error is below the ratio of neighbouring
// buckets.
#include "auburnlb/state/metrics.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace auburnlb
{

namespace
{

namespace accumulators = boost::accumulators;

constexpr std::size_t shard_count = 32;
constexpr std::size_t bucket_count = 128;
/// Upper bound of the first bucket, in seconds.
constexpr double first_upper_bound_s = 1e-6;
/// Ratio of the upper bounds of neighbouring buckets.
constexpr double bucket_ratio = 1.2;
constexpr std::array quantiles = {0.5, 0.95, 0.99};

/// Identifies one time series.
struct series_key
{
    std::string name_;
    std::string labels_;

    bool operator==(series_key const&) const = default;
    bool operator<(series_key const& other) const
    {
        return std::tie(name_, labels_) < std::tie(other.name_, other.labels_);
    }
};

struct series_view
{
    std::string_view name_;
    std::string_view labels_;
};

/// Hashes keys and views alike, so that a lookup allocates no memory.
struct series_hash
{
    using is_transparent = void;

    std::size_t operator()(series_view key) const noexcept
    {
        std::hash<std::string_view> const hash;
        return hash(key.name_) * 31 + hash(key.labels_);
    }
    std::size_t operator()(series_key const& key) const noexcept
    {
        return (*this)(series_view{key.name_, key.labels_});
    }
};

struct series_equal
{
    using is_transparent = void;

    template <class Left, class Right>
    bool operator()(Left const& left, Right const& right) const noexcept
    {
        return std::string_view(left.name_) == right.name_ &&
               std::string_view(left.labels_) == right.labels_;
    }
};

template <class Value>
using series_map =
    std::unordered_map<series_key, Value, series_hash, series_equal>;

using bucket_accumulator = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum>>;

std::size_t bucket_of(double value_s)
{
    if (value_s <= first_upper_bound_s)
    {
        return 0;
    }
    double const position =
        std::log(value_s / first_upper_bound_s) / std::log(bucket_ratio);
    return std::min(static_cast<std::size_t>(std::ceil(position)),
                    bucket_count - 1);
}

/// Latency histogram of one series in one shard.
struct latency_histogram
{
    std::array<bucket_accumulator, bucket_count> buckets_;

    void add(double value_s) { buckets_[bucket_of(value_s)](value_s); }
};

struct bucket_total
{
    std::uint64_t count_ = 0;
    double sum_s_ = 0;
};

/// Latency histogram of one series, merged from all shards.
struct merged_histogram
{
    std::array<bucket_total, bucket_count> buckets_;

    void merge(latency_histogram const& part)
    {
        for (std::size_t index = 0; index < bucket_count; ++index)
        {
            buckets_[index].count_ += accumulators::count(part.buckets_[index]);
            buckets_[index].sum_s_ += accumulators::sum(part.buckets_[index]);
        }
    }

    bucket_total total() const
    {
        bucket_total total;
        for (auto const& bucket : buckets_)
        {
            total.count_ += bucket.count_;
            total.sum_s_ += bucket.sum_s_;
        }
        return total;
    }

    double quantile(double fraction) const
    {
        auto const rank = static_cast<std::uint64_t>(
            std::ceil(fraction * static_cast<double>(total().count_)));
        std::uint64_t cumulative_count = 0;
        for (auto const& bucket : buckets_)
        {
            cumulative_count += bucket.count_;
            if (bucket.count_ > 0 && cumulative_count >= rank)
            {
                return bucket.sum_s_ / static_cast<double>(bucket.count_);
            }
        }
        return 0;
    }
};

/// The series of the threads that are assigned to one shard. With at most as
/// many threads as shards, each thread has its own shard, and the lock is only
/// contended while metrics are read.
struct shard
{
    std::mutex mutex_;
    series_map<double> counters_;
    series_map<latency_histogram> latencies_;
};

std::size_t shard_index_of_this_thread()
{
    static std::atomic<std::size_t> next{0};
    thread_local std::size_t const index = next++ % shard_count;
    return index;
}

template <class Value>
Value& find_or_add(series_map<Value>& series, std::string const& name,
                   std::string const& labels)
{
    auto const found = series.find(series_view{name, labels});
    if (found != series.end())
    {
        return found->second;
    }
    return series.try_emplace(series_key{name, labels}).first->second;
}

constexpr char const* refusals_name = "auburnlb_refusals_total";
constexpr char const* retries_name = "auburnlb_retries_total";

template <class Reason>
std::string reason_label(Reason reason)
{
    return std::string("reason=\"") + to_string(reason) + '"';
}

void write_type_line(std::ostream& out, std::string& last_name,
                     std::string const& name, char const* type)
{
    if (name != last_name)
    {
        out << "# TYPE " << name << ' ' << type << '\n';
        last_name = name;
    }
}

std::string enclose_in_braces(std::string const& labels)
{
    return labels.empty() ? std::string() : '{' + labels + '}';
}

void write_values(std::ostream& out, char const* type,
                  std::map<series_key, double> const& values)
{
    std::string last_name;
    for (auto const& [key, value] : values)
    {
        write_type_line(out, last_name, key.name_, type);
        out << key.name_ << enclose_in_braces(key.labels_) << ' ' << value
            << '\n';
    }
}

void write_summary(std::ostream& out, series_key const& key,
                   merged_histogram const& total)
{
    std::string const separator = key.labels_.empty() ? "" : ",";
    for (double const fraction : quantiles)
    {
        out << key.name_ << '{' << key.labels_ << separator << "quantile=\""
            << fraction << "\"} " << total.quantile(fraction) << '\n';
    }
    bucket_total const sums = total.total();
    out << key.name_ << "_sum" << enclose_in_braces(key.labels_) << ' '
        << sums.sum_s_ << '\n'
        << key.name_ << "_count" << enclose_in_braces(key.labels_) << ' '
        << sums.count_ << '\n';
}

} // namespace

struct metrics_registry::impl
{
    std::array<shard, shard_count> shards_;
    std::mutex gauges_mutex_;
    std::map<series_key, double> gauges_;

    std::map<series_key, double> counters()
    {
        std::map<series_key, double> totals;
        for (auto& part : shards_)
        {
            std::lock_guard lock(part.mutex_);
            for (auto const& [key, value] : part.counters_)
            {
                totals[key] += value;
            }
        }
        return totals;
    }

    std::map<series_key, merged_histogram> latencies()
    {
        std::map<series_key, merged_histogram> totals;
        for (auto& part : shards_)
        {
            std::lock_guard lock(part.mutex_);
            for (auto const& [key, value] : part.latencies_)
            {
                totals[key].merge(value);
            }
        }
        return totals;
    }

    std::map<series_key, double> gauges()
    {
        std::lock_guard lock(gauges_mutex_);
        return gauges_;
    }
};

metrics_registry::metrics_registry()
    : impl_(std::make_unique<impl>())
{
    for (refusal_reason const reason : all_refusal_reasons())
    {
        add(refusals_name, reason_label(reason), 0);
    }
    for (retry_reason const reason : all_retry_reasons())
    {
        add(retries_name, reason_label(reason), 0);
    }
}

metrics_registry::~metrics_registry() = default;

void metrics_registry::add(std::string const& name, std::string const& labels,
                           double amount)
{
    shard& local_shard = impl_->shards_[shard_index_of_this_thread()];
    std::lock_guard lock(local_shard.mutex_);
    find_or_add(local_shard.counters_, name, labels) += amount;
}

void metrics_registry::set_gauge(std::string const& name,
                                 std::string const& labels, double value)
{
    std::lock_guard lock(impl_->gauges_mutex_);
    impl_->gauges_[series_key{name, labels}] = value;
}

void metrics_registry::observe(std::string const& name,
                               std::string const& labels, nanoseconds duration)
{
    double const value_s = std::chrono::duration<double>(duration).count();
    shard& local_shard = impl_->shards_[shard_index_of_this_thread()];
    std::lock_guard lock(local_shard.mutex_);
    find_or_add(local_shard.latencies_, name, labels).add(value_s);
}

void metrics_registry::count_refusal(refusal_reason reason)
{
    add(refusals_name, reason_label(reason));
}

void metrics_registry::count_retry(retry_reason reason)
{
    add(retries_name, reason_label(reason));
}

double metrics_registry::counter_value(std::string const& name,
                                       std::string const& labels) const
{
    double total = 0;
    for (auto& part : impl_->shards_)
    {
        std::lock_guard lock(part.mutex_);
        auto const found = part.counters_.find(series_view{name, labels});
        total += found == part.counters_.end() ? 0 : found->second;
    }
    return total;
}

std::string metrics_registry::render() const
{
    std::ostringstream out;
    out.precision(15);
    write_values(out, "counter", impl_->counters());
    write_values(out, "gauge", impl_->gauges());
    std::string last_name;
    for (auto const& [key, total] : impl_->latencies())
    {
        write_type_line(out, last_name, key.name_, "summary");
        write_summary(out, key, total);
    }
    return out.str();
}

} // namespace auburnlb
