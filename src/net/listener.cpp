#include "net/listener.h"

#include "net/connection.h"

namespace wingproxy::net {
namespace {

using boost::asio::ip::tcp;

// Delay before the next attempt while there is no capacity or no free descriptor: short compared with a
// client's connect timeout, and long enough not to keep the processor busy.
constexpr std::chrono::milliseconds kRetryDelay{10};

bool nothingToAccept(const boost::system::error_code& error) {
    return error == boost::asio::error::would_block || error == boost::asio::error::try_again;
}

}  // namespace

Listener::Listener(boost::asio::io_context& io, const config::Endpoint& address, Callbacks callbacks,
                   int inherited)
    : acceptor_(io), retryTimer_(io), callbacks_(std::move(callbacks)) {
    if (inherited >= 0) {
        acceptor_.assign(tcp::v4(), inherited);
        acceptor_.non_blocking(true);
        return;
    }
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(tcpEndpoint(address));
    acceptor_.listen(boost::asio::socket_base::max_listen_connections);
    acceptor_.non_blocking(true);
}

void Listener::startAccepting() { waitForClient(); }

void Listener::release() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    retryTimer_.cancel();
}

config::Endpoint Listener::address() const {
    const auto bound = acceptor_.local_endpoint();
    return {bound.address().to_string(), bound.port()};
}

// Waits for a client before capacity is freed, so that an idle connection is closed only if a client waits.
void Listener::waitForClient() {
    acceptor_.async_wait(tcp::acceptor::wait_read, [this](const boost::system::error_code& error) {
        if (!error && acceptor_.is_open()) acceptClient();
    });
}

void Listener::acceptClient() {
    // Without capacity, clients stay in the listen queue, rather than being accepted and then dropped.
    if (callbacks_.isFull() && !callbacks_.evictOne()) return retryLater();
    tcp::socket socket(acceptor_.get_executor());
    boost::system::error_code error;
    acceptor_.accept(socket, error);
    if (!error) {
        handleAccepted(std::move(socket));
    } else if (!nothingToAccept(error)) {
        callbacks_.evictOne();  // out of descriptors, or the client has disconnected already
        return retryLater();
    }
    waitForClient();
}

void Listener::retryLater() {
    retryTimer_.expires_after(kRetryDelay);
    retryTimer_.async_wait([this](const boost::system::error_code& error) {
        if (!error && acceptor_.is_open()) waitForClient();
    });
}

void Listener::handleAccepted(tcp::socket socket) {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    callbacks_.onAccepted(std::move(socket));
}

void Listener::close() {
    if (!acceptor_.is_open()) return;
    boost::system::error_code error;
    acceptor_.cancel(error);
    for (;;) {
        tcp::socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, error);
        if (error) break;
        handleAccepted(std::move(socket));
    }
    acceptor_.close(error);
    retryTimer_.cancel();
}

}  // namespace wingproxy::net
