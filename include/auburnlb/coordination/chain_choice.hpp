// Chooses a chain of endpoints, or a single endpoint, for a request.
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

/// Load of an endpoint as known to one selector.
struct endpoint_load_view
{
    /// Requests in progress at the endpoint that this selector sent.
    std::uint32_t own_requests_ = 0;
    /// Value of own_requests_ when the last report was received.
    std::uint32_t own_requests_at_report_ = 0;
    /// Active and queued requests of all selectors in the last report.
    std::uint32_t reported_requests_ = 0;
    std::uint64_t kv_free_tokens_ = 0;
    bool has_report_ = false;

    bool operator==(endpoint_load_view const&) const = default;
};

/// State of a selector for one service's plan.
struct service_selection
{
    /// Generation of the plan that view_indexes_ and credits_ belong to.
    std::uint64_t generation_ = 0;
    /// Index into selector_state::load_views_ of each planned endpoint.
    std::vector<std::uint32_t> view_indexes_;
    /// Credits of the smooth weighted round robin, by hop and candidate.
    std::vector<std::vector<double>> credits_;
    /// Moving average of the prefix cache hit rate of requests that followed
    /// affinity, 0 to 1.
    double prefix_hit_rate_ = 1;
    /// Number of requests that had a prefix while the hit rate was too low.
    std::uint32_t low_hit_rate_requests_ = 0;
};

/// State of one selector, that is, of one thread that chooses endpoints. Not
/// thread-safe: each thread has a selector of its own.
struct selector_state
{
    std::mt19937_64 random_;
    /// Number of selectors that share the endpoints: one for each thread of all
    /// entries.
    std::uint32_t selectors_ = 1;
    /// Index into load_views_ by endpoint address.
    std::unordered_map<std::string, std::uint32_t> view_index_of_;
    std::vector<endpoint_load_view> load_views_;
    std::unordered_map<std::string, service_selection> services_;
};

/// @param seed seed of the random numbers; should differ between selectors
/// @param selectors number of selectors that share the endpoints
selector_state make_selector_state(std::uint64_t seed,
                                   std::uint32_t selectors = 1);

/// Chooses a chain of live endpoints that are not excluded, with adjacent layer
/// ranges from 0 to the model's depth. Returns std::nullopt if there is none.
/// @param prefix_hash hash of the prompt's prefix for cache affinity, 0 for
/// none
/// @param kv_tokens KV cache memory that each stage needs, in tokens
std::optional<std::vector<chain_stage>>
choose_chain(route_plan const& plan, std::string const& service,
             selector_state& state, std::set<std::string> const& excluded,
             std::uint64_t prefix_hash = 0, std::uint64_t kv_tokens = 0);

/// Chooses a live endpoint of a plain service that is not excluded. Returns
/// std::nullopt if there is none.
std::optional<endpoint_description>
choose_endpoint(route_plan const& plan, std::string const& service,
                selector_state& state, std::set<std::string> const& excluded);

/// Counts a request as in progress at its endpoints, or no longer as in
/// progress.
void record_request_start(selector_state& state,
                          std::vector<chain_stage> const& chain);
void record_request_end(selector_state& state,
                        std::vector<chain_stage> const& chain);
void record_request_start(selector_state& state, std::string const& address);
void record_request_end(selector_state& state, std::string const& address);

/// Records a load report of an endpoint. The report may be out of date.
void on_load_report(selector_state& state, std::string const& address,
                    load_report const& load);

/// Records whether the engines found the prefix of a request in their caches.
/// Affinity is followed only while the hit rate is high enough.
void on_prefix_cache_result(selector_state& state, std::string const& service,
                            bool is_hit);

/// Removes the endpoints that are in no plan and run no request of this
/// selector.
void remove_absent_endpoints(selector_state& state, route_plan const& plan);

} // namespace auburnlb

#endif
