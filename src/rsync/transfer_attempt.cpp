#include "rsync/transfer_attempt.h"

#include <boost/asio/write.hpp>
#include <string_view>
#include <utility>

#include "net/shared_from.h"
#include "rsync/protocol.h"

namespace wingproxy::rsync {
namespace {

bool isPull(const TransferRequest& request) { return request.options.direction == Direction::Pull; }

}  // namespace

// In a pull, the node as sender sends totals, and the client as generator sends filter rules. In a push, the
// streams have neither.
TransferAttempt::TransferAttempt(net::Engine& engine, net::NodePool& pool, const net::AttemptParams& params,
                                 std::shared_ptr<const TransferRequest> request,
                                 std::weak_ptr<ClientStream> client)
    : net::NodeAttempt(engine, pool, params),
      request_(std::move(request)),
      client_(std::move(client)),
      senderParser_(request_->options, isPull(*request_) ? SenderStreamParser::Totals::Sent
                                                         : SenderStreamParser::Totals::NotSent),
      generatorParser_(isPull(*request_) ? GeneratorStreamParser::FilterRules::Sent
                                         : GeneratorStreamParser::FilterRules::NotSent),
      nodeParser_(isPull(*request_) ? static_cast<StreamParser&>(senderParser_) : generatorParser_),
      clientParser_(isPull(*request_) ? static_cast<StreamParser&>(generatorParser_) : senderParser_),
      nodeFrameParser_(nodeParser_) {}

void TransferAttempt::onConnected(std::shared_ptr<net::Connection> connection) {
    connection_ = std::move(connection);
    sendToNode(greeting() + request_->nodeModule + "\n");
    readFromNode();
}

// ---------------------------------------------------------------- handshake output

void TransferAttempt::sendToNode(const std::string& text) {
    handshakeOutput_.append(text);
    if (!writingHandshake_) writeHandshake();
}

void TransferAttempt::writeHandshake() {
    auto& out = connection_->out;
    handshakeOutput_.fill(out);
    writingHandshake_ = out.size() > 0;
    if (!writingHandshake_) return onHandshakeWritten();
    if (engine_.now() > params_.lastByteBy) return finish(Outcome::ConnectFailed);
    connection_->socket.async_write_some(
        out.data(), [self = net::sharedFrom(this)](const boost::system::error_code& error, std::size_t size) {
            if (self->ended_) return;
            self->connection_->out.consume(size);
            if (error)
                self->finish(Outcome::ConnectFailed);  // the request was not sent completely, so the node did
                                                       // not execute it
            else
                self->writeHandshake();
        });
}

void TransferAttempt::onHandshakeWritten() {
    if (!requestSent_ && stage_ != Stage::Handshake) {
        requestSent_ = true;
        engine_.attemptRequestSent(params_.id, params_.attempt);
    }
    if (stage_ == Stage::Forwarding) forwardToNode();
}

// ---------------------------------------------------------------- input from the node

void TransferAttempt::readFromNode() {
    nodeReader_.read(connection_->socket, connection_->in,
                     [self = net::sharedFrom(this)](const boost::system::error_code& /*error*/,
                                                    std::size_t size) { self->onNodeRead(size); });
}

void TransferAttempt::onNodeRead(std::size_t size) {
    if (stage_ == Stage::Forwarding)
        parseNodeStream(size);
    else
        handleHandshakeLines();
    if (ended_) return;
    if (nodeReader_.hasEnded())
        finishIfComplete();
    else
        readFromNode();
}

void TransferAttempt::handleHandshakeLines() {
    std::string line;
    while (stage_ == Stage::Handshake && connection_->in.readLine(line)) {
        switch (handshake_.onLine(line)) {
            case NodeHandshake::Step::ReadNextLine:
                break;
            case NodeHandshake::Step::SendArguments:
                stage_ = Stage::Arguments;
                sendToNode(encodeNodeArguments(*request_));
                break;
            case NodeHandshake::Step::Reject:
                return finish(Outcome::Rejected);
        }
    }
    if (stage_ == Stage::Arguments) return startForwardingIfStreamBegan();
    const bool lineTooLong = connection_->in.freeSpace() == 0;
    if (lineTooLong) finish(Outcome::Rejected);
}

void TransferAttempt::startForwardingIfStreamBegan() {
    if (connection_->in.size() == 0) return;
    const auto client = client_.lock();
    if (!client) return finish(Outcome::Cancelled);
    stage_ = Stage::Forwarding;
    engine_.responseForwardingStarted(params_.id, params_.attempt);
    client->startForwarding([weak = net::weakFrom(this)] {
        if (const auto attempt = weak.lock()) attempt->forwardToNode();
    });
    parseNodeStream(connection_->in.size());
    if (!ended_) forwardToNode();
}

void TransferAttempt::parseNodeStream(std::size_t newBytes) {
    for (const auto& part : connection_->in.newest(newBytes)) {
        if (nodeFrameParser_.feed(part) != StreamStatus::Broken) continue;
        engine_.logger().warn("rsync: protocol error in a node's stream: {}",
                              describe(nodeFrameParser_.error()));
        return finish(Outcome::Reset);
    }
    forwardToClient();
}

// ---------------------------------------------------------------- forwarding

void TransferAttempt::forwardToClient() {
    const auto client = client_.lock();
    if (!client) return finish(Outcome::Cancelled);
    if (writingClient_ || connection_->in.size() == 0) return finishIfComplete();
    writingClient_ = true;
    client->socket().async_write_some(
        connection_->in.data(),
        [self = net::sharedFrom(this), client](const boost::system::error_code& error, std::size_t size) {
            self->writingClient_ = false;
            if (self->ended_) return;
            self->connection_->in.consume(size);
            if (error) return;  // the session's read reports the disconnection
            self->readFromNode();
            self->forwardToClient();
        });
}

void TransferAttempt::forwardToNode() {
    const auto client = client_.lock();
    // The arguments must be written before the client's stream.
    if (ended_ || writingNode_ || writingHandshake_ || !client) return;
    const auto& received = client->receiveBuffer();
    if (received.size() == 0) return finishIfComplete();
    const auto chunk = received.data().front();
    const std::string_view bytes(static_cast<const char*>(chunk.data()), chunk.size());
    if (clientParser_.feed(bytes) == StreamStatus::Broken) {
        engine_.logger().debug("rsync: protocol error in a client's stream: {}",
                               describe(clientParser_.error()));
        return finish(Outcome::Reset);
    }
    writingNode_ = true;
    boost::asio::async_write(
        connection_->socket, boost::asio::buffer(chunk),
        [self = net::sharedFrom(this), client](const boost::system::error_code& error, std::size_t size) {
            self->writingNode_ = false;
            if (self->ended_) return;
            if (error) return self->finish(Outcome::Reset);
            client->receiveBuffer().consume(size);
            client->resumeReading();
            self->forwardToNode();
        });
}

// ---------------------------------------------------------------- completion

bool TransferAttempt::allForwardedToClient() const { return !writingClient_ && connection_->in.size() == 0; }

bool TransferAttempt::isDelivered() const {
    return !ended_ && stage_ == Stage::Forwarding && nodeParser_.status() == StreamStatus::Complete &&
           allForwardedToClient();
}

void TransferAttempt::finishIfComplete() {
    if (ended_) return;
    if (isDelivered()) return finishDelivered();
    if (!nodeReader_.hasEnded()) return;
    if (stage_ != Stage::Forwarding)
        finish(requestSent_ ? Outcome::Reset : Outcome::ConnectFailed);
    else if (allForwardedToClient())
        finish(Outcome::Reset);
}

// In a pull, the client's goodbye is still forwarded to the node, unless the node has already closed.
void TransferAttempt::finishDelivered() {
    if (clientParser_.status() == StreamStatus::Complete && !writingNode_)
        finish(Outcome::Ok);
    else if (nodeReader_.hasEnded())
        finish(isPull(*request_) ? Outcome::Ok : Outcome::Reset);
}

void TransferAttempt::clientDisconnected() { finish(isDelivered() ? Outcome::Ok : Outcome::Cancelled); }

void TransferAttempt::finish(Outcome outcome) {
    core::AttemptFinished result;
    result.outcome = outcome;
    succeeded_ = outcome == Outcome::Ok;
    finishAttempt(std::move(result));
}

bool TransferAttempt::hasUndeliveredBytes() const {
    return connection_ && stage_ != Stage::Forwarding && connection_->unacknowledgedBytes() > 0;
}

void TransferAttempt::closeConnection() {
    nodeReader_.stop();
    if (!connection_) return;
    // The buffers stay valid until the handlers have run.
    if (succeeded_)
        connection_->closeAfterDelivery();
    else
        connection_->close();
}

}  // namespace wingproxy::rsync
