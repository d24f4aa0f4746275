// Client of the model engine's HTTP API with JSON bodies.
#include "auburnlb/transport/engine_client.hpp"

#include <exception>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

#include "auburnlb/state/json_text.hpp"
#include "parse_response.hpp"

namespace auburnlb
{

namespace
{

using json = nlohmann::json;

constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_server_error = 500;
constexpr milliseconds control_timeout{5'000};

json to_json(engine_step const& step)
{
    return {
        {"stream", step.stream_},     {"position", step.position_},
        {"inputs", step.inputs_},     {"prompt_tokens", step.prompt_tokens_},
        {"priority", step.priority_}, {"last_stage", step.is_last_stage_}};
}

engine_step_result parse_step_result(json const& value)
{
    engine_step_result parsed;
    parsed.stream_ = value.at("stream").get<std::string>();
    parsed.failure_ = value.value("failure", "");
    parsed.outputs_ = value.value("outputs", std::vector<std::string>{});
    parsed.is_end_ = value.value("end", false);
    parsed.cached_tokens_ = value.value("cached_tokens", 0U);
    if (auto const position = value.find("position"); position != value.end())
    {
        parsed.position_ = position->get<std::uint32_t>();
    }
    return parsed;
}

engine_status parse_status(json const& value)
{
    engine_status parsed;
    auto const& layers = value.at("layers");
    parsed.layers_ = {layers.at(0).get<std::uint32_t>(),
                      layers.at(1).get<std::uint32_t>()};
    parsed.accelerator_ = value.at("accelerator").get<std::string>();
    parsed.tokens_per_second_ = value.at("tokens_per_second").get<double>();
    parsed.kv_tokens_ = value.at("kv_tokens").get<std::uint64_t>();
    parsed.kv_used_tokens_ = value.at("kv_used_tokens").get<std::uint64_t>();
    parsed.streams_ = value.at("streams").get<std::uint32_t>();
    parsed.queued_ = value.at("queued").get<std::uint32_t>();
    return parsed;
}

/// Identifies a step among those of all batches.
struct step_key
{
    std::string stream_;
    std::uint32_t position_ = 0;
};

/// Throws if the result is of another step, as in a response that a faulty
/// engine writes again.
void check_step(engine_step_result const& result, step_key const& expected)
{
    if (result.stream_ != expected.stream_)
    {
        throw std::runtime_error("a result is for stream " + result.stream_ +
                                 " in place of " + expected.stream_);
    }
    if (result.position_.value_or(expected.position_) != expected.position_)
    {
        throw std::runtime_error("a result of stream " + result.stream_ +
                                 " is for position " +
                                 std::to_string(*result.position_));
    }
}

std::vector<engine_step_result>
parse_results(json const& value, std::vector<step_key> const& steps)
{
    std::vector<engine_step_result> parsed;
    for (auto const& entry : value.at("results"))
    {
        parsed.push_back(parse_step_result(entry));
    }
    if (parsed.size() != steps.size())
    {
        throw std::runtime_error("the number of results differs from the "
                                 "number of steps");
    }
    for (std::size_t index = 0; index < steps.size(); ++index)
    {
        check_step(parsed[index], steps[index]);
    }
    return parsed;
}

error_code classify(int status)
{
    if (status == status_not_found)
    {
        return error_code::not_found;
    }
    if (status == status_conflict)
    {
        return error_code::conflict;
    }
    // The engine may have run the steps before the error occurred.
    return status >= status_server_error ? error_code::response_lost
                                         : error_code::refused;
}

/// Parses the JSON body of a response.
template <class Value, class Parser>
result<Value> parse_json_response(result<http_response> const& received,
                                  std::string const& step,
                                  std::string const& peer, Parser const& parser)
{
    return parse_response<Value>(received, step, peer, classify,
                                 [&parser](http_response const& response) {
                                     return parser(json::parse(response.body_));
                                 });
}

/// Sends a request and passes its parsed response to the handler.
template <class Value, class Parser>
void send_request(http_client& http, http_request&& request, std::string step,
                  std::string peer, Parser parser,
                  engine_client::handler<Value> handler)
{
    http.send(
        std::move(request),
        [step = std::move(step), peer = std::move(peer),
         parser = std::move(parser),
         handler = std::move(handler)](result<http_response> const& received)
        { handler(parse_json_response<Value>(received, step, peer, parser)); });
}

} // namespace

engine_client::engine_client(http_client& http, std::string base_url)
    : http_(http)
    , base_url_(std::move(base_url))
{
}

void engine_client::run(std::vector<engine_step> const& steps,
                        milliseconds timeout,
                        handler<std::vector<engine_step_result>> handler)
{
    json body{{"steps", json::array()}};
    std::vector<step_key> keys;
    for (auto const& step : steps)
    {
        body["steps"].push_back(to_json(step));
        keys.push_back({step.stream_, step.position_});
    }
    http_request request{
        "POST", base_url_ + "/v1/steps", {}, dump_text(body), timeout};
    send_request<std::vector<engine_step_result>>(
        http_, std::move(request), "run steps", base_url_,
        [keys = std::move(keys)](json const& value)
        { return parse_results(value, keys); },
        std::move(handler));
}

void engine_client::release(std::vector<std::string> const& streams,
                            handler<bool> handler)
{
    json const body{{"streams", streams}};
    http_request request{"POST",
                         base_url_ + "/v1/release",
                         {},
                         dump_text(body),
                         control_timeout};
    send_request<bool>(
        http_, std::move(request), "release streams", base_url_,
        [](json const&) { return true; }, std::move(handler));
}

void engine_client::status(handler<engine_status> handler)
{
    http_request request{
        "GET", base_url_ + "/v1/status", {}, {}, control_timeout};
    send_request<engine_status>(http_, std::move(request), "read engine status",
                                base_url_, &parse_status, std::move(handler));
}

void engine_client::assign_layers(layer_range layers,
                                  std::uint64_t fencing_number,
                                  handler<bool> handler)
{
    json const body{{"layers", {layers.first_, layers.end_}},
                    {"fencing_number", fencing_number}};
    http_request request{
        "POST", base_url_ + "/v1/orders", {}, dump_text(body), control_timeout};
    // Its response names no order, so that a late copy of another one would
    // pass for it.
    request.may_reuse_connection_ = false;
    send_request<bool>(
        http_, std::move(request), "order layers", base_url_,
        [](json const&) { return true; }, std::move(handler));
}

} // namespace auburnlb
