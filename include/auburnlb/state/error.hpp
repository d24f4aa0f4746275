// The error type of all layers, with the failed step and the peer.
#ifndef AUBURNLB_STATE_ERROR_HPP
#define AUBURNLB_STATE_ERROR_HPP

#include <string>

#include <boost/outcome/result.hpp>

namespace auburnlb
{

/// Classes of errors that the calling code may handle differently.
enum class error_code
{
    invalid_input,
    not_found,
    /// A conditional update found a version other than the expected one.
    conflict,
    timeout,
    /// The peer cannot be reached; the request was not sent.
    unreachable,
    /// The request may have reached the peer, but no response arrived.
    response_lost,
    /// The peer refused the request.
    refused,
    internal,
};

/// An error with the step and the peer at which it occurred.
struct error
{
    error_code code_ = error_code::internal;
    /// The step that failed, for example "read claim segment".
    std::string step_;
    /// Address or name of the peer; empty for a local step.
    std::string peer_;
    /// Message for operators. Names the field and the value for invalid input.
    std::string detail_;

    bool operator==(error const&) const = default;
};

/// Stable name of the error code, as used in logs and metrics.
char const* to_string(error_code code);

/// Renders "<step> at <peer>: <detail>", or "<step>: <detail>" without a peer.
std::string to_string(error const& failure);

/// A value or an error.
template <class Value>
using result =
    boost::outcome_v2::basic_result<Value, error,
                                    boost::outcome_v2::policy::all_narrow>;

} // namespace auburnlb

#endif
