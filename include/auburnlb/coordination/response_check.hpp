// Decides whether an endpoint's complete response may be passed on to the
// caller. No other code makes this decision.
#ifndef AUBURNLB_COORDINATION_RESPONSE_CHECK_HPP
#define AUBURNLB_COORDINATION_RESPONSE_CHECK_HPP

#include <optional>

#include "auburnlb/coordination/attempt_outcome.hpp"

namespace auburnlb
{

/// What is known of a complete response.
struct response_facts
{
    bool is_success_ = false;
    bool is_server_error_ = false;
    /// It carries the endpoint's signature.
    bool is_signed_ = false;
    /// It says that the request was not and will not be executed.
    bool is_not_executed_ = false;
    /// It names the request that it responds to.
    bool names_request_ = false;
    /// Its connection has carried other requests.
    bool is_connection_reused_ = false;
    /// It has no content, and only the end of the connection ended it.
    bool is_unframed_and_empty_ = false;
    /// The caller has received the beginning of another response.
    bool has_begun_ = false;

    bool operator==(response_facts const&) const = default;
};

/// Why a response is not passed on.
struct response_failure
{
    attempt_outcome outcome_ = attempt_outcome::broken;
    /// For the log.
    char const* reason_ = "";
};

/// Returns std::nullopt if the response may be passed on.
std::optional<response_failure> check_response(response_facts const& facts);

} // namespace auburnlb

#endif
