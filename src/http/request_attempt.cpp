#include "http/request_attempt.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "http/message_writer.h"
#include "http/node_response.h"
#include "net/clock.h"
#include "net/http_exchange.h"
#include "net/shared_from.h"

namespace wingproxy::http {
namespace {

// A streamed response that brings no byte for this long is a reset: working nodes pause for a few seconds at
// most.
constexpr std::chrono::seconds kStreamStallTimeout{30};
// The stall timeout of a buffered response that has begun, as a share of the shortest latency objective, so
// that a retry can still meet the objective.
constexpr double kStallTimeoutShareOfObjective = 0.2;

}  // namespace

RequestAttempt::RequestAttempt(net::Engine& engine, net::NodePool& pool, const net::AttemptParams& params,
                               std::shared_ptr<const RequestMessage> message,
                               std::optional<BodyFraming> streamed, std::weak_ptr<ClientStream> client,
                               OnResponse onResponse)
    : net::NodeAttempt(engine, pool, params),
      message_(std::move(message)),
      streamed_(streamed),
      client_(std::move(client)),
      onResponse_(std::move(onResponse)),
      stallTimer_(engine.io().get_executor()) {}

void RequestAttempt::onConnectedTooLate(std::shared_ptr<net::Connection> connection) {
    pool_.release(std::move(connection));
}

void RequestAttempt::onConnected(std::shared_ptr<net::Connection> connection) {
    connection_ = std::move(connection);
    engine_.trace("request {} attempt {} connected", params_.id, params_.attempt.value());
    const auto host = fmt::format("{}:{}", params_.node.host, params_.node.port);
    const auto remainingUs = params_.timeoutAt - engine_.now();
    auto head = serializeNodeRequestHead(*message_, host, remainingUs, streamed_ ? &*streamed_ : nullptr);
    requestWriter_.emplace(std::move(head), message_, streamed_, client_);
    reader_.emplace(connection_->in, kMaxBody);
    write();
    // The response to a buffered request is read once the request is sent; a streamed request may get its
    // response earlier.
    if (streamed_ && !ended_) read();
}

void RequestAttempt::write() {
    if (ended_ || writing_ || requestSent_) return;
    auto& out = connection_->out;
    const auto progress = requestWriter_->fill(out);
    if (ended_) return;
    if (progress == NodeRequestWriter::Progress::AwaitingBody) awaitBody();
    if (out.size() == 0) {
        if (progress == NodeRequestWriter::Progress::Complete) onRequestSent();
        return;  // AwaitingBody: write() is called again when more of the body arrives
    }
    if (engine_.now() > params_.lastByteBy) return fail();  // the rest would miss the idempotency window
    writing_ = true;
    connection_->socket.async_write_some(
        out.data(),
        [self = net::sharedFrom(this)](const boost::system::error_code& error, std::size_t count) {
            self->writing_ = false;
            if (self->ended_) return;
            self->connection_->out.consume(count);
            self->connection_->out.releaseIfEmpty();
            if (error)
                self->fail();
            else
                self->write();
        });
}

void RequestAttempt::awaitBody() {
    const auto client = client_.lock();
    if (!client) return;
    client->awaitBody([weak = net::weakFrom(this)] {
        if (const auto attempt = weak.lock()) attempt->write();
    });
}

void RequestAttempt::onRequestSent() {
    requestSent_ = true;
    engine_.attemptRequestSent(params_.id, params_.attempt);
    read();
}

void RequestAttempt::read() {
    if (ended_) return;
    socketReader_.read(connection_->socket, connection_->in,
                       [self = net::sharedFrom(this)](const boost::system::error_code& error,
                                                      std::size_t /*count*/) { self->onRead(error); });
}

void RequestAttempt::onRead(const boost::system::error_code& error) {
    stallTimer_.cancel();
    if (error && error != boost::asio::error::eof) return fail();
    processReceived();
}

void RequestAttempt::processReceived() {
    boost::system::error_code error;
    if (!headReceived_ && reader_->readHead(connection_->in, error)) {
        processHead();
        if (ended_ || streaming_) return;
    }
    if (headReceived_ && !streaming_) readBufferedBody(error);
    if (ended_) return;
    if (!streaming_) return processBufferedBody(error);
    if (const auto client = client_.lock()) client->resumeStreaming();
}

// Streams the response if its announced length exceeds the limit; otherwise reserves memory to buffer it.
void RequestAttempt::processHead() {
    headReceived_ = true;
    const auto length = reader_->parser().content_length();
    if (isStatusOk() && requestSent_ && length && *length > kMaxBufferedBody) return startStreaming();
    responseBody_.setReservation(
        net::reserveBody(reader_->parser(), engine_.bodyBudget(), kBufferedBodyMemory));
    if (!responseBody_.hasReservation()) fail();
}

void RequestAttempt::readBufferedBody(boost::system::error_code& error) {
    responseBody_.readFrom(*reader_, connection_->in, error);
    if (!responseBody_.exceedsLimit()) return;
    if (isStatusOk() && requestSent_) return startStreaming();
    error = boost::beast::http::error::body_limit;
}

void RequestAttempt::processBufferedBody(boost::system::error_code error) {
    if (!error && hasNodeClosed()) reader_->onEndOfStream(error);
    if (!error && reader_->isComplete()) return finish();
    if (error || hasNodeClosed() || connection_->in.freeSpace() == 0) return fail();
    reportHead();
    if (ended_) return;
    if (reader_->hasParsedAny()) startStallTimer(stallTimeout());
    read();
}

// Reports once to the engine that the node has processed the request: the time that the body takes to arrive
// is not part of its response time.
void RequestAttempt::reportHead() {
    if (headReported_ || !headReceived_ || !requestSent_ || !isStatusOk()) return;
    headReported_ = true;
    engine_.responseHeadReceived(params_.id, params_.attempt);
}

std::chrono::microseconds RequestAttempt::stallTimeout() const {
    const std::chrono::microseconds longest = net::HttpExchange::kStallTimeout;
    const auto objective = engine_.settings().shortestLatencyObjective();
    if (objective <= 0) return longest;
    return std::min(longest, net::toDuration(Micros(kStallTimeoutShareOfObjective * double(objective))));
}

void RequestAttempt::startStallTimer(std::chrono::microseconds timeout) {
    stallTimer_.start(timeout, connection_->socket, [self = net::sharedFrom(this)] { self->fail(); });
}

// Starts to forward the response to the client. From then on no other attempt can replace it.
void RequestAttempt::startStreaming() {
    const auto client = client_.lock();
    if (!client) return fail();
    if (!client->mayStream()) return refuseToStream();
    streaming_ = true;
    const auto& parser = reader_->parser();
    ClientStream::StreamedHead head;
    head.contentType = std::string(parser.get()[boost::beast::http::field::content_type]);
    if (const auto length = parser.content_length()) head.contentLength = *length;
    engine_.responseForwardingStarted(params_.id, params_.attempt, true);
    if (ended_) return;
    client->startStreaming(head, [weak = net::weakFrom(this)](char* to, std::size_t capacity) -> std::size_t {
        const auto attempt = weak.lock();
        return attempt ? attempt->consumeResponse(to, capacity) : 0;
    });
}

std::size_t RequestAttempt::consumeResponse(char* to, std::size_t capacity) {
    if (ended_) return 0;
    if (!responseBody_.empty()) return responseBody_.consume(to, capacity);
    boost::system::error_code error;
    const auto count = reader_->readBody(connection_->in, to, capacity, error);
    continueStreaming(count, error);
    return count;
}

void RequestAttempt::continueStreaming(std::size_t consumed, boost::system::error_code error) {
    const bool isBufferEmpty = connection_->in.size() == 0;
    if (!error && hasNodeClosed() && isBufferEmpty) reader_->onEndOfStream(error);
    if (error) return fail();
    if (reader_->isComplete()) return finish();
    const bool isTruncated = hasNodeClosed() && consumed == 0;
    const bool isChunkHeaderTooLong = connection_->in.freeSpace() == 0 && consumed == 0;
    if (isTruncated || isChunkHeaderTooLong) return fail();
    // Reads only when the buffer is empty or needs more bytes to parse on: a read that is still pending when
    // the response is complete would keep the connection from being reused.
    if (consumed == 0) startStallTimer(kStreamStallTimeout);
    if (consumed == 0 || isBufferEmpty) read();
}

void RequestAttempt::finish() {
    const auto& head = reader_->parser().get();
    core::AttemptFinished result = interpretNodeResponse(head, engine_.settings());
    // A response of 200 before the request was sent completely does not mean that the request was served.
    // Other statuses are taken as they are.
    if (!requestSent_ && result.outcome == Outcome::Ok) result.outcome = Outcome::Reset;
    result.requestSpent = result.requestSpent || requestWriter_->hasConsumedBody();
    if (result.outcome == Outcome::Ok && !streaming_) {
        ResponseMessage response{ResponseHead(head)};
        response.body() = responseBody_.releaseBytes();
        onResponse_(params_.attempt, std::move(response), responseBody_.releaseReservation());
    }
    if (isConnectionReusable()) pool_.release(std::exchange(connection_, nullptr));
    finishAttempt(std::move(result));
}

bool RequestAttempt::isConnectionReusable() const {
    const bool isIdle = !hasNodeClosed() && !socketReader_.isReading() && connection_->in.size() == 0;
    return requestSent_ && isIdle && reader_->keepAlive();
}

// Ends the attempt after a connection error, a timeout, or a response that cannot be read or buffered.
void RequestAttempt::fail() {
    core::AttemptFinished result;
    result.outcome = requestSent_ ? Outcome::Reset : Outcome::ConnectFailed;
    result.requestSpent = requestWriter_->hasConsumedBody();
    finishAttempt(std::move(result));
}

// Ends the attempt, whose response is too long to be sent before this process ends. No other attempt could do
// better, so the request counts as spent.
void RequestAttempt::refuseToStream() {
    core::AttemptFinished result;
    result.outcome = Outcome::Error;
    result.requestSpent = true;
    finishAttempt(std::move(result));
}

void RequestAttempt::closeConnection() {
    stallTimer_.stop();
    socketReader_.stop();
    if (requestWriter_) requestWriter_->stop();
    if (connection_) connection_->close();  // the pending handlers keep its buffers alive
}

bool RequestAttempt::hasUndeliveredBytes() const {
    return connection_ && connection_->unacknowledgedBytes() > 0;
}

}  // namespace wingproxy::http
