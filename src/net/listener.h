// Accepts connections within a budget of descriptors and survives running out of them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "config/config.h"

namespace wingproxy::net {

class Listener {
public:
    struct Hooks {
        std::function<void(boost::asio::ip::tcp::socket)> accepted;
        std::function<bool()> full;      // the budget is spent
        std::function<bool()> makeRoom;  // closes an idle connection, if there is one
    };
    Listener(boost::asio::io_context& io, const config::Endpoint& at, Hooks hooks);
    void close();                 // takes what the system has accepted, then closes
    config::Endpoint at() const;  // as bound

private:
    void accept();
    void later();
    void took(boost::asio::ip::tcp::socket socket);
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer pause_;
    Hooks hooks_;
};

}  // namespace wingproxy::net
