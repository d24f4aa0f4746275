// Requests for retries between routers, in JSON over HTTP.
#include "auburnlb/router/retry_exchange.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "auburnlb/router/http_status.hpp"
#include "auburnlb/state/json_depth.hpp"
#include "auburnlb/state/json_text.hpp"
#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

using nlohmann::json;

/// A caller's stream stands still meanwhile.
constexpr milliseconds request_timeout{200};

std::string service_label(std::string const& service)
{
    return "service=\"" + service + "\"";
}

local_response reject(std::string const& reason)
{
    log(log_level::warning, log_event::frame_rejected, {}, reason);
    return {status_bad_request, "text/plain", reason + "\n"};
}

/// Returns the retries in a reply; 0 if it is not one of a router.
std::uint32_t read_lent(http_reply const& reply)
{
    json const value = parse_shallow_json(reply.body_);
    auto const lent = value.is_object() ? value.find("lent") : value.end();
    bool const is_readable = lent != value.end() && lent->is_number_unsigned();
    return is_readable ? lent->get<std::uint32_t>() : 0;
}

} // namespace

retry_exchange::retry_exchange(router_core& core,
                               internal_http_client& http_client,
                               list_routers routers)
    : core_(core)
    , http_client_(http_client)
    , routers_(std::move(routers))
{
}

local_response retry_exchange::handle_request(std::string const& body)
{
    json const request = parse_shallow_json(body);
    if (!request.is_object())
    {
        return reject("the request is not a JSON object");
    }
    json const service = request.value("service", json());
    json const wanted = request.value("wanted", json());
    if (!service.is_string())
    {
        return reject("service has the value " + dump_text(service));
    }
    if (!wanted.is_number_unsigned())
    {
        return reject("wanted has the value " + dump_text(wanted));
    }
    std::uint32_t const lent =
        lend(service.get<std::string>(), wanted.get<std::uint32_t>());
    return {status_ok, "application/json", dump_text(json{{"lent", lent}})};
}

std::uint32_t retry_exchange::lend(std::string const& service,
                                   std::uint32_t wanted)
{
    if (core_.routes_ == nullptr ||
        core_.routes_->find_service(service) == nullptr)
    {
        return 0;
    }
    std::uint32_t const lent =
        lend_retries(retries_of(core_, service), core_.options_.retries_,
                     core_.router_count_, wanted, core_.clock_.now());
    core_.metrics_.add("auburnlb_router_retries_lent_total",
                       service_label(service), lent);
    return lent;
}

void retry_exchange::on_tick(time_point now)
{
    for (auto const& [name, service] : core_.services_)
    {
        if (service.borrowing_.waiting_ > 0)
        {
            request_loans(name, now);
        }
    }
}

void retry_exchange::request_loans(std::string const& service, time_point now)
{
    service_runtime& runtime = core_.services_[service];
    double const left =
        retries_left(retries_of(core_, service), core_.options_.retries_,
                     core_.router_count_, now);
    for (loan_request const& each :
         next_loan_requests(runtime.borrowing_, left, routers_(), now))
    {
        send_request(service, each, now);
    }
}

void retry_exchange::send_request(std::string const& service,
                                  loan_request const& request, time_point now)
{
    json const body{{"service", service}, {"wanted", request.count_}};
    http_client_.call(request.router_, {"POST", "/retries", dump_text(body)},
                      request_timeout,
                      [this, service, now](result<http_reply> const& reply)
                      { on_reply(service, now, reply); });
}

void retry_exchange::on_reply(std::string const& service, time_point asked_at,
                              result<http_reply> const& reply)
{
    bool const is_answered = reply && reply.value().head_.status_ == status_ok;
    std::uint32_t const lent = is_answered ? read_lent(reply.value()) : 0;
    service_runtime& runtime = core_.services_[service];
    on_loan_reply(runtime.borrowing_, lent);
    if (lent > 0)
    {
        borrow_retries(runtime.retries_, lent, asked_at);
        core_.metrics_.add("auburnlb_router_retries_borrowed_total",
                           service_label(service), lent);
    }
}

} // namespace auburnlb
