// Message transport between entries and companions over nng.
#ifndef AUBURNLB_TRANSPORT_MESSAGE_BUS_HPP
#define AUBURNLB_TRANSPORT_MESSAGE_BUS_HPP

#include <functional>
#include <memory>
#include <string>

#include "auburnlb/protocol/messages.hpp"
#include "auburnlb/state/error.hpp"

namespace auburnlb
{

/// Sends and receives messages. Uses one listening socket for all messages to
/// this process, and one dialing socket for each peer. Thread-safe.
class message_bus
{
public:
    using message_handler = std::function<void(envelope)>;
    /// Called when a connection to a peer opens or closes.
    using link_handler = std::function<void(std::string const& peer, bool up)>;

    /// Opens a bus that listens on the address; port 0 selects a free port.
    /// on_invalid_frame is called instead of on_message for each frame that
    /// cannot be decoded. Returns error_code::unreachable if the address is in
    /// use.
    static result<std::unique_ptr<message_bus>>
    open(std::string const& address, incarnation_id self,
         message_handler on_message, link_handler on_link,
         std::function<void()> on_invalid_frame);
    virtual ~message_bus() = default;

    /// The listening address with the actual port.
    virtual std::string address() const = 0;
    /// Queues a message. Returns false, without queueing it, if the peer's
    /// queue is full or its connection is closed.
    virtual bool send(std::string const& peer, message body) = 0;
    /// Closes the connection to a peer, drops its queue and dials again.
    virtual void replace(std::string const& peer) = 0;
    /// Closes the connection to a peer and drops its queue.
    virtual void disconnect(std::string const& peer) = 0;
    /// Closes all sockets. No handler runs after it returns.
    virtual void close() = 0;
};

} // namespace auburnlb

#endif
