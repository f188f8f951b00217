#include "http/client_connection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <utility>

#include "http/client_limits.h"
#include "http/field_values.h"
#include "http/message_writer.h"
#include "http/pending_request.h"
#include "http/rejection.h"
#include "net/shared_from.h"

namespace wingproxy::http {
namespace {

namespace beast = boost::beast;

constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

// Some old clients send an empty line after a body (RFC 9112, 2.2): it is not a pipelined request.
bool hasOnlyLineEnds(const net::RingBuffer& in) {
    const auto parts = in.newest(in.size());
    return std::all_of(parts.begin(), parts.end(), [](std::string_view part) {
        return part.find_first_not_of("\r\n") == std::string_view::npos;
    });
}

}  // namespace

ClientConnection::ClientConnection(FrontContext& context, net::SessionManager& sessionManager,
                                   boost::asio::ip::tcp::socket socket)
    : Session(sessionManager, std::move(socket)), context_(context), reader_(in_) {
    awaitNextRequest();
}

void ClientConnection::awaitNextRequest() {
    phase_ = Phase::ReceivingRequest;
    expectsContinue_ = false;
    bodyIncomplete_ = false;
    stream_.reset();
    responseReservation_ = nullptr;
    onBody_ = nullptr;
    activity_.startAwaitingRequest();
    reader_.reset();
}

void ClientConnection::onReceived() {
    activity_.onReceived();
    if (phase_ == Phase::ReceivingRequest) {
        if (!reader_.hasParsedAny()) activity_.startRequest();
        return readRequest();
    }
    if (!bodyIncomplete_) {
        if (phase_ == Phase::AwaitingResponse || isStreaming()) discardPipelined();
        return;
    }
    if (readDrainedSocket_) responseDeadline_.onSocketDrained(context_.engine().now());
    if (phase_ == Phase::SendingResponse) {
        in_.clear();  // the response was sent before the body was complete: the rest is discarded
    } else if (onBody_) {
        const auto onBody = std::exchange(onBody_, nullptr);
        onBody();
    }
}

void ClientConnection::onDisconnected() {
    if (phase_ == Phase::AwaitingResponse) context_.onRequestNoLongerWaiting();
    if (phase_ != Phase::AwaitingResponse && !isStreaming()) return;
    if (const auto pending = pending_.lock()) pending->onClientDisconnected();
    context_.engine().clientDisconnected(requestId_);
}

void ClientConnection::onWriteProgress() {
    if (phase_ == Phase::SendingResponse) activity_.startPhase();
}

void ClientConnection::onOutputSent() {
    if (phase_ != Phase::SendingResponse || isStreaming()) return;  // "100 Continue" or a part was sent
    if (!keepAlive_) {
        if (bodyIncomplete_) return startLingeringClose(kUnreadBodyLinger);
        return startLingeringClose();
    }
    awaitNextRequest();
    markActive();
    readRequest();
    read();
}

void ClientConnection::readRequest() {
    boost::system::error_code error;
    if (!reader_.hasHead()) {
        if (!reader_.readHead(error)) {
            if (error) reject(rejectUnreadable(error));
            return;
        }
        if (!acceptHead()) return;
    }
    switch (reader_.readBody(error)) {
        case RequestProgress::NeedsMore:
            return;
        case RequestProgress::Complete:
            return dispatch(std::nullopt);
        case RequestProgress::Streaming:
            return dispatch(reader_.streamedFraming());
        case RequestProgress::Invalid:
            return reject(rejectUnreadable(error));
    }
}

// Runs the checks that do not need the body. Returns false if the request was rejected.
bool ClientConnection::acceptHead() {
    const auto& head = reader_.head();
    isHttp10_ = head.version() < 11;
    if (const auto error = checkFraming(head)) {
        reject(rejectFraming(*error));
        return false;
    }
    const bool isLong = reader_.announcesLongBody();
    if (!reserveMemory(isLong)) {
        reject(rejectBeyondMemoryBudget(context_.engine().settings()));
        return false;
    }
    expectsContinue_ =
        !reader_.isComplete() && beast::iequals(head[beast::http::field::expect], "100-continue");
    // For a long body, 100 Continue is sent only when a node connection is ready to receive it.
    if (!isLong) sendContinue();
    return true;
}

// Reserves the memory of a request before its body is read. Requests of other clients that make no progress
// give way.
bool ClientConnection::reserveMemory(bool bodyIsStreamed) {
    auto& engine = context_.engine();
    const auto tryToReserve = [&] {
        if (!reader_.reserveHead(engine.headBudget())) return false;
        return bodyIsStreamed || reader_.reserveBody(engine.bodyBudget());
    };
    while (!tryToReserve())
        if (!sessionManager_.evictForMemory()) return false;
    return true;
}

void ClientConnection::sendContinue() {
    if (std::exchange(expectsContinue_, false)) send(std::string(kContinueResponse));
}

// Called when the request is complete, or when its body has to be streamed.
void ClientConnection::dispatch(std::optional<BodyFraming> streamed) {
    auto message = std::make_shared<RequestMessage>(reader_.takeHead());
    hasSentRequest_ = true;
    keepAlive_ = reader_.parser().keep_alive();
    if (!streamed) {
        discardPipelined();
        message->body() = reader_.body().releaseBytes();
    }
    if (message->target() == "/up") return respond(200, "", "up\n");  // the readiness path
    ++context_.counters().requests;
    auto& engine = context_.engine();
    arrivedAt_ = engine.now();
    if (context_.isLeftToSuccessor(arrivedAt_)) return reject(rejectDuringShutdown(engine.settings()));
    auto result = validateRequest(*message, streamed.has_value(), engine.settings(), context_.requestIds(),
                                  engine.now());
    if (const auto* rejection = std::get_if<Rejection>(&result)) return reject(*rejection);
    if (closeIfClientLeft()) return;
    submit(std::get<ParsedRequest>(std::move(result)), message, streamed);
}

// A client's close is read only behind all bytes that it sent before. Until then its request would be sent to
// a node, which may run it.
bool ClientConnection::closeIfClientLeft() {
    if (!hasClientClosed()) return false;
    ++context_.counters().disconnected;
    close();
    return true;
}

void ClientConnection::submit(ParsedRequest parsed, const std::shared_ptr<const RequestMessage>& message,
                              std::optional<BodyFraming> streamed) {
    responseDeadline_ = ResponseDeadline(context_.engine().now(), parsed.timeoutUs);
    bodyIncomplete_ = streamed.has_value();
    bodyDeadline_ = core::BodyDeadlineChanged::kNone;
    parsed.request.deadlineUs = deadline();
    parsed.request.bodyIncomplete = bodyIncomplete_;
    phase_ = Phase::AwaitingResponse;
    context_.onRequestWaiting();
    markActive();
    PendingRequest::Reservations reservations{reader_.releaseHeadReservation(), nullptr};
    if (!streamed) reservations.body = reader_.body().releaseReservation();
    auto pending = std::make_shared<PendingRequest>(context_, net::sharedFrom(this), message, streamed,
                                                    std::move(reservations));
    pending_ = pending;
    requestId_ = context_.engine().submit(std::move(parsed.request), std::move(pending));
    context_.engine().trace("request {} is {}", requestId_, toStringView((*message)["Req-Id"]));
    context_.keepConnectionsFree(sessionManager_.activeConnections());
}

Micros ClientConnection::deadline() const {
    return std::min(responseDeadline_.time(), context_.responseDeadline());
}

std::size_t ClientConnection::consumeBody(char* to, std::size_t capacity) {
    if (!isOpen() || phase_ != Phase::AwaitingResponse) return 0;
    sendContinue();
    const bool wasBuffered = !reader_.body().empty();
    boost::system::error_code error;
    const auto count = reader_.consumeBody(to, capacity, error);
    if (wasBuffered) return count;
    const bool isChunkHeaderTooLong = count == 0 && in_.freeSpace() == 0 && !reader_.isComplete();
    if (error || isChunkHeaderTooLong) {
        // Posted, as rejecting the request ends the attempt that is calling this function.
        boost::asio::post(sessionManager_.io(), [self = net::sharedFrom(this)] { self->onBodyUnreadable(); });
        return 0;
    }
    if (bodyIncomplete_ && reader_.isComplete()) onBodyCompleted();
    read();
    return count;
}

void ClientConnection::onBodyCompleted() {
    bodyIncomplete_ = false;
    arrivedAt_ = context_.engine().now();
    discardPipelined();
    context_.engine().requestBodyCompleted(requestId_, deadline());
}

// A node that does not take the body holds up the reading: the client's last byte may wait in the system's
// buffer, and its timeout runs.
void ClientConnection::updateBodyDeadline() {
    const Micros deadline = bodyDeadline();
    if (deadline == bodyDeadline_) return;
    bodyDeadline_ = deadline;
    context_.engine().bodyDeadlineChanged(requestId_, deadline);
}

Micros ClientConnection::bodyDeadline() {
    const Micros now = context_.engine().now();
    const std::size_t unread = unreadBytes();
    responseDeadline_.onArrived(bytesRead_ + unread, now);
    if (reader_.mayHaveArrived(unread)) return deadline();
    const bool isNodeStalled = in_.freeSpace() == 0 && activity_.sinceLastByte() >= kStalledNodeTimeout;
    if (isNodeStalled) return now;
    // The process ends soon after its last response, whether or not the body is complete by then.
    if (context_.hasResponseDeadline()) return context_.responseDeadline();
    return core::BodyDeadlineChanged::kNone;
}

void ClientConnection::onBodyUnreadable() {
    if (!isOpen() || phase_ != Phase::AwaitingResponse) return;
    context_.engine().clientDisconnected(requestId_);
    reject(rejectUnreadableBody());
}

// Pipelining is not supported: a full receive buffer would hide that a client has disconnected while its
// later requests wait. Pipelined bytes are discarded, and the current response closes the connection.
void ClientConnection::discardPipelined() {
    const bool onlyLineEnds = hasOnlyLineEnds(in_);
    in_.clear();
    if (onlyLineEnds || hasPipelined_) return;
    hasPipelined_ = true;
    ++context_.counters().pipelined;
    keepAlive_ = false;
}

void ClientConnection::reject(const Rejection& rejection) {
    if (rejection.counter) ++(context_.counters().*rejection.counter);
    if (rejection.closesConnection) keepAlive_ = false;
    respond(rejection.status, rejection.fields, rejection.body);
}

void ClientConnection::startSendingResponse() {
    if (phase_ == Phase::AwaitingResponse) context_.onRequestNoLongerWaiting();
    phase_ = Phase::SendingResponse;
    activity_.startPhase();
}

void ClientConnection::countResponse(int status) {
    auto& counters = context_.counters();
    switch (status) {
        case 200:
            ++counters.ok;
            break;
        case 503:
            ++counters.rejected;
            break;
        default:
            ++counters.failed;
    }
}

void ClientConnection::respond(int status, std::string_view fields, std::string_view body,
                               net::ByteBudget::Reservation reservation) {
    if (!isOpen()) return;
    if (isStreaming()) return abortStreaming();
    if (bodyIncomplete_) keepAlive_ = false;
    onBody_ = nullptr;
    reader_.discardMessage();
    responseReservation_ = std::move(reservation);
    countResponse(status);
    startSendingResponse();
    if (closesAfterResponse()) keepAlive_ = false;
    std::string allFields(fields);
    if (isHttp10_ && keepAlive_) allFields += "Connection: keep-alive\r\n";
    send(serializeResponse(status, allFields, body, keepAlive_));
    if (!bodyIncomplete_) return;
    in_.clear();
    read();
}

void ClientConnection::startStreaming(const StreamedHead& head, BodySource source) {
    if (!isOpen() || phase_ != Phase::AwaitingResponse) return;
    startSendingResponse();
    stream_.emplace(head, std::move(source), isHttp10_);
    if (closesAfterResponse() || stream_->framing() == ResponseFraming::UntilClose) keepAlive_ = false;
    send(stream_->serializeHead(keepAlive_));
    setOutputSource([this](net::RingBuffer& out) { stream_->fill(out); });
}

void ClientConnection::completeStreaming() {
    if (!isOpen() || !isStreaming()) return;
    stream_->end();
    ++context_.counters().ok;
    clearOutputSource();
    if (!stream_->terminator().empty()) send(std::string(stream_->terminator()));
}

// Lets the client detect that the response is truncated: by its length, by the missing last chunk, or, where
// the body ends with the connection, by a reset.
void ClientConnection::abortStreaming() {
    stream_->end();
    ++context_.counters().failed;
    switch (stream_->framing()) {
        case ResponseFraming::ContentLength:
        case ResponseFraming::Chunked:
            return close();
        case ResponseFraming::UntilClose:
            return reset();
    }
}

bool ClientConnection::isIdle() const {
    if (phase_ != Phase::ReceivingRequest) return false;
    return !reader_.hasBegun() || activity_.sinceLastByte() > kPartialRequestIdle;
}

bool ClientConnection::canYieldMemory() const {
    if (isLingering() || unreadBytes() > 0) return false;
    if (phase_ == Phase::ReceivingRequest) return reader_.hasHead() && isIdle();
    const bool clientMaySend = bodyIncomplete_ && in_.freeSpace() > 0;
    return phase_ == Phase::AwaitingResponse && clientMaySend &&
           activity_.sinceLastByte() > kPartialRequestIdle;
}

void ClientConnection::yieldMemory() {
    if (phase_ == Phase::ReceivingRequest) return evict();
    context_.engine().clientDisconnected(requestId_);
    reject(rejectBeyondMemoryBudget(context_.engine().settings()));
}

int ClientConnection::evictionPriority() const {
    if (reader_.hasBegun()) return 2;
    if (hasSentRequest_) return 1;
    return activity_.phaseAge() > kPartialRequestIdle ? 0 : 3;
}

void ClientConnection::closeGracefully() {
    if (reader_.hasBegun())
        reject(rejectPartialRequest(context_.engine().settings()));
    else
        startLingeringClose();
}

void ClientConnection::evict() {
    if (reader_.hasBegun()) closeGracefully();
    close();
}

void ClientConnection::enforceTimeouts() {
    if (!isOpen()) return;
    switch (phase_) {
        case Phase::ReceivingRequest:
            return enforceRequestTimeouts();
        case Phase::AwaitingResponse:
            return enforceBodyTimeout();
        case Phase::SendingResponse:
            return enforceSendTimeout();
    }
}

void ClientConnection::enforceRequestTimeouts() {
    if (reader_.hasBegun()) {
        if (isRequestOverdue(activity_.phaseAge(), activity_.sinceLastByte(), reader_.body().size()))
            reject(rejectOverdueRequest());
        return;
    }
    if (unreadBytes() > 0 || activity_.phaseAge() <= idleTimeout(hasSentRequest_, isKeepAliveShortened()))
        return;
    ++context_.counters().silent;
    startLingeringClose();
}

// The engine enforces the deadline of a submitted request; here only a client that stopped sending its body
// times out. While the receive buffer is full, the client is not the one that stalls.
void ClientConnection::enforceBodyTimeout() {
    if (!bodyIncomplete_) return;
    updateBodyDeadline();
    if (in_.freeSpace() == 0 || activity_.sinceLastByte() < kStalledClientTimeout) return;
    context_.engine().clientDisconnected(requestId_);
    reject(rejectStalledBody());
}

void ClientConnection::enforceSendTimeout() {
    if (activity_.phaseAge() <= kStalledClientTimeout) return;
    ++context_.counters().unread;
    onDisconnected();
    close();
}

// During a shutdown a client cannot open a new connection, so none is closed to save connections.
bool ClientConnection::isKeepAliveShortened() const {
    return !context_.hasResponseDeadline() &&
           http::isKeepAliveShortened(sessionManager_.activeConnections(), sessionManager_.capacity());
}

bool ClientConnection::closesAfterResponse() const {
    if (context_.isDraining()) return true;
    return !context_.hasResponseDeadline() &&
           isKeepAliveDisabled(sessionManager_.activeConnections(), sessionManager_.capacity());
}

}  // namespace wingproxy::http
