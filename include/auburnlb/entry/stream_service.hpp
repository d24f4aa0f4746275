// Handles model requests at an entry, from admission to the last token.
#ifndef AUBURNLB_ENTRY_STREAM_SERVICE_HPP
#define AUBURNLB_ENTRY_STREAM_SERVICE_HPP

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "auburnlb/coordination/admission.hpp"
#include "auburnlb/coordination/chain_choice.hpp"
#include "auburnlb/coordination/crash_suspicion.hpp"
#include "auburnlb/coordination/retry_budget.hpp"
#include "auburnlb/coordination/stage_backoff.hpp"
#include "auburnlb/entry/routing_view.hpp"
#include "auburnlb/protocol/stream.hpp"
#include "auburnlb/state/metrics.hpp"
#include "auburnlb/state/snapshot_cell.hpp"
#include "auburnlb/transport/caller_api.hpp"
#include "auburnlb/transport/http_server.hpp"
#include "auburnlb/transport/message_bus.hpp"

namespace auburnlb
{

/// One caller's model request.
struct stream_call
{
    chat_request request_;
    caller_options options_;
    std::string workspace_;
    std::shared_ptr<service_config const> config_;
    std::shared_ptr<http_reply> reply_;
    time_point received_at_{};
};

/// Dependencies and options of a stream_service.
struct stream_environment
{
    message_bus& bus_;
    metrics_registry& metrics_;
    snapshot_cell<routing_view> const& view_;
    clock_source const& clock_;
    std::string entry_address_;
    incarnation_id incarnation_ = 0;
    stream_limits limits_;
    /// How long a stream with an idempotency key is kept for its caller to
    /// reconnect.
    milliseconds resume_grace_{10'000};
    /// Probes a stage.
    std::function<void(std::string const& address)> probe_;
    /// Sends an update of crash suspicions to the other entries.
    std::function<void(suspicion_update)> broadcast_;
    /// Runs a function on the entry's core thread.
    std::function<void(std::function<void()>)> post_;
};

/// Runs model requests over chains of endpoints and retries them. All functions
/// must be called on the entry's core thread.
class stream_service
{
public:
    explicit stream_service(stream_environment environment);
    ~stream_service();

    void submit(stream_call call);
    void on_token(token_frame const& frame);
    void on_refusal(step_refusal const& refusal);
    /// Handles a message of the last stage, by which this entry adopts a
    /// running answer or loses it to another entry.
    void on_adopted(stream_adopted const& adopted);
    /// Handles the loss of a companion's incarnation or of its engine.
    void on_peer_lost(std::string const& address, incarnation_id incarnation,
                      retry_reason reason);
    void on_peer_answered(std::string const& address,
                          incarnation_id incarnation);
    void on_suspicion(suspicion_update const& update);
    suspicion_update suspicions() const;
    /// Updates the limits of each service from a new routing view.
    void on_view_changed();
    /// Must be called at least every 50 ms.
    void on_tick();
    std::size_t in_progress() const;

private:
    struct active_stream;
    struct service_limits;

    /// Route of a chain, and the version of the configuration it was chosen by.
    struct chosen_chain
    {
        chain_route route_;
        std::uint64_t version_ = 0;
    };

    service_limits& limits_of(service_config const& config);
    std::optional<chosen_chain>
    choose_route(active_stream const& stream,
                 std::set<std::string> const& avoided,
                 std::uint32_t prompt_tokens);
    void on_admitted(active_stream& stream);
    /// Starts an attempt and returns true, or returns false if the request is
    /// refused or no chain is available yet.
    bool start_attempt(active_stream& stream);
    void wait_for_chain(active_stream& stream, time_point now);
    /// Records a refusal that says that the stage's engine fails or is full.
    void record_failure(active_stream const& stream,
                        step_refusal const& refusal, time_point now);
    void run_attempt(active_stream& stream, chosen_chain chosen,
                     std::uint32_t prompt_tokens);
    void apply(active_stream& stream, stream_actions const& actions);
    void execute(active_stream& stream, deliver_token const& action);
    void execute(active_stream& stream, restart_stream const& action);
    void execute(active_stream& stream, probe_stage const& action);
    void execute(active_stream& stream, cancel_attempt const& action);
    void execute(active_stream& stream, fail_stream const& action);
    void execute(active_stream& stream, drop_frame const& action);
    active_stream& add(stream_call call, request_id const& id);
    /// Handles a request of a reconnecting caller for the rest of an answer.
    void resume(stream_call call);
    void request_adoption(active_stream& stream);
    void resume_output(active_stream& stream, std::uint32_t from);
    void on_tick(active_stream& stream, time_point now);
    void deliver_first_token(active_stream& stream);
    void open_output(active_stream& stream);
    void finish(active_stream& stream, bool is_complete);
    void end_attempt(active_stream& stream);
    void refuse(active_stream& stream, refusal_reason reason, run_state state,
                milliseconds retry_after);
    void apply_admission(std::vector<admission_decision> const& decisions);
    /// Applies admission decisions that are due and frees ended streams.
    void run_housekeeping();
    void watch_connection(http_reply& reply, request_id const& id);
    void on_caller_disconnected(request_id const& request,
                                http_reply const* closed);
    void cancel(active_stream& stream);
    void adopt(active_stream& stream, stream_adopted const& adopted);
    active_stream* find(request_id const& request);

    stream_environment const environment_;
    std::uint64_t last_sequence_ = 0;
    /// Streams by ticket. Tickets are local to this entry, whereas an adopted
    /// stream keeps the request identifier given by the entry that began it.
    std::unordered_map<std::uint64_t, std::unique_ptr<active_stream>> streams_;
    std::unordered_map<request_id, std::uint64_t> tickets_;
    std::map<std::string, std::unique_ptr<service_limits>> services_;
    selector_state selector_;
    crash_suspicion suspicion_;
    stage_backoff backoff_;
    /// Tickets of ended streams. run_housekeeping() frees them, so that no
    /// function frees a stream that its caller still uses.
    std::vector<std::uint64_t> ended_;
};

} // namespace auburnlb

#endif
