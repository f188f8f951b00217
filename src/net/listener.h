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
    // A descriptor that is given is the listening socket, which another process may have as well: it is
    // neither bound nor shut down here.
    Listener(boost::asio::io_context& io, const config::Endpoint& at, Hooks hooks, int inherited = -1);
    void open();                       // from now on it accepts
    void close();                      // takes what the system has accepted, then closes
    void release();                    // closes this process's descriptor; what waits is another's
    config::Endpoint address() const;  // as bound

private:
    void accept();
    void later();
    void took(boost::asio::ip::tcp::socket socket);
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer pause_;
    Hooks hooks_;
};

}  // namespace wingproxy::net
