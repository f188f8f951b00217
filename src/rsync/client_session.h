/// \file
/// One client's connection to the rsync front: the handshake, then at most one transfer, then the close.
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

/// Owns the client's socket and buffers. The PendingTransfer reports the transfer's outcome to it; the
/// attempt in flight writes the node's bytes to its socket.
class ClientSession : public net::Session, public ClientStream {
public:
    /// \param context must outlive the session
    ClientSession(FrontContext& context, net::SessionManager& sessionManager,
                  boost::asio::ip::tcp::socket socket);

    /// Sends the greeting and starts the handshake timer.
    void start() override;
    /// Before a transfer, the connection may be evicted in favour of another client.
    bool isIdle() const override { return stage_ == Stage::Handshake; }

    boost::asio::ip::tcp::socket& socket() override { return socket_; }
    net::RingBuffer& receiveBuffer() override { return in_; }
    void resumeReading() override { read(); }
    void startForwarding(std::function<void()> onReceived) override;

    /// Sets the attempt in flight, which is notified if the client disconnects.
    void attemptStarted(std::weak_ptr<TransferAttempt> attempt);
    /// The node's complete stream was written to the client.
    void onCompleted();
    /// The engine rejected the transfer; no node ran it.
    /// \param retryAfterUs time from now after which the client should retry
    void onRejected(Micros retryAfterUs);
    /// The transfer failed. Sends an error message or, if bytes of the node's stream may have been forwarded,
    /// closes the connection, so that the client sees an incomplete stream.
    void onFailed();

protected:
    void onReceived() override;
    void onDisconnected() override;
    void onOutputSent() override;

private:
    enum class Stage {
        Handshake,  ///< reading lines from the client
        Transfer,   ///< the transfer is with the engine, or being forwarded
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
