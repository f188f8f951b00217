#include "net/peers.h"

namespace wingproxy::net {
namespace {

using boost::asio::ip::udp;

udp::endpoint udpEndpoint(const config::Endpoint& e) {
    return e.port == 0 ? udp::endpoint{} : udp::endpoint{boost::asio::ip::make_address_v4(e.host), e.port};
}

}  // namespace

Peers::Peers(Engine& engine, const config::Config& config, bool opened)
    : engine_(engine), socket_(engine.io()), listen_(config.peerListen), self_(config.settings.hostIndex) {
    setPeers(config);
    if (opened) open();
}

void Peers::open() {
    if (listen_.port == 0) return;
    socket_.open(udp::v4());
    socket_.bind(udpEndpoint(listen_));
    socket_.non_blocking(true);
    receive();
}

void Peers::setPeers(const config::Config& config) {
    all_ = udpEndpoint(config.peersAll);
    numbers_.clear();
    peers_.clear();
    for (const auto& peer : config.peers) {
        numbers_.emplace(udpEndpoint(peer), int(peers_.size()));
        peers_.push_back(udpEndpoint(peer));
    }
}

void Peers::send(int to, const std::string& bytes) {
    if (!socket_.is_open()) return;
    const bool known = to < 0 || std::size_t(to) < peers_.size();
    if (!known || to == self_ || bytes.empty() || bytes.size() > kMost) {
        ++counters_.unsent;
        return;
    }
    const auto send = [&](const udp::endpoint& target) {
        boost::system::error_code error;
        socket_.send_to(boost::asio::buffer(bytes), target, 0,
                        error);  // a full buffer loses it, as a network may
        ++(error ? counters_.unsent : counters_.sent);
    };
    if (to >= 0)
        send(peers_[std::size_t(to)]);
    else if (all_.port() != 0)
        send(all_);
    else
        for (std::size_t i = 0; i < peers_.size(); ++i)
            if (int(i) != self_) send(peers_[i]);
}

void Peers::receive() {
    socket_.async_receive_from(
        boost::asio::buffer(buffer_), sender_, [this](const boost::system::error_code& error, std::size_t n) {
            if (error == boost::asio::error::operation_aborted || !socket_.is_open()) return;
            const auto from = numbers_.find(sender_);
            if (error)
                ++counters_.unknown;
            else if (n > kMost)
                ++counters_.oversize;
            else if (from == numbers_.end() || from->second == self_)
                ++counters_.unknown;
            else {
                ++counters_.received;
                engine_.peerMessageReceived(from->second, std::string(buffer_.data(), n));
            }
            receive();
        });
}

void Peers::stop() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

}  // namespace wingproxy::net
