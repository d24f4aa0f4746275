// Message bus over nng: one PULL socket to receive and one PUSH socket for each
// peer. nng reconnects by itself but never notices a silent connection, so the
// owner sends hellos and calls replace().
#include "auburnlb/transport/message_bus.hpp"

#include <atomic>
#include <cstring>
#include <map>
#include <mutex>
#include <utility>

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace auburnlb
{

namespace
{

constexpr int send_queue_length = 4'096;
constexpr nng_duration reconnect_min_ms = 20;
constexpr nng_duration reconnect_max_ms = 250;
constexpr std::size_t max_message_bytes = 64U << 20U;

error bus_error(std::string step, std::string peer, int code)
{
    error_code const kind =
        code == NNG_EADDRINUSE ? error_code::unreachable : error_code::internal;
    return {kind, std::move(step), std::move(peer), nng_strerror(code)};
}

enum class link_state
{
    dialing,
    up,
    down,
};

/// A dialing socket. Closing it drops what is queued.
struct link
{
    std::string peer_;
    nng_socket socket_ = NNG_SOCKET_INITIALIZER;
    std::atomic<link_state> state_{link_state::dialing};
    std::atomic<bool> is_retired_{false};
    message_bus::link_handler* on_link_ = nullptr;
};

void on_pipe(nng_pipe /*pipe*/, nng_pipe_ev event, void* argument)
{
    auto* const self = static_cast<link*>(argument);
    bool const up = event == NNG_PIPE_EV_ADD_POST;
    self->state_ = up ? link_state::up : link_state::down;
    if (!self->is_retired_)
    {
        (*self->on_link_)(self->peer_, up);
    }
}

class nng_message_bus final : public message_bus
{
public:
    nng_message_bus(incarnation_id self, message_handler on_message,
                    link_handler on_link, std::function<void()> on_garbage)
        : self_(self)
        , on_message_(std::move(on_message))
        , on_link_(std::move(on_link))
        , on_garbage_(std::move(on_garbage))
    {
    }

    ~nng_message_bus() override { close(); }

    result<void*> listen(std::string const& address)
    {
        int code = nng_pull0_open(&receiver_);
        if (code != 0)
        {
            return bus_error("open receiver", address, code);
        }
        nng_socket_set_size(receiver_, NNG_OPT_RECVMAXSZ, max_message_bytes);
        nng_listener listener;
        code = nng_listen(receiver_, address.c_str(), &listener, 0);
        if (code != 0)
        {
            nng_close(receiver_);
            return bus_error("listen", address, code);
        }
        address_ = bound_address(listener, address);
        nng_aio_alloc(&receive_, &nng_message_bus::on_receive, this);
        is_open_ = true;
        nng_recv_aio(receiver_, receive_);
        return static_cast<void*>(nullptr);
    }

    std::string address() const override { return address_; }

    bool send(std::string const& peer, message body) override
    {
        std::string const bytes = encode({self_, std::move(body)});
        std::shared_ptr<link> const target = find_or_dial(peer);
        if (!target || target->state_ == link_state::down)
        {
            return false;
        }
        nng_msg* packet = nullptr;
        if (nng_msg_alloc(&packet, bytes.size()) != 0)
        {
            return false;
        }
        std::memcpy(nng_msg_body(packet), bytes.data(), bytes.size());
        if (nng_sendmsg(target->socket_, packet, NNG_FLAG_NONBLOCK) != 0)
        {
            nng_msg_free(packet);
            return false;
        }
        return true;
    }

    void replace(std::string const& peer) override
    {
        disconnect(peer);
        find_or_dial(peer);
    }

    void disconnect(std::string const& peer) override
    {
        std::shared_ptr<link> old;
        {
            std::lock_guard lock(links_mutex_);
            auto const found = links_.find(peer);
            if (found == links_.end())
            {
                return;
            }
            old = std::move(found->second);
            links_.erase(found);
        }
        retire(old);
    }

    void close() override
    {
        if (!is_open_.exchange(false))
        {
            return;
        }
        nng_close(receiver_);
        nng_aio_stop(receive_);
        nng_aio_free(receive_);
        std::map<std::string, std::shared_ptr<link>> links;
        {
            std::lock_guard lock(links_mutex_);
            links.swap(links_);
        }
        for (auto const& [peer, old] : links)
        {
            retire(old);
        }
    }

private:
    static std::string bound_address(nng_listener listener,
                                     std::string const& asked)
    {
        int port = 0;
        if (nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port) != 0)
        {
            return asked;
        }
        return asked.substr(0, asked.rfind(':') + 1) + std::to_string(port);
    }

    static void on_receive(void* argument)
    {
        static_cast<nng_message_bus*>(argument)->receive_one();
    }

    void receive_one()
    {
        if (nng_aio_result(receive_) != 0)
        {
            return;
        }
        nng_msg* const packet = nng_aio_get_msg(receive_);
        std::string const bytes(static_cast<char const*>(nng_msg_body(packet)),
                                nng_msg_len(packet));
        nng_msg_free(packet);
        std::optional<envelope> decoded = decode(bytes);
        if (decoded)
        {
            on_message_(std::move(*decoded));
        }
        else
        {
            on_garbage_();
        }
        if (is_open_)
        {
            nng_recv_aio(receiver_, receive_);
        }
    }

    std::shared_ptr<link> find_or_dial(std::string const& peer)
    {
        std::lock_guard lock(links_mutex_);
        if (!is_open_)
        {
            return nullptr;
        }
        std::shared_ptr<link>& slot = links_[peer];
        if (!slot)
        {
            slot = dial(peer);
        }
        return slot;
    }

    std::shared_ptr<link> dial(std::string const& peer)
    {
        auto fresh = std::make_shared<link>();
        fresh->peer_ = peer;
        fresh->on_link_ = &on_link_;
        if (nng_push0_open(&fresh->socket_) != 0)
        {
            fresh->state_ = link_state::down;
            return fresh;
        }
        nng_socket_set_int(fresh->socket_, NNG_OPT_SENDBUF, send_queue_length);
        nng_socket_set_ms(fresh->socket_, NNG_OPT_RECONNMINT, reconnect_min_ms);
        nng_socket_set_ms(fresh->socket_, NNG_OPT_RECONNMAXT, reconnect_max_ms);
        nng_pipe_notify(fresh->socket_, NNG_PIPE_EV_ADD_POST, on_pipe,
                        fresh.get());
        nng_pipe_notify(fresh->socket_, NNG_PIPE_EV_REM_POST, on_pipe,
                        fresh.get());
        if (nng_dial(fresh->socket_, peer.c_str(), nullptr,
                     NNG_FLAG_NONBLOCK) != 0)
        {
            fresh->state_ = link_state::down;
        }
        return fresh;
    }

    /// Closing waits for nng's callbacks, so that the link may be freed after.
    static void retire(std::shared_ptr<link> const& old)
    {
        old->is_retired_ = true;
        nng_close(old->socket_);
    }

    incarnation_id const self_;
    message_handler const on_message_;
    link_handler on_link_;
    std::function<void()> const on_garbage_;
    std::string address_;
    nng_socket receiver_ = NNG_SOCKET_INITIALIZER;
    nng_aio* receive_ = nullptr;
    std::atomic<bool> is_open_{false};
    std::mutex links_mutex_;
    /// Guarded by links_mutex_. Never holds a retired link.
    std::map<std::string, std::shared_ptr<link>> links_;
};

} // namespace

result<std::unique_ptr<message_bus>>
message_bus::open(std::string const& address, incarnation_id self,
                  message_handler on_message, link_handler on_link,
                  std::function<void()> on_garbage)
{
    auto bus = std::make_unique<nng_message_bus>(
        self, std::move(on_message), std::move(on_link), std::move(on_garbage));
    result<void*> const listening = bus->listen(address);
    if (!listening)
    {
        return listening.error();
    }
    return std::unique_ptr<message_bus>(std::move(bus));
}

} // namespace auburnlb
