/// \file
/// One HTTP/1.1 client connection: receives a request, submits it to the engine, and sends the response,
/// which is buffered or streamed.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "http/client_stream.h"
#include "http/connection_activity.h"
#include "http/front_context.h"
#include "http/messages.h"
#include "http/request_parser.h"
#include "http/request_reader.h"
#include "http/response_deadline.h"
#include "http/streamed_response.h"
#include "net/session.h"

namespace wingproxy::http {

class PendingRequest;

struct Rejection;

/// Owned by its session manager; pending handlers keep it alive until they have run.
///
/// | phase | entered by | ends with |
/// | --- | --- | --- |
/// | ReceivingRequest | connecting, or a sent response | a complete head, or an error |
/// | AwaitingResponse | a valid request | a response, or the client's disconnect |
/// | SendingResponse | the first byte of a response | its last byte, then the next request or the close |
class ClientConnection : public net::Session, public ClientStream {
public:
    /// \param context has to outlive the connection
    ClientConnection(FrontContext& context, net::SessionManager& sessionManager,
                     boost::asio::ip::tcp::socket socket);

    bool isIdle() const override;
    /// Evicted first: connections that never sent a request and are older than `kPartialRequestIdle`; then
    /// those that sent one; then those with a partial request; last, new connections without a request.
    int evictionPriority() const override;
    bool canYieldMemory() const override;
    /// Rejects the request, no byte of which can be served any more.
    void yieldMemory() override;
    void enforceTimeouts() override;
    /// Rejects a partly received request, as its remainder would be lost.
    void closeGracefully() override;
    void evict() override;

    std::size_t consumeBody(char* to, std::size_t capacity) override;
    bool isBodyConsumed() const override { return !bodyIncomplete_ && reader_.body().empty(); }
    void awaitBody(std::function<void()> onBody) override { onBody_ = std::move(onBody); }
    bool mayStream() const override { return context_.mayStream(arrivedAt_); }
    void startStreaming(const StreamedHead& head, BodySource source) override;
    void resumeStreaming() override { resumeOutput(); }
    void completeStreaming() override;
    void respond(int status, std::string_view fields, std::string_view body,
                 net::ByteBudget::Reservation reservation = nullptr) override;

protected:
    bool dropsInput() const override { return phase_ != Phase::ReceivingRequest; }
    void onReceived() override;
    void onDisconnected() override;
    void onWriteProgress() override;
    void onOutputSent() override;

private:
    enum class Phase { ReceivingRequest, AwaitingResponse, SendingResponse };

    // Receiving a request.
    void awaitNextRequest();
    void readRequest();
    bool acceptHead();
    bool reserveMemory(bool bodyIsStreamed);
    void sendContinue();
    void dispatch(std::optional<BodyFraming> streamed);
    void submit(ParsedRequest parsed, const std::shared_ptr<const RequestMessage>& message,
                std::optional<BodyFraming> streamed);
    Micros deadline() const;  // on the engine's clock
    void onBodyCompleted();
    void updateBodyDeadline();
    Micros bodyDeadline();
    void onBodyUnreadable();
    bool closeIfClientLeft();
    void discardPipelined();
    void reject(const Rejection& rejection);

    // Sending a response.
    void startSendingResponse();
    void countResponse(int status);
    bool isStreaming() const { return stream_ && stream_->isActive(); }
    void abortStreaming();

    // Timeouts and connection limits.
    void enforceBodyTimeout();
    void enforceSendTimeout();
    void enforceRequestTimeouts();
    bool isKeepAliveShortened() const;
    bool closesAfterResponse() const;

    FrontContext& context_;
    RequestReader reader_;
    Phase phase_ = Phase::ReceivingRequest;
    RequestId requestId_ = 0;
    std::weak_ptr<PendingRequest> pending_;  // the request in phase AwaitingResponse
    Micros arrivedAt_ = 0;                   // when the last byte of the request, so far, was read
    bool keepAlive_ = true;
    bool isHttp10_ = false;
    bool hasSentRequest_ = false;   // the client has sent at least one complete head
    bool hasPipelined_ = false;     // a request arrived before the response to the previous one
    bool expectsContinue_ = false;  // the client waits for "100 Continue" before it sends the body
    bool bodyIncomplete_ = false;   // the request is submitted, and its body is still being received
    std::optional<StreamedResponse> stream_;  // set from the response head until the next request
    ConnectionActivity activity_;
    ResponseDeadline responseDeadline_;                       // of the request in phase AwaitingResponse
    Micros bodyDeadline_ = core::BodyDeadlineChanged::kNone;  // as the engine knows it
    std::function<void()> onBody_;
    net::ByteBudget::Reservation responseReservation_;
};

}  // namespace wingproxy::http
