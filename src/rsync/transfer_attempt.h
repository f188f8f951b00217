/// \file
/// One attempt at a transfer: the handshake with the node's daemon, then both directions are forwarded
/// between the node and the client. Both streams are parsed before they are forwarded, so that bytes which
/// break the protocol reach neither side.
///
/// Owns the connection to the node. Bytes of the client that were not forwarded stay with the client's
/// session; the attempt never sends a byte twice.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "net/node_attempt.h"
#include "net/pending_output.h"
#include "net/socket_reader.h"
#include "rsync/client_stream.h"
#include "rsync/generator_stream_parser.h"
#include "rsync/multiplexed_stream_parser.h"
#include "rsync/node_handshake.h"
#include "rsync/sender_stream_parser.h"
#include "rsync/transfer_request.h"

namespace wingproxy::rsync {

/// See `net::NodeAttempt` for its lifetime: handlers keep it alive until they have run.
class TransferAttempt : public net::NodeAttempt {
public:
    /// \param client where the node's stream goes; the attempt is cancelled if the client is gone
    TransferAttempt(net::Engine& engine, net::NodePool& pool, const net::AttemptParams& params,
                    std::shared_ptr<const TransferRequest> request, std::weak_ptr<ClientStream> client);

    /// Whether the node's complete stream was written to the client.
    bool isDelivered() const;
    /// Ends the attempt: as a success if everything was delivered, else as cancelled.
    void clientDisconnected();

private:
    enum class Stage {
        Handshake,  ///< reading the daemon's lines
        Arguments,  ///< the arguments are being sent, or the first byte of the stream is awaited
        Forwarding  ///< bytes go both ways
    };

    void onConnected(std::shared_ptr<net::Connection> connection) override;
    void closeConnection() override;

    void sendToNode(const std::string& text);
    void writeHandshake();
    void onHandshakeWritten();

    void readFromNode();
    void onNodeRead(std::size_t size);
    void handleHandshakeLines();
    void startForwardingIfStreamBegan();
    void parseNodeStream(std::size_t newBytes);

    void forwardToClient();
    void forwardToNode();
    void finishIfComplete();
    void finishDelivered();
    void finish(Outcome outcome);
    bool allForwardedToClient() const;

    std::shared_ptr<const TransferRequest> request_;
    std::weak_ptr<ClientStream> client_;
    std::shared_ptr<net::Connection> connection_;
    Stage stage_ = Stage::Handshake;
    NodeHandshake handshake_;
    net::PendingOutput handshakeOutput_;  ///< what does not fit the connection's buffer yet
    bool writingHandshake_ = false;
    bool requestSent_ = false;  ///< the last byte of the arguments was written: the node may run the transfer

    SenderStreamParser senderParser_;
    GeneratorStreamParser generatorParser_;
    StreamParser& nodeParser_;    ///< the one of the two that the node sends
    StreamParser& clientParser_;  ///< the one of the two that the client sends
    MultiplexedStreamParser nodeFrameParser_;
    net::SocketReader nodeReader_;  ///< ended: the node closed its side, or the connection broke
    bool writingClient_ = false;
    bool writingNode_ = false;
};

}  // namespace wingproxy::rsync
