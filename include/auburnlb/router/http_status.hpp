// HTTP status codes that the router sends or interprets.
#ifndef AUBURNLB_ROUTER_HTTP_STATUS_HPP
#define AUBURNLB_ROUTER_HTTP_STATUS_HPP

namespace auburnlb
{

inline constexpr unsigned status_ok = 200;
inline constexpr unsigned status_created = 201;
inline constexpr unsigned status_accepted = 202;
inline constexpr unsigned status_bad_request = 400;
inline constexpr unsigned status_unauthorized = 401;
inline constexpr unsigned status_not_found = 404;
inline constexpr unsigned status_request_timeout = 408;
inline constexpr unsigned status_conflict = 409;
inline constexpr unsigned status_gone = 410;
inline constexpr unsigned status_payload_too_large = 413;
inline constexpr unsigned status_misdirected = 421;
inline constexpr unsigned status_header_fields_too_large = 431;
inline constexpr unsigned status_bad_gateway = 502;
inline constexpr unsigned status_unavailable = 503;
inline constexpr unsigned status_gateway_timeout = 504;

/// Whether the status is 2xx.
constexpr bool is_success(unsigned status)
{
    constexpr unsigned first = 200;
    constexpr unsigned end = 300;
    return status >= first && status < end;
}

/// Whether the status is 5xx.
constexpr bool is_server_error(unsigned status)
{
    constexpr unsigned first = 500;
    return status >= first;
}

} // namespace auburnlb

#endif
