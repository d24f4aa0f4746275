// Choice of a chain or an endpoint for one request.
#ifndef AUBURNLB_COORDINATION_CHAIN_CHOICE_HPP
#define AUBURNLB_COORDINATION_CHAIN_CHOICE_HPP

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "auburnlb/coordination/route_plan.hpp"
#include "auburnlb/protocol/messages.hpp"

namespace auburnlb
{

/// What a decider knows of an endpoint's load.
struct endpoint_view
{
    /// Requests in progress there that this decider began.
    std::uint32_t own_ = 0;
    /// Value of own_ when the last report came.
    std::uint32_t own_at_report_ = 0;
    /// Active and queued requests of all deciders in the last report.
    std::uint32_t reported_ = 0;
    std::uint64_t kv_free_tokens_ = 0;
    bool has_report_ = false;

    bool operator==(endpoint_view const&) const = default;
};

/// Positions of a decider in one service's plan.
struct service_choice
{
    /// Generation of the plan that the indexes below belong to.
    std::uint64_t generation_ = 0;
    /// Slot in selector_state::views_ of each planned endpoint.
    std::vector<std::uint32_t> slots_;
    /// Credit of smooth weighted round robin by hop and candidate.
    std::vector<std::vector<double>> credits_;
    /// Moving mean of prefix cache hits where affinity was followed, 0 to 1.
    double prefix_hits_ = 1;
    std::uint32_t prefix_skips_ = 0;
};

/// State of one decider. Not thread-safe: each thread has its own and counts
/// as a decider.
struct selector_state
{
    std::mt19937_64 random_;
    /// Deciders that share the endpoints: threads over all entry hosts.
    std::uint32_t selectors_ = 1;
    std::unordered_map<std::string, std::uint32_t> slot_of_;
    std::vector<endpoint_view> views_;
    std::unordered_map<std::string, service_choice> services_;
};

selector_state make_selector_state(std::uint64_t seed,
                                   std::uint32_t deciders = 1);

/// Chooses a chain of adjacent layer ranges from 0 to the model's depth, of
/// live endpoints that are not excluded. Gives nothing if there is none.
/// @param prefix_hash hash of the prompt's cached prefix, 0 for none
/// @param kv_tokens KV cache memory that each stage needs, in tokens
std::optional<std::vector<chain_stage>>
choose_chain(route_plan const& plan, std::string const& service,
             selector_state& state, std::set<std::string> const& excluded,
             std::uint64_t prefix_hash = 0, std::uint64_t kv_tokens = 0);

/// Chooses an endpoint of a plain service.
std::optional<endpoint_description>
choose_endpoint(route_plan const& plan, std::string const& service,
                selector_state& state, std::set<std::string> const& excluded);

/// Counts a request as in progress at its endpoints, and no longer.
void record_request_start(selector_state& state,
                          std::vector<chain_stage> const& chain);
void record_request_end(selector_state& state,
                        std::vector<chain_stage> const& chain);
void record_request_start(selector_state& state, std::string const& address);
void record_request_end(selector_state& state, std::string const& address);

/// Takes a load report, which may be late.
void on_load_report(selector_state& state, std::string const& address,
                    load_report const& load);

/// Takes whether the engines found the prefix in their cache. Affinity is
/// followed only while enough of the requests that followed it hit.
void on_prefix_cache_result(selector_state& state, std::string const& service,
                            bool is_hit);

/// Forgets endpoints that are in no plan and run nothing of this decider.
void remove_absent_endpoints(selector_state& state, route_plan const& plan);

} // namespace auburnlb

#endif
