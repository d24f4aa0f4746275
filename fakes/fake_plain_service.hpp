// Stand-in for a plain service, which counts what it executes.
#ifndef AUBURNLB_FAKES_FAKE_PLAIN_SERVICE_HPP
#define AUBURNLB_FAKES_FAKE_PLAIN_SERVICE_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "auburnlb/state/clock.hpp"

namespace auburnlb::fakes
{

struct plain_service_faults
{
    /// So many next requests are dropped without being executed.
    std::uint32_t close_before_run_ = 0;
    /// So many next requests are executed and then get no answer.
    std::uint32_t close_after_run_ = 0;
    /// Answers arrive later by this time than the latency says.
    milliseconds delay_{0};
};

struct plain_service_executions
{
    std::uint64_t total_ = 0;
    /// Requests without an Idempotency-Key are not counted here.
    std::map<std::string, std::uint64_t> by_key_;
    std::map<std::string, std::uint64_t> by_path_;
};

/// Answers each path with a JSON object {"path", "key", "execution",
/// "body_hash"}; "execution" counts the key's executions, or the path's when
/// there is no key. For tests it serves GET /fake/executions and
/// POST /fake/faults. It never deduplicates.
class fake_plain_service
{
public:
    /// Port zero takes a free one. Throws std::exception when it is taken.
    explicit fake_plain_service(std::uint16_t port = 0,
                                milliseconds latency = milliseconds(0));
    ~fake_plain_service();

    std::uint16_t port() const;
    std::string base_url() const;
    void set_faults(plain_service_faults const& faults);
    plain_service_executions executions() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// The hash that an answer gives for a request's body: 16 hexadecimal digits.
std::string body_hash(std::string const& body);

} // namespace auburnlb::fakes

#endif
