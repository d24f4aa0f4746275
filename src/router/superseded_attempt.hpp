// A silent attempt that goes on beside the one that was sent in its place. The
// sources of forwarded_request include this file, since it owns one of them.
#ifndef AUBURNLB_ROUTER_SUPERSEDED_ATTEMPT_HPP
#define AUBURNLB_ROUTER_SUPERSEDED_ATTEMPT_HPP

#include <memory>
#include <string_view>
#include <utility>

#include "auburnlb/router/forwarded_request.hpp"

namespace auburnlb
{

/// Tells its request when the endpoint goes on.
class forwarded_request::superseded_attempt final : public response_receiver
{
public:
    superseded_attempt(forwarded_request& request,
                       std::unique_ptr<endpoint_attempt> attempt,
                       event_splitter events)
        : request_(request)
        , attempt_(std::move(attempt))
        , events_(std::move(events))
    {
        attempt_->connection_->set_receiver(*this);
    }

    // Each of these may destroy this object.
    bool is_matching_response(http_head const& head) override
    {
        return request_.is_response_of(*attempt_, head);
    }
    void on_response_head(http_head const& head) override
    {
        request_.on_superseded_head(head);
    }
    void on_response_body(std::string_view piece) override
    {
        request_.on_superseded_body(piece);
    }
    void on_response_end() override { request_.on_superseded_end(); }
    void on_exchange_failed(exchange_failure failure) override
    {
        attempt_->connection_.reset();
        bool const is_unsent = failure == exchange_failure::not_connected ||
                               failure == exchange_failure::refused;
        request_.fail_superseded(is_unsent ? attempt_outcome::not_sent
                                           : attempt_outcome::broken);
    }

    forwarded_request& request_;
    /// Never null.
    std::unique_ptr<endpoint_attempt> attempt_;
    /// The stream up to where this attempt has got.
    event_splitter events_;
};

} // namespace auburnlb

#endif
