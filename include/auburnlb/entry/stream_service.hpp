// Model requests at an entry, from admission to the last token.
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

/// What the service needs from the entry around it.
struct stream_environment
{
    message_bus& bus_;
    metrics_registry& metrics_;
    snapshot_cell<routing_view> const& view_;
    clock_source const& clock_;
    std::string entry_address_;
    incarnation_id incarnation_ = 0;
    stream_limits limits_;
    /// How long a stream with a key waits for its caller to come back.
    milliseconds resume_grace_{10'000};
    /// Asks a stage whether it lives.
    std::function<void(std::string const& address)> probe_;
    /// Tells the other entries about suspects.
    std::function<void(suspicion_update)> broadcast_;
    /// Runs a function on the entry's core thread.
    std::function<void(std::function<void()>)> post_;
};

/// All functions are called on the entry's core thread.
class stream_service
{
public:
    explicit stream_service(stream_environment environment);
    ~stream_service();

    void submit(stream_call call);
    void on_token(token_frame const& frame);
    void on_refusal(step_refusal const& refusal);
    /// The last stage of a running answer hands it to this entry, or tells
    /// that another entry has taken it.
    void on_adopted(stream_adopted const& adopted);
    /// An incarnation of a companion, or the engine beside it, is gone.
    void on_peer_lost(std::string const& address, incarnation_id incarnation,
                      retry_reason reason);
    void on_peer_answered(std::string const& address,
                          incarnation_id incarnation);
    void on_suspicion(suspicion_update const& update);
    suspicion_update suspicions() const;
    /// Takes a new view into the limits of each service.
    void on_view_changed();
    /// Called at least every 50 ms.
    void on_tick();
    std::size_t in_progress() const;

private:
    struct active_stream;
    struct service_limits;

    /// Stages and depth of a chain, and the configuration it was chosen by.
    struct chosen_chain
    {
        chain_route route_;
        std::uint64_t version_ = 0;
    };

    service_limits& limits_of(service_config const& config);
    std::optional<chosen_chain> choose(active_stream const& stream,
                                       std::set<std::string> const& avoided,
                                       std::uint32_t prompt_tokens);
    void start(active_stream& stream);
    bool begin(active_stream& stream);
    void wait_for_chain(active_stream& stream, time_point now);
    void run_attempt(active_stream& stream, chosen_chain chosen,
                     std::uint32_t prompt_tokens);
    void apply(active_stream& stream, stream_actions const& actions);
    void apply_one(active_stream& stream, deliver_token const& action);
    void apply_one(active_stream& stream, restart_stream const& action);
    void apply_one(active_stream& stream, probe_stage const& action);
    void apply_one(active_stream& stream, cancel_attempt const& action);
    void apply_one(active_stream& stream, fail_stream const& action);
    void apply_one(active_stream& stream, drop_frame const& action);
    active_stream& add(stream_call call, request_id const& id);
    void resume(stream_call call);
    void ask_for_stream(active_stream& stream);
    void continue_output(active_stream& stream, std::uint32_t from);
    void on_tick(active_stream& stream, time_point now);
    void deliver_first(active_stream& stream);
    void open_output(active_stream& stream);
    void finish(active_stream& stream, bool is_complete);
    void end_attempt(active_stream& stream);
    void refuse(active_stream& stream, refusal_reason reason, run_state state,
                milliseconds retry_after);
    void decide(std::vector<admission_decision> const& decisions);
    void sweep();
    void watch_caller(http_reply& reply, request_id const& id);
    void on_caller_left(request_id const& request, http_reply const* closed);
    void cancel(active_stream& stream);
    void take_over(active_stream& stream, stream_adopted const& adopted);
    active_stream* find(request_id const& request);

    stream_environment const environment_;
    std::uint64_t last_sequence_ = 0;
    /// By ticket, which is local to this entry. An adopted stream keeps the
    /// request identifier of the entry that began it.
    std::unordered_map<std::uint64_t, std::unique_ptr<active_stream>> streams_;
    std::unordered_map<request_id, std::uint64_t> tickets_;
    std::map<std::string, std::unique_ptr<service_limits>> services_;
    selector_state choice_;
    crash_suspicion suspicion_;
    /// Streams that ended and are freed by the next sweep, so that no function
    /// frees the stream that its caller still uses.
    std::vector<std::uint64_t> ended_;
};

} // namespace auburnlb

#endif
