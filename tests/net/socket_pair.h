// Both ends of a TCP connection on the loopback interface, for tests of classes that use a socket.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string_view>

namespace wingproxy::test {

struct SocketPair {
    SocketPair() {
        using boost::asio::ip::tcp;
        tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
        peer.connect(acceptor.local_endpoint());
        socket = acceptor.accept();
        socket.non_blocking(true);
    }
    void sendFromPeer(std::string_view text) {
        boost::asio::write(peer, boost::asio::buffer(text.data(), text.size()));
    }

    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket{io};
    boost::asio::ip::tcp::socket peer{io};
};

}  // namespace wingproxy::test
