#include "net/connection.h"

#include <boost/asio/io_context.hpp>

namespace wingproxy::net {

namespace asio = boost::asio;
using asio::ip::tcp;

tcp::endpoint tcpEndpoint(const config::Endpoint& endpoint) {
    return {asio::ip::make_address_v4(endpoint.host), endpoint.port};
}

Connection::Connection(asio::io_context& io, std::size_t ringBytes)
    : socket(io), in(ringBytes), out(ringBytes) {}

bool Connection::isReusable() {
    char byte = 0;
    boost::system::error_code error;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
}

void Connection::configureSocket() {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
}

}  // namespace wingproxy::net
