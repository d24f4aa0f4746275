// TCP connection attempt that checks whether a process listens on an address.
#ifndef AUBURNLB_TRANSPORT_TCP_PROBE_HPP
#define AUBURNLB_TRANSPORT_TCP_PROBE_HPP

#include <functional>
#include <string>
#include <system_error>

#include <asio/io_context.hpp>

namespace auburnlb
{

/// Connects to "<scheme>://IP:port[/...]" and closes the connection. The
/// handler runs on the io_context. asio::error::connection_refused means that
/// no process listens; invalid_argument means that the address has another
/// form.
void connect_once(asio::io_context& io, std::string const& address,
                  std::function<void(std::error_code)> handler);

} // namespace auburnlb

#endif
