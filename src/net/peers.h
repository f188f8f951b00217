// Datagrams between the hosts of a tier.
#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <string>

#include "net/engine.h"

namespace wingproxy::net {

class Peers {
public:
    static constexpr std::size_t kMost = 256;  // bytes of a datagram, by the protocol: a longer one voids all
    struct Counters {
        std::uint64_t sent = 0, received = 0, unsent = 0, unknown = 0, oversize = 0;
    };
    Peers(Engine& engine, const config::Config& config, bool opened = true);
    void open();                                  // binds; another process of this front must have let go
    void setPeers(const config::Config& config);  // the peers' addresses, at the start and anew
    void send(int to, const std::string& bytes);
    void stop();
    const Counters& counters() const { return counters_; }

private:
    void receive();
    Engine& engine_;
    boost::asio::ip::udp::socket socket_;
    std::vector<boost::asio::ip::udp::endpoint> peers_;
    boost::asio::ip::udp::endpoint all_, sender_;
    std::map<boost::asio::ip::udp::endpoint, int> numbers_;
    std::array<char, kMost + 1> buffer_{};
    Counters counters_;
    config::Endpoint listen_;
    int self_ = 0;
};

}  // namespace wingproxy::net
