// What the clients of outside systems make of an HTTP answer.
#ifndef AUBURNLB_SRC_TRANSPORT_PARSE_ANSWER_HPP
#define AUBURNLB_SRC_TRANSPORT_PARSE_ANSWER_HPP

#include <cstddef>
#include <exception>
#include <string>

#include "auburnlb/transport/http_client.hpp"

namespace auburnlb
{

inline constexpr int parsed_status = 200;
/// Bytes of an unexpected answer that its error quotes.
inline constexpr std::size_t max_detail_bytes = 200;

/// Parses an answer of status 200; one that does not parse counts as lost.
/// classify turns any other status into an error_code.
template <class Value, class Classify, class Parser>
result<Value> parse_answer(result<http_response> const& answer,
                           std::string const& step, std::string const& peer,
                           Classify const& classify, Parser const& parser)
{
    error failure{error_code::response_lost, step, peer, {}};
    if (!answer)
    {
        failure.code_ = answer.error().code_;
        failure.detail_ = answer.error().detail_;
        return failure;
    }
    http_response const& response = answer.value();
    if (response.status_ != parsed_status)
    {
        failure.code_ = classify(response.status_);
        failure.detail_ = "status " + std::to_string(response.status_) + ": " +
                          response.body_.substr(0, max_detail_bytes);
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
