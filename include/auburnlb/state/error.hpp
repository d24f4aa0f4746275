// Errors between layers. Each carries the step that failed and the peer.
#ifndef AUBURNLB_STATE_ERROR_HPP
#define AUBURNLB_STATE_ERROR_HPP

#include <string>

#include <boost/outcome/result.hpp>

namespace auburnlb
{

/// What went wrong, in classes that a caller of a function can act upon.
enum class error_code
{
    invalid_input,
    not_found,
    /// A conditional update met another version than the one expected.
    conflict,
    timeout,
    /// The peer cannot be reached; the request did not leave this process.
    unreachable,
    /// The request may have reached the peer, its answer did not arrive.
    response_lost,
    /// The peer answered that it will not do it.
    refused,
    internal,
};

/// An error with the step and the peer at which it arose.
struct error
{
    error_code code_ = error_code::internal;
    /// The step that failed, for example "read claim segment".
    std::string step_;
    /// Address or name of the peer; empty for a local step.
    std::string peer_;
    /// One sentence for a person, naming field and value for bad input.
    std::string detail_;

    bool operator==(error const&) const = default;
};

/// Short lower-case name of the class, as used in logs and metrics.
char const* to_string(error_code code);

/// "<step> at <peer>: <detail>".
std::string to_string(error const& failure);

/// A value or an error.
template <class Value>
using result =
    boost::outcome_v2::basic_result<Value, error,
                                    boost::outcome_v2::policy::all_narrow>;

} // namespace auburnlb

#endif
