#include "net/listener.h"

#include "net/node_pool.h"

namespace wingproxy::net {
namespace {

using boost::asio::ip::tcp;
constexpr std::chrono::milliseconds kPause{10};  // before looking for a free descriptor again

}  // namespace

Listener::Listener(boost::asio::io_context& io, const config::Endpoint& at, Hooks hooks, int inherited)
    : acceptor_(io), pause_(io), hooks_(std::move(hooks)) {
    if (inherited >= 0) {
        acceptor_.assign(tcp::v4(), inherited);
        acceptor_.non_blocking(true);
        return;
    }
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(tcpEndpoint(at));
    acceptor_.listen(boost::asio::socket_base::max_listen_connections);
    acceptor_.non_blocking(true);
}

void Listener::open() { accept(); }

void Listener::release() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    pause_.cancel();
}

config::Endpoint Listener::address() const {
    const auto bound = acceptor_.local_endpoint();
    return {bound.address().to_string(), bound.port()};
}

// Waits for a client before it makes room: an idle connection is closed only for one that is there.
void Listener::accept() {
    acceptor_.async_wait(tcp::acceptor::wait_read, [this](const boost::system::error_code& error) {
        if (error || !acceptor_.is_open()) return;
        // Waiting clients stay in the system's queue: better than taking one and dropping it.
        if (hooks_.full() && !hooks_.makeRoom()) return later();
        tcp::socket socket(acceptor_.get_executor());
        boost::system::error_code failed;
        acceptor_.accept(socket, failed);
        if (!failed) {
            took(std::move(socket));
        } else if (failed != boost::asio::error::would_block && failed != boost::asio::error::try_again) {
            hooks_.makeRoom();  // out of descriptors, or a client that left again
            return later();
        }
        accept();
    });
}

void Listener::later() {
    pause_.expires_after(kPause);
    pause_.async_wait([this](const boost::system::error_code& error) {
        if (!error && acceptor_.is_open()) accept();
    });
}

void Listener::took(tcp::socket socket) {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    hooks_.accepted(std::move(socket));
}

void Listener::close() {
    boost::system::error_code error;
    if (!acceptor_.is_open()) return;
    acceptor_.cancel(error);
    for (;;) {
        tcp::socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, error);
        if (error) break;
        took(std::move(socket));
    }
    acceptor_.close(error);
    pause_.cancel();
}

}  // namespace wingproxy::net
