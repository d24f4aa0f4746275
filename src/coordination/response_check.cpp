// The checks of a complete response, in their order.
#include "auburnlb/coordination/response_check.hpp"

namespace auburnlb
{

namespace
{

response_failure refusal(response_facts const& facts)
{
    // A faulty endpoint may repeat the refusal of an earlier request.
    bool const may_be_of_another =
        !facts.names_request_ && facts.is_connection_reused_;
    return may_be_of_another
               ? response_failure{attempt_outcome::broken,
                                  "the refusal may be of another request"}
               : response_failure{attempt_outcome::refused,
                                  "the endpoint refused the request"};
}

} // namespace

std::optional<response_failure> check_response(response_facts const& facts)
{
    if (facts.is_not_executed_)
    {
        return refusal(facts);
    }
    if (!facts.is_signed_)
    {
        return response_failure{attempt_outcome::broken,
                                "the response has no signature"};
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
