// Messages between the system's processes over nng.
#ifndef AUBURNLB_TRANSPORT_MESSAGE_BUS_HPP
#define AUBURNLB_TRANSPORT_MESSAGE_BUS_HPP

#include <functional>
#include <memory>
#include <string>

#include "auburnlb/protocol/messages.hpp"
#include "auburnlb/state/error.hpp"

namespace auburnlb
{

/// One listening socket for all messages to this process, and one dialing
/// socket for each peer that it sends to. Thread-safe.
class message_bus
{
public:
    using message_handler = std::function<void(envelope)>;
    /// A peer's connection closed, or a new one opened.
    using link_handler = std::function<void(std::string const& peer, bool up)>;

    /// address may end in ":0" for a free port. Garbage frames are counted and
    /// reported through on_garbage, never to on_message.
    static result<std::unique_ptr<message_bus>>
    open(std::string const& address, incarnation_id self,
         message_handler on_message, link_handler on_link,
         std::function<void()> on_garbage);
    virtual ~message_bus() = default;

    /// The address with the port taken.
    virtual std::string address() const = 0;
    /// Queues a message. Gives false, with nothing queued, when the peer's
    /// queue is full or its connection is down.
    virtual bool send(std::string const& peer, message body) = 0;
    /// Drops the connection to a peer and dials anew on the next send.
    virtual void replace(std::string const& peer) = 0;
    virtual void disconnect(std::string const& peer) = 0;
    /// Stops receiving; no handler runs after it returns.
    virtual void close() = 0;
};

} // namespace auburnlb

#endif
