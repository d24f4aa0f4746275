// Parsing of HTTP responses for the clients of external systems.
#ifndef AUBURNLB_SRC_TRANSPORT_PARSE_RESPONSE_HPP
#define AUBURNLB_SRC_TRANSPORT_PARSE_RESPONSE_HPP

#include <cstddef>
#include <exception>
#include <string>

#include "auburnlb/transport/http_client.hpp"

namespace auburnlb
{

inline constexpr int expected_status = 200;
/// Bytes of an unexpected response body that are quoted in the error.
inline constexpr std::size_t max_quoted_body_bytes = 200;

/// Parses a response of status 200. Returns error_code::response_lost if the
/// body cannot be parsed; classify maps any other status to an error_code.
template <class Value, class Classify, class Parser>
result<Value> parse_response(result<http_response> const& received,
                             std::string const& step, std::string const& peer,
                             Classify const& classify, Parser const& parser)
{
    error failure{error_code::response_lost, step, peer, {}};
    if (!received)
    {
        failure.code_ = received.error().code_;
        failure.detail_ = received.error().detail_;
        return failure;
    }
    http_response const& response = received.value();
    if (response.status_ != expected_status)
    {
        failure.code_ = classify(response.status_);
        failure.detail_ = "status " + std::to_string(response.status_) + ": " +
                          response.body_.substr(0, max_quoted_body_bytes);
        return failure;
    }
    try
    {
        return Value(parser(response));
    }
    catch (std::exception const& parse_failure)
    {
        failure.detail_ = parse_failure.what();
        return failure;
    }
}

} // namespace auburnlb

#endif
