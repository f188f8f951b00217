#include "net/connection.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/io_context.hpp>

namespace wingproxy::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// With a linger time of 0 a close is a reset, and the system discards its send buffer.
const asio::socket_base::linger kDiscardUndelivered(true, 0);
const asio::socket_base::linger kDeliverBeforeClose(false, 0);

}  // namespace

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
    socket.set_option(kDiscardUndelivered, ignored);
}

std::size_t Connection::unacknowledgedBytes() {
    int bytes = 0;
    if (!socket.is_open() || ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0) return 0;
    return bytes > 0 ? std::size_t(bytes) : 0;
}

void Connection::close() {
    if (unacknowledgedBytes() == 0) return closeAfterDelivery();
    boost::system::error_code ignored;
    socket.close(ignored);
}

void Connection::closeAfterDelivery() {
    if (!socket.is_open()) return;
    boost::system::error_code ignored;
    socket.set_option(kDeliverBeforeClose, ignored);
    socket.close(ignored);
}

}  // namespace wingproxy::net
