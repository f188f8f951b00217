/// \file
/// One HTTP/1.1 client connection: receives a request, submits it to the engine, and sends the response,
/// which is buffered or streamed.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "http/client_stream.h"
#include "http/front_context.h"
#include "http/messages.h"
#include "http/request_parser.h"
#include "http/request_reader.h"
#include "http/streamed_response.h"
#include "net/session.h"

namespace wingproxy::http {

struct Rejection;

/// Owned by its session manager; pending handlers keep it alive until they have run.
///
/// | phase | entered by | ends with |
/// | --- | --- | --- |
/// | ReceivingRequest | connecting, or a sent response | a complete head, or an error |
/// | AwaitingResponse | a valid request | a response, or the client's leaving |
/// | SendingResponse | the first byte of a response | its last byte: the next request, or the close |
class ClientConnection : public net::Session, public ClientStream {
public:
    /// \param context has to outlive the connection
    ClientConnection(FrontContext& context, net::SessionManager& sessionManager,
                     boost::asio::ip::tcp::socket socket);

    bool isIdle() const override;
    /// First a connection that never sent a request, unless it is new; then one that did; then one with a
    /// partial request.
    int evictionPriority() const override;
    void enforceTimeouts() override;
    /// A request of which a part has arrived is rejected, as its rest would be lost.
    void closeGracefully() override;
    void evict() override;

    std::size_t consumeBody(char* to, std::size_t capacity) override;
    bool isBodyConsumed() const override { return !bodyIncomplete_ && reader_.body().empty(); }
    void awaitBody(std::function<void()> onBody) override { onBody_ = std::move(onBody); }
    void startStreaming(const StreamedHead& head, BodySource source) override;
    void resumeStreaming() override { resumeOutput(); }
    void completeStreaming() override;
    void respond(int status, std::string_view fields, std::string_view body,
                 net::ByteBudget::Reservation reservation = nullptr) override;

protected:
    void onReceived() override;
    void onDisconnected() override;
    void onWriteProgress() override;
    void onOutputSent() override;

private:
    using Clock = std::chrono::steady_clock;
    enum class Phase { ReceivingRequest, AwaitingResponse, SendingResponse };

    // Receiving a request.
    void awaitNextRequest();
    void readRequest();
    bool acceptHead();
    void sendContinue();
    void dispatch(std::optional<BodyFraming> streamed);
    void submit(ParsedRequest parsed, std::shared_ptr<const RequestMessage> message,
                std::optional<BodyFraming> streamed);
    Micros deadline() const;
    void onBodyCompleted();
    void onBodyUnreadable();
    void discardPipelined();
    void reject(const Rejection& rejection);

    // Sending a response.
    void leaveAwaitingResponse();
    void countResponse(int status);
    bool isStreaming() const { return stream_ && stream_->isActive(); }
    void abortStreaming();

    // Limits of time and connections.
    void enforceBodyTimeout();
    void enforceSendTimeout();
    void enforceRequestTimeouts();
    bool isCrowded() const;
    bool closesAfterResponse() const;
    Clock::duration phaseAge() const { return Clock::now() - phaseStartedAt_; }
    Clock::duration sinceLastByte() const { return Clock::now() - lastReceivedAt_; }
    std::shared_ptr<ClientConnection> self() {
        return std::static_pointer_cast<ClientConnection>(shared_from_this());
    }

    FrontContext& context_;
    RequestReader reader_;
    Phase phase_ = Phase::ReceivingRequest;
    RequestId requestId_ = 0;
    bool keepAlive_ = true;
    bool isHttp10_ = false;
    bool hasSentRequest_ = false;   // any, complete with its head
    bool hasPipelined_ = false;     // a second request came before the first one's response
    bool expectsContinue_ = false;  // the client sends the body after "100 Continue"
    bool bodyIncomplete_ = false;   // the engine has the request, and its body is still being received
    std::optional<StreamedResponse> stream_;  // from its beginning to the next request
    Clock::time_point
        phaseStartedAt_;  // connect or a request's first byte; then the last progress in sending
    Clock::time_point lastReceivedAt_;  // the client's last byte
    Micros bufferEmptiedAt_ = 0;        // engine's clock; the body's last byte had not been sent before
    Micros responseTimeoutUs_ = 0;      // from the body's last byte
    std::function<void()> onBody_;
    net::ByteBudget::Reservation responseReservation_;
};

}  // namespace wingproxy::http
