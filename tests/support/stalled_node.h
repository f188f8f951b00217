/// \file
/// A node that accepts connections and reads nothing from them, with a receive buffer smaller than most
/// requests.
#pragma once

#include <netinet/tcp.h>

#include <deque>
#include <utility>

#include "support/net_support.h"

namespace wingproxy::test {

/// Replaces node "s-0" of a fixture. The test decides when to read from a connection.
class StalledNode {
public:
    explicit StalledNode(GatewayFixture& fixture, int receiveBufferBytes = 4 * 1024)
        : fixture_(fixture), acceptor_(fixture.io) {
        acceptor_.open(tcp::v4());
        // Both are inherited by the accepted sockets; a loopback segment alone would fill the buffer.
        acceptor_.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>(kSegmentBytes));
        acceptor_.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
        acceptor_.listen();
        accept();
        fixture.engine.endpointListReceived(
            {{EndpointListKind::Delta, 2, {{"s-0", "z", CellIndex(0), 1, NodeState::Ready, 1}}},
             {{"127.0.0.1", acceptor_.local_endpoint().port()}}});
    }
    /// Waits for the next connection that the front opens.
    tcp::socket nextConnection() {
        fixture_.waitUntil([&] { return !accepted_.empty(); }, "a connection to the node");
        auto socket = std::move(accepted_.front());
        accepted_.pop_front();
        return socket;
    }

private:
    static constexpr int kSegmentBytes = 1460;

    void accept() {
        acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
            if (error) return;
            accepted_.push_back(std::move(socket));
            accept();
        });
    }

    GatewayFixture& fixture_;
    tcp::acceptor acceptor_;
    std::deque<tcp::socket> accepted_;
};

}  // namespace wingproxy::test
