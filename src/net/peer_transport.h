/// \file
/// The datagram transport between the hosts of a tier. Owns the UDP socket and the peers' addresses; the
/// policy interprets the messages.
#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net/engine.h"

namespace wingproxy::net {

/// Sends and receives peer messages. Lost messages are not sent again. Single-threaded; the engine must
/// outlive it.
class PeerTransport {
public:
    /// The largest datagram that the protocol allows, in bytes. A longer one is discarded as a whole.
    static constexpr std::size_t kMaxDatagramBytes = 256;

    /// Datagrams since the start.
    struct Counters {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
        std::uint64_t unsent = 0;    ///< invalid, for an unknown peer, or the socket's buffer was full
        std::uint64_t unknown = 0;   ///< from an address that is no peer's, or a receive error
        std::uint64_t oversize = 0;  ///< received with more than kMaxDatagramBytes
    };

    /// \param opened whether to bind at once
    PeerTransport(Engine& engine, const config::Config& config, bool opened = true);

    /// Binds the configured port, or does nothing if none is configured. Throws boost::system::system_error
    /// while another process of this front holds the port.
    void open();
    /// Sets the peers' addresses.
    void setPeers(const config::Config& config);
    /// Sends a message, or counts it as unsent.
    /// \param to one peer, or every peer, which uses the broadcast address if one is configured
    void send(PeerRecipient to, const std::string& bytes);
    /// Closes the socket.
    void stop();
    /// Totals since the start.
    const Counters& counters() const { return counters_; }

private:
    void sendToAll(const std::string& bytes);
    void sendTo(const boost::asio::ip::udp::endpoint& target, const std::string& bytes);
    bool isSendable(PeerRecipient to, const std::string& bytes) const;
    void receive();
    void onReceived(const boost::system::error_code& error, std::size_t count);

    Engine& engine_;
    boost::asio::ip::udp::socket socket_;
    config::Endpoint listenAddress_;
    const HostIndex selfIndex_;
    std::vector<boost::asio::ip::udp::endpoint> peers_;
    std::map<boost::asio::ip::udp::endpoint, HostIndex> peerIndexes_;
    boost::asio::ip::udp::endpoint broadcast_;          // port 0: none
    boost::asio::ip::udp::endpoint sender_;             // of the datagram that was received last
    std::array<char, kMaxDatagramBytes + 1> buffer_{};  // one byte more, to detect oversized datagrams
    Counters counters_;
};

}  // namespace wingproxy::net
