// The checks of a response's head and of a complete response, in their order.
#include "auburnlb/coordination/response_check.hpp"

namespace auburnlb
{

namespace
{

/// A faulty endpoint may repeat the response to an earlier request.
bool may_be_of_another(bool names_request, bool is_connection_reused)
{
    return !names_request && is_connection_reused;
}

} // namespace

char const* to_string(response_origin origin)
{
    switch (origin)
    {
    case response_origin::awaited_request:
        return "awaited_request";
    case response_origin::another_request:
        return "another_request";
    case response_origin::unknown:
        return "unknown";
    case response_origin::several_requests:
        return "several_requests";
    }
    return "unknown";
}

response_origin origin_of(head_facts const& facts)
{
    if (facts.has_repeated_fields_)
    {
        return response_origin::several_requests;
    }
    if (facts.names_request_ && !facts.names_awaited_request_)
    {
        return response_origin::another_request;
    }
    return may_be_of_another(facts.names_request_, facts.is_connection_reused_)
               ? response_origin::unknown
               : response_origin::awaited_request;
}

std::optional<response_failure> check_response(response_facts const& facts)
{
    if (may_be_of_another(facts.names_request_, facts.is_connection_reused_))
    {
        return response_failure{attempt_outcome::broken,
                                "the response may be to another request"};
    }
    if (facts.is_not_executed_)
    {
        return response_failure{attempt_outcome::refused,
                                "the endpoint refused the request"};
    }
    if (!facts.is_signed_)
    {
        return response_failure{attempt_outcome::broken,
                                "the response has no signature"};
    }
    if (facts.contains_response_)
    {
        return response_failure{attempt_outcome::broken,
                                "the body contains another response"};
    }
    if (facts.is_server_error_)
    {
        return response_failure{attempt_outcome::failed,
                                "the endpoint responded with an error"};
    }
    // The end of the connection alone does not show that a success is whole.
    if (facts.is_unframed_and_empty_ && facts.is_success_)
    {
        return response_failure{attempt_outcome::broken,
                                "the response ended before its body"};
    }
    // Only the rest of a stream may follow what the caller has received.
    if (facts.has_begun_)
    {
        return response_failure{attempt_outcome::failed,
                                "the endpoint did not continue the stream"};
    }
    return std::nullopt;
}

} // namespace auburnlb
