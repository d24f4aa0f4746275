// Planning and orders to engines.
#include "auburnlb/router/placement_controller.hpp"

#include <algorithm>
#include <utility>

#include "auburnlb/router/endpoint_notices.hpp"
#include "auburnlb/router/http_status.hpp"
#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

/// Another router takes over within three seconds of the holder's end, which is
/// about as long as a lost engine stays in the endpoint list.
constexpr lease_limits placement_lease_limits{
    milliseconds(3'000), milliseconds(1'000), milliseconds(600),
    milliseconds(1'500), milliseconds(300)};

constexpr milliseconds report_timeout{400};
constexpr milliseconds order_timeout{800};

/// Interval between plans.
constexpr milliseconds plan_interval{200};

/// A plan divides the layers among the engines that are known, so the first
/// plan waits until no engine has joined for join_quiet_time, but at most
/// max_join_wait after the first one joined.
constexpr milliseconds join_quiet_time{700};
constexpr milliseconds max_join_wait{3'500};

/// Interval between probes of an engine that some router avoids.
constexpr milliseconds suspect_probe_interval{400};

/// If more than this share of the engines seems to be lost, the leader has
/// probably lost its own connection to them.
constexpr double max_lost_share = 0.35;

/// Time after which an order without a response is assumed not to be executed
/// any more.
constexpr milliseconds late_order_time{3'000};

/// Time before an engine gets another order after one failed.
constexpr milliseconds failure_pause{700};

/// Loading layers takes this many times longer while other engines load as
/// well.
constexpr double parallel_load_factor = 3;
constexpr milliseconds min_load_time{2'000};

std::string range_text(layer_range const& layers)
{
    return std::to_string(layers.first_) + "-" + std::to_string(layers.end_);
}

std::string fence_text(lease_state const& lease)
{
    return std::to_string(lease.held_version_.epoch_) + "/" +
           std::to_string(lease.held_version_.revision_);
}

error report_error(known_endpoint const& endpoint, std::string const& reason)
{
    return {error_code::response_lost, "read report", endpoint.record_.id_,
            reason};
}

milliseconds load_time_of(layer_range const& layers, model_profile const& model)
{
    double const share = static_cast<double>(layers.end_ - layers.first_) /
                         std::max(1.0, static_cast<double>(model.layers_));
    std::chrono::duration<double> const alone(model.load_s_ * share *
                                              parallel_load_factor);
    return min_load_time + std::chrono::duration_cast<milliseconds>(alone);
}

void log_gap_changes(std::string const& service, gap_history const& before,
                     gap_history const& after)
{
    for (auto const& [data_centre, since] : after.since_)
    {
        if (!before.since_.contains(data_centre))
        {
            log(log_level::warning, log_event::layers_missing,
                {{"service", service}, {"data_centre", data_centre}},
                "no engine of the data centre holds some of the layers");
        }
    }
    for (auto const& [data_centre, since] : before.since_)
    {
        if (!after.since_.contains(data_centre))
        {
            log(log_level::info, log_event::layers_complete,
                {{"service", service}, {"data_centre", data_centre}},
                "the engines of the data centre hold all layers, or will");
        }
    }
}

} // namespace

placement_controller::placement_controller(router_core& core,
                                           internal_http_client& http_client)
    : core_(core)
    , http_client_(http_client)
{
    lease_.limits_ = placement_lease_limits;
    lease_.self_ = core.options_.name_ + "@" +
                   std::to_string(core.clock_.now().time_since_epoch().count());
}

void placement_controller::on_tick(time_point now)
{
    run(on_lease_tick(lease_, now));
    bool const is_now_leader = is_leader(now);
    if (is_now_leader != std::exchange(was_leader_, is_now_leader))
    {
        log(log_level::info,
            is_now_leader ? log_event::duty_taken : log_event::duty_lost,
            {{"duty", placement_lease_name},
             {"fence", fence_text(lease_)},
             {"holder", lease_.seen_holder_}},
            is_now_leader
                ? "this router is now the leader for the placement of layers"
                : "this router is no longer the leader for the placement of "
                  "layers");
        orders_.clear();
    }
    expire_orders(now);
    if (!is_now_leader || now < next_plan_ || core_.routes_ == nullptr)
    {
        return;
    }
    next_plan_ = now + plan_interval;
    probe_avoided_engines(now);
    for (service_entry const& each : core_.routes_->table().services_)
    {
        if (each.model_ && each.model_->layers_ > 1)
        {
            plan_service(each, now);
        }
    }
}

void placement_controller::probe_avoided_engines(time_point now)
{
    for (auto const& [id, endpoint] : core_.directory_.endpoints_)
    {
        bool const is_suspect =
            !is_available(endpoint->health_, now) ||
            has_failed_since(*endpoint, endpoint->silent_since_);
        if (is_suspect && endpoint->record_.layers_ && !is_leaving(*endpoint) &&
            !has_responded_since(*endpoint, now - suspect_probe_interval) &&
            now - endpoint->probe_sent_ >= suspect_probe_interval)
        {
            core_.prober_.probe(endpoint);
        }
    }
}

bool placement_controller::is_leader(time_point now) const
{
    return held_fencing_number(lease_, now).has_value();
}

std::vector<plan_engine>
placement_controller::engines_of(service_entry const& service, time_point now)
{
    std::vector<plan_engine> engines;
    for (endpoint_ptr const& each :
         endpoints_of(core_.directory_, service.name_))
    {
        endpoint_record const& record = each->record_;
        auto const accelerator =
            service.model_->accelerators_.find(record.accelerator_);
        if (accelerator == service.model_->accelerators_.end())
        {
            continue;
        }
        plan_engine engine;
        engine.id_ = record.id_;
        engine.data_centre_ = record.data_centre_;
        engine.accelerator_ = accelerator->second;
        engine.layers_ = record.layers_;
        // An engine that may be missing only because the platform was
        // unreachable keeps its layers, and gets no orders.
        engine.is_movable_ = !each->missing_since_;
        engine.is_probably_lost_ = is_probably_lost(*each, now);
        endpoint_load const load = total_load(*each);
        engine.streams_ = load.requests_;
        if (record.layers_)
        {
            engine.used_tokens_ =
                load.kv_reserved_ / static_cast<double>(record.layers_->end_ -
                                                        record.layers_->first_);
        }
        if (auto const order = orders_.find(record.id_); order != orders_.end())
        {
            engine.is_movable_ = false;
            if (order->second.phase_ != order_phase::failed)
            {
                engine.layers_ = order->second.layers_;
            }
        }
        engines.push_back(std::move(engine));
    }
    auto const lost = std::count_if(engines.begin(), engines.end(),
                                    [](plan_engine const& each)
                                    { return each.is_probably_lost_; });
    if (static_cast<double>(lost) >
        static_cast<double>(engines.size()) * max_lost_share)
    {
        for (plan_engine& each : engines)
        {
            each.is_probably_lost_ = false;
        }
    }
    return engines;
}

bool placement_controller::is_joining(service_entry const& service,
                                      std::vector<plan_engine> const& engines,
                                      time_point now)
{
    initial_join& state = initial_joins_[service.name_];
    if (state.engines_ != engines.size())
    {
        state.engines_ = engines.size();
        state.changed_ = now;
        state.began_ = state.began_.value_or(now);
    }
    bool const is_first_plan =
        std::none_of(engines.begin(), engines.end(),
                     [](plan_engine const& each) { return each.layers_; });
    return is_first_plan && now - state.changed_ < join_quiet_time &&
           now - *state.began_ < max_join_wait;
}

void placement_controller::plan_service(service_entry const& service,
                                        time_point now)
{
    std::vector<plan_engine> const engines = engines_of(service, now);
    if (engines.empty() || is_joining(service, engines, now))
    {
        return;
    }
    gap_history& gaps = gaps_[service.name_];
    gap_history const before = gaps;
    auto const steps = plan_layers(engines, *service.model_, gaps, now);
    log_gap_changes(service.name_, before, gaps);
    for (plan_step const& step : steps)
    {
        if (!orders_.contains(step.id_))
        {
            begin_order(step, *service.model_, now);
        }
    }
}

void placement_controller::expire_orders(time_point now)
{
    std::erase_if(orders_,
                  [now](auto const& entry)
                  {
                      order const& order = entry.second;
                      bool const is_done =
                          order.phase_ == order_phase::loading &&
                          order.endpoint_->record_.layers_ == order.layers_;
                      return is_done || now >= order.deadline_ ||
                             order.endpoint_->is_removed_;
                  });
}

void placement_controller::begin_order(plan_step const& step,
                                       model_profile const& model,
                                       time_point now)
{
    endpoint_ptr const& endpoint = core_.directory_.endpoints_[step.id_];
    std::uint64_t const number = ++last_order_;
    orders_[step.id_] = {order_phase::awaiting_report,
                         step.layers_,
                         endpoint,
                         load_time_of(step.layers_, model),
                         now + report_timeout * 2,
                         number};
    http_client_.call(
        endpoint->record_.address_, core_.protocol_.write_report_call_(),
        report_timeout,
        [this, id = step.id_, number](result<http_reply> const& reply)
        { on_report(id, number, reply); });
}

placement_controller::order*
placement_controller::find_order(std::string const& id, std::uint64_t number)
{
    auto const found = orders_.find(id);
    bool const is_last =
        found != orders_.end() && found->second.number_ == number;
    return is_last ? &found->second : nullptr;
}

result<std::uint64_t> placement_controller::check_report(
    order const& order, result<http_reply> const& reply, time_point now)
{
    known_endpoint& endpoint = *order.endpoint_;
    if (!reply)
    {
        return reply.error();
    }
    http_head const& head = reply.value().head_;
    if (head.status_ != status_ok)
    {
        return report_error(endpoint, "status " + std::to_string(head.status_));
    }
    auto const report = core_.protocol_.read_report_(reply.value().body_);
    if (!report)
    {
        return report.error();
    }
    if (endpoint.is_removed_ ||
        status_of_run(endpoint.record_, report.value().started_ms_) !=
            run_status::alive)
    {
        return report_error(endpoint, "another run answers at its address");
    }
    apply_notices(endpoint, core_.protocol_.read_response_(head), now);
    if (is_leaving(endpoint))
    {
        return report_error(endpoint, "the engine is leaving");
    }
    if (report.value().is_busy_)
    {
        return report_error(endpoint, "another order is in progress");
    }
    return report.value().orders_;
}

void placement_controller::on_report(std::string const& id,
                                     std::uint64_t number,
                                     result<http_reply> const& reply)
{
    order* const order = find_order(id, number);
    time_point const now = core_.clock_.now();
    if (order == nullptr || !is_leader(now))
    {
        return;
    }
    auto const accepted_orders = check_report(*order, reply, now);
    if (!accepted_orders)
    {
        fail_order(*order, to_string(accepted_orders.error()));
        return;
    }
    send_order(*order, accepted_orders.value(), now);
}

void placement_controller::send_order(order& order,
                                      std::uint64_t accepted_orders,
                                      time_point now)
{
    endpoint_record const& record = order.endpoint_->record_;
    order.phase_ = order_phase::order_sent;
    order.deadline_ = now + order_timeout + late_order_time;
    http_client_.call(record.address_,
                      core_.protocol_.write_placement_call_(
                          record.id_, order.layers_, accepted_orders),
                      order_timeout,
                      [this, id = record.id_,
                       number = order.number_](result<http_reply> const& reply)
                      { on_order_reply(id, number, reply); });
}

void placement_controller::on_order_reply(std::string const& id,
                                          std::uint64_t number,
                                          result<http_reply> const& reply)
{
    order* const order = find_order(id, number);
    if (order == nullptr)
    {
        return;
    }
    time_point const now = core_.clock_.now();
    unsigned const status = reply ? reply.value().head_.status_ : 0;
    log(log_level::info, log_event::layers_ordered,
        {{"peer", id},
         {"layers", range_text(order->layers_)},
         {"fence", fence_text(lease_)},
         {"status", std::to_string(status)}},
        reply ? "an engine was ordered to hold layers"
              : to_string(reply.error()));
    core_.metrics_.add("auburnlb_router_orders_total",
                       "status=\"" + std::to_string(status) + "\"");
    if (status == status_ok || status == status_accepted)
    {
        order->phase_ = order_phase::loading;
        order->deadline_ = now + order->load_time_;
        return;
    }
    if (!reply)
    {
        // The engine may have accepted the order, or may still execute it.
        order->deadline_ = now + late_order_time;
        return;
    }
    if (status == status_misdirected)
    {
        record_run_replaced(*order->endpoint_, now);
    }
    fail_order(*order, "status " + std::to_string(status) +
                           (status == status_conflict
                                ? ", the engine's state has changed"
                                : ""));
}

void placement_controller::fail_order(order& order, std::string const& reason)
{
    log(log_level::info, log_event::order_failed,
        {{"peer", order.endpoint_->record_.id_}, {"reason", reason}},
        "an order to an engine failed");
    order.phase_ = order_phase::failed;
    order.deadline_ = core_.clock_.now() + failure_pause;
}

} // namespace auburnlb
