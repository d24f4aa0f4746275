// The checks of a response's end.
#include "response_end.hpp"

namespace auburnlb
{

namespace
{

constexpr int first_success = 200;
constexpr int first_redirection = 300;
constexpr int no_content = 204;

bool must_have_body(http_request const& request, http_response const& response)
{
    return response.status_ >= first_success &&
           response.status_ < first_redirection &&
           response.status_ != no_content && request.method_ != "HEAD";
}

bool is_framed(http_response const& response)
{
    return !find_header(response.headers_, "Content-Length").empty() ||
           !find_header(response.headers_, "Transfer-Encoding").empty();
}

} // namespace

char const* incompleteness(http_request const& request,
                           http_response const& response, bool is_head_complete)
{
    if (!is_head_complete)
    {
        return "the response ended within its head";
    }
    // The end of the connection alone does not show that a success is whole.
    bool const is_cut = must_have_body(request, response) &&
                        response.body_.empty() && !is_framed(response);
    return is_cut ? "the response ended before its body" : nullptr;
}

} // namespace auburnlb
