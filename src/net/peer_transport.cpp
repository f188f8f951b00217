#include "net/peer_transport.h"

namespace wingproxy::net {
namespace {

using boost::asio::ip::udp;

// Port 0 means that the address is not configured.
udp::endpoint udpEndpoint(const config::Endpoint& endpoint) {
    if (endpoint.port == 0) return {};
    return {boost::asio::ip::make_address_v4(endpoint.host), endpoint.port};
}

}  // namespace

PeerTransport::PeerTransport(Engine& engine, const config::Config& config, bool opened)
    : engine_(engine),
      socket_(engine.io()),
      listenAddress_(config.peerListen),
      selfIndex_(config.settings.hostIndex) {
    setPeers(config);
    if (opened) open();
}

void PeerTransport::open() {
    if (listenAddress_.port == 0) return;
    socket_.open(udp::v4());
    socket_.bind(udpEndpoint(listenAddress_));
    socket_.non_blocking(true);
    receive();
}

void PeerTransport::setPeers(const config::Config& config) {
    broadcast_ = udpEndpoint(config.peerBroadcast);
    peerIndexes_.clear();
    peers_.clear();
    for (const auto& peer : config.peers) {
        peerIndexes_.emplace(udpEndpoint(peer), HostIndex::ofPosition(peers_.size()));
        peers_.push_back(udpEndpoint(peer));
    }
}

bool PeerTransport::isSendable(PeerRecipient to, const std::string& bytes) const {
    const bool known = to.isEveryPeer() || to.host().position() < peers_.size();
    return known && to.host() != selfIndex_ && !bytes.empty() && bytes.size() <= kMaxDatagramBytes;
}

void PeerTransport::send(PeerRecipient to, const std::string& bytes) {
    if (!socket_.is_open()) return;
    if (!isSendable(to, bytes)) {
        ++counters_.unsent;
        return;
    }
    if (to.isEveryPeer())
        sendToAll(bytes);
    else
        sendTo(peers_[to.host().position()], bytes);
}

void PeerTransport::sendToAll(const std::string& bytes) {
    if (broadcast_.port() != 0) return sendTo(broadcast_, bytes);
    for (std::size_t i = 0; i < peers_.size(); ++i)
        if (i != selfIndex_.position()) sendTo(peers_[i], bytes);
}

void PeerTransport::sendTo(const udp::endpoint& target, const std::string& bytes) {
    boost::system::error_code error;
    socket_.send_to(boost::asio::buffer(bytes), target, 0, error);
    // If the send buffer is full, the datagram is lost, as it may be in the network.
    if (error)
        ++counters_.unsent;
    else
        ++counters_.sent;
}

void PeerTransport::receive() {
    socket_.async_receive_from(boost::asio::buffer(buffer_), sender_,
                               [this](const boost::system::error_code& error, std::size_t count) {
                                   if (error == boost::asio::error::operation_aborted || !socket_.is_open())
                                       return;
                                   onReceived(error, count);
                                   receive();
                               });
}

void PeerTransport::onReceived(const boost::system::error_code& error, std::size_t count) {
    const auto from = peerIndexes_.find(sender_);
    const bool fromPeer = from != peerIndexes_.end() && from->second != selfIndex_;
    if (!error && count > kMaxDatagramBytes) {
        ++counters_.oversize;
    } else if (error || !fromPeer) {
        ++counters_.unknown;
    } else {
        ++counters_.received;
        engine_.peerMessageReceived(from->second, std::string(buffer_.data(), count));
    }
}

void PeerTransport::stop() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

}  // namespace wingproxy::net
