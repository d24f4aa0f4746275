// A stand-in of a faulty service that writes each response twice.
#ifndef AUBURNLB_FAKES_REPEATING_SERVER_HPP
#define AUBURNLB_FAKES_REPEATING_SERVER_HPP

#include <string>

#include "scripted_server.hpp"

namespace auburnlb::fakes
{

/// A server that numbers the requests it has read, on all connections together,
/// and writes each response twice.
class repeating_server
{
public:
    std::string base_url() const { return server_.base_url(); }

private:
    scripted_server server_{
        "\r\n\r\n", [requests = 0](std::string const&, std::string&) mutable
        {
            std::string const number = std::to_string(++requests);
            std::string const response = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                         std::to_string(number.size()) +
                                         "\r\n\r\n" + number;
            return std::vector<std::string>{response, response};
        }};
};

} // namespace auburnlb::fakes

#endif
