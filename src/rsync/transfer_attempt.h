/// \file
/// One attempt at a transfer: the handshake with the node's daemon, then forwarding in both directions
/// between the node and the client. Both streams are parsed before they are forwarded, so that bytes that
/// violate the protocol reach neither side.
///
/// Owns the connection to the node. Bytes from the client that are not forwarded yet stay in the client's
/// session; an attempt never sends a byte twice.
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

/// Pending handlers keep it alive until they have run; see `net::NodeAttempt`.
class TransferAttempt : public net::NodeAttempt {
public:
    /// \param client receives the node's stream; the attempt is cancelled if the client is gone
    TransferAttempt(net::Engine& engine, net::NodePool& pool, const net::AttemptParams& params,
                    std::shared_ptr<const TransferRequest> request, std::weak_ptr<ClientStream> client);

    /// Whether the node's complete stream was written to the client.
    bool isDelivered() const;
    /// Ends the attempt: as Ok if isDelivered(), else as Cancelled.
    void clientDisconnected();
    /// Once the node's stream has begun, the node has the request; what it has not acknowledged then is part
    /// of the client's stream.
    bool hasUndeliveredBytes() const override;

private:
    enum class Stage {
        Handshake,  ///< reading the node's handshake lines
        Arguments,  ///< the arguments are being sent, or the first byte of the stream is awaited
        Forwarding  ///< forwarding in both directions
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
    net::PendingOutput handshakeOutput_;  ///< output that does not fit into the connection's buffer yet
    bool writingHandshake_ = false;
    bool requestSent_ = false;  ///< all arguments were written: the node may execute the transfer
    bool succeeded_ = false;    ///< the last bytes to the node may still be delivered after the close

    SenderStreamParser senderParser_;
    GeneratorStreamParser generatorParser_;
    StreamParser& nodeParser_;    ///< the one of the two for the node's stream
    StreamParser& clientParser_;  ///< the one of the two for the client's stream
    MultiplexedStreamParser nodeFrameParser_;
    net::SocketReader nodeReader_;  ///< hasEnded(): the node closed its side, or the connection broke
    bool writingClient_ = false;
    bool writingNode_ = false;
};

}  // namespace wingproxy::rsync
