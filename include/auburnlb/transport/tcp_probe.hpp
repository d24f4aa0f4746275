// A plain TCP connection, which shows whether a process listens at an address.
#ifndef AUBURNLB_TRANSPORT_TCP_PROBE_HPP
#define AUBURNLB_TRANSPORT_TCP_PROBE_HPP

#include <functional>
#include <string>
#include <system_error>

#include <asio/io_context.hpp>

namespace auburnlb
{

/// Connects to "<scheme>://IP:port[/...]" and closes the connection. The
/// handler runs on the io_context; asio::error::connection_refused proves that
/// nobody listens, and invalid_argument that the address has another form.
void connect_once(asio::io_context& io, std::string const& address,
                  std::function<void(std::error_code)> handler);

} // namespace auburnlb

#endif
