/// \file
/// One client's connection to the rsync front: the handshake, at most one transfer, and the close.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/session.h"
#include "rsync/client_handshake.h"
#include "rsync/client_stream.h"
#include "rsync/front_context.h"

namespace wingproxy::rsync {

class TransferAttempt;

/// Owns the client's socket and buffers. A transfer's outcome comes from its PendingTransfer; the bytes of
/// the node from the attempt that is in flight.
class ClientSession : public net::Session, public ClientStream {
public:
    /// \param context has to outlive the session
    ClientSession(FrontContext& context, net::SessionManager& sessionManager,
                  boost::asio::ip::tcp::socket socket);

    /// Sends the greeting and starts the handshake's timer.
    void start() override;
    /// Before a transfer, the connection may be evicted in favour of another client.
    bool isIdle() const override { return stage_ == Stage::Handshake; }

    boost::asio::ip::tcp::socket& socket() override { return socket_; }
    net::RingBuffer& receiveBuffer() override { return in_; }
    void resumeReading() override { read(); }
    void startForwarding(std::function<void()> onReceived) override;

    /// Remembers the attempt in flight, which learns of the client's disconnection.
    void attemptStarted(std::weak_ptr<TransferAttempt> attempt);
    /// The client has the node's complete stream.
    void onCompleted();
    /// The engine rejected the transfer; no node ran it.
    /// \param retryAfterUs when the client should retry, from now
    void onRejected(Micros retryAfterUs);
    /// The transfer failed. The client gets an error message or, if bytes of a stream were forwarded, a
    /// closed connection, which shows that the stream is incomplete.
    void onFailed();

protected:
    void onReceived() override;
    void onDisconnected() override;
    void onOutputSent() override;

private:
    enum class Stage {
        Handshake,  ///< reading lines
        Transfer,   ///< submitted to the engine, then forwarded
        Closing     ///< the last bytes are being sent
    };

    void startHandshakeTimer();
    void handleHandshakeLines();
    void apply(const ClientHandshake::Reply& reply);
    void startTransfer();
    Request buildRequest(const TransferRequest& transfer) const;
    void closeWithError(const std::string& message);
    void closeAfterSending();

    FrontContext& context_;
    boost::asio::steady_timer handshakeTimer_;
    ClientHandshake handshake_;
    Stage stage_ = Stage::Handshake;
    RequestId requestId_ = 0;
    std::weak_ptr<TransferAttempt> attempt_;
    bool forwardingStarted_ = false;
    std::function<void()> onReceived_;
};

}  // namespace wingproxy::rsync
