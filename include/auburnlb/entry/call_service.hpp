// Routes calls of plain services at an entry.
#ifndef AUBURNLB_ENTRY_CALL_SERVICE_HPP
#define AUBURNLB_ENTRY_CALL_SERVICE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "auburnlb/coordination/chain_choice.hpp"
#include "auburnlb/coordination/retry_budget.hpp"
#include "auburnlb/entry/routing_view.hpp"
#include "auburnlb/protocol/call.hpp"
#include "auburnlb/protocol/claim_shards.hpp"
#include "auburnlb/state/metrics.hpp"
#include "auburnlb/state/snapshot_cell.hpp"
#include "auburnlb/transport/caller_api.hpp"
#include "auburnlb/transport/http_server.hpp"
#include "auburnlb/transport/message_bus.hpp"

namespace auburnlb
{

/// One caller's call of a plain service.
struct plain_call
{
    std::shared_ptr<service_config const> config_;
    std::string workspace_;
    std::string method_;
    /// Path relative to the service's path, with the query. Begins with '/'.
    std::string path_;
    http_headers headers_;
    std::string body_;
    caller_options options_;
    /// The caller requests only the outcome of the idempotency key.
    bool is_lookup_ = false;
    std::shared_ptr<http_reply> reply_;
    time_point received_at_{};
};

/// Routes calls of plain services to endpoints and retries them. All functions
/// must be called on the entry's core thread.
class call_service
{
public:
    call_service(message_bus& bus, metrics_registry& metrics,
                 snapshot_cell<routing_view> const& view,
                 clock_source const& clock, std::string entry_address,
                 incarnation_id incarnation,
                 std::function<void(std::string const& address)> probe);
    ~call_service();

    void submit(plain_call call);
    void on_reply(call_reply const& reply);
    void on_peer_lost(std::string const& address, incarnation_id incarnation,
                      retry_reason reason);
    void on_peer_answered(std::string const& address,
                          incarnation_id incarnation);
    /// Takes a newer claim table of a service, as JSON.
    void on_claim_table(std::string const& service, std::string const& json);
    /// Must be called at least every 50 ms.
    void on_tick();
    std::size_t in_progress() const;

private:
    struct active_call;

    void apply(active_call& call, call_actions const& actions);
    void route(active_call& call);
    bool allow_retry(active_call& call, route_call const& action);
    void send(active_call& call, std::string const& address,
              incarnation_id incarnation);
    void reply_error(active_call& call, refusal_reason reason, run_state state);
    void end_attempt(active_call& call);
    void finish(active_call& call);
    void remove_ended_calls();

    message_bus& bus_;
    metrics_registry& metrics_;
    snapshot_cell<routing_view> const& view_;
    clock_source const& clock_;
    std::string const entry_address_;
    incarnation_id const incarnation_;
    /// Probes an endpoint.
    std::function<void(std::string const& address)> const probe_;
    std::uint64_t last_sequence_ = 0;
    selector_state selector_;
    std::map<std::string, claim_table> tables_;
    std::map<std::string, retry_budget> retries_;
    std::unordered_map<std::uint64_t, std::unique_ptr<active_call>> calls_;
    /// Sequences of ended calls, which remove_ended_calls() frees.
    std::vector<std::uint64_t> ended_;
};

} // namespace auburnlb

#endif
