#include "rsync/client_session.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "net/shared_from.h"
#include "rsync/pending_transfer.h"
#include "rsync/protocol.h"
#include "rsync/transfer_attempt.h"

namespace wingproxy::rsync {
namespace {

/// From accepting the connection to the end of the arguments. Allows for a few lines each way over
/// a slow network.
constexpr std::chrono::seconds kHandshakeTimeout{15};
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

ClientSession::ClientSession(FrontContext& context, net::SessionManager& sessionManager,
                             boost::asio::ip::tcp::socket socket)
    : Session(sessionManager, std::move(socket)),
      context_(context),
      handshakeTimer_(sessionManager.io()),
      handshake_(context.config) {}

void ClientSession::start() {
    startHandshakeTimer();
    send(greeting());
    read();
}

void ClientSession::startHandshakeTimer() {
    handshakeTimer_.expires_after(kHandshakeTimeout);
    handshakeTimer_.async_wait([weak = net::weakFrom(this)](const boost::system::error_code& error) {
        const auto session = weak.lock();
        if (error || !session || session->stage_ != Stage::Handshake) return;
        session->apply(session->handshake_.reject({HandshakeErrorCode::Timeout, {}}));
    });
}

void ClientSession::onReceived() {
    if (stage_ == Stage::Handshake)
        handleHandshakeLines();
    else if (onReceived_)
        onReceived_();
}

void ClientSession::handleHandshakeLines() {
    std::string line;
    while (stage_ == Stage::Handshake && in_.readLine(line))
        apply(handshake_.onLine(line));
    if (stage_ == Stage::Handshake && in_.freeSpace() == 0)
        apply(handshake_.reject({HandshakeErrorCode::LineTooLong, {}}));
}

void ClientSession::apply(const ClientHandshake::Reply& reply) {
    if (!reply.text.empty()) send(reply.text);
    switch (reply.step) {
        case ClientHandshake::Step::ReadNextLine:
            break;
        case ClientHandshake::Step::StartTransfer:
            startTransfer();
            break;
        case ClientHandshake::Step::CloseAfterList:
            ++context_.counters.listings;
            closeAfterSending();
            break;
        case ClientHandshake::Step::CloseAfterError:
            ++context_.counters.malformed;
            closeAfterSending();
            break;
    }
}

void ClientSession::startTransfer() {
    auto transfer = handshake_.takeRequest();
    auto request = buildRequest(transfer);
    stage_ = Stage::Transfer;
    handshakeTimer_.cancel();
    ++context_.counters.transfers;
    auto pending = std::make_shared<PendingTransfer>(context_, net::sharedFrom(this), std::move(transfer));
    requestId_ = context_.engine.submit(std::move(request), std::move(pending));
}

Request ClientSession::buildRequest(const TransferRequest& transfer) const {
    const auto& module = handshake_.module();
    Request request;
    request.classIndex = classIndex(module, transfer.options.direction);
    request.planIndex = module.plan;
    request.key = module.volume + "/" + transfer.arguments.back();
    request.volume = module.volume;
    request.deadlineUs =
        std::min<Micros>(context_.engine.now() + module.deadlineUs, context_.responseDeadline);
    request.units = module.units;
    request.cell = module.cell;
    request.volumeHosts = module.hosts;
    return request;
}

void ClientSession::startForwarding(std::function<void()> onReceived) {
    forwardingStarted_ = true;
    onReceived_ = std::move(onReceived);
}

void ClientSession::attemptStarted(std::weak_ptr<TransferAttempt> attempt) { attempt_ = std::move(attempt); }

void ClientSession::onCompleted() {
    ++context_.counters.completed;
    closeAfterSending();
}

void ClientSession::onRejected(Micros retryAfterUs) {
    ++context_.counters.rejected;
    const double seconds = static_cast<double>(retryAfterUs) / kMicrosPerSecond;
    closeWithError(fmt::format("busy, come back in {:.3f} s", seconds));
}

void ClientSession::onFailed() {
    ++context_.counters.failed;
    if (forwardingStarted_)
        close();
    else
        closeWithError("the transfer failed");
}

void ClientSession::onDisconnected() {
    if (stage_ != Stage::Transfer) return;
    stage_ = Stage::Closing;
    const auto attempt = attempt_.lock();
    // After the last byte of the stream, a client may close without a goodbye: the transfer is complete.
    if (attempt && attempt->isDelivered()) return attempt->clientDisconnected();
    ++context_.counters.disconnected;
    context_.engine.clientDisconnected(
        requestId_);  // before the attempt ends, so that the engine does not retry it
    if (attempt) attempt->clientDisconnected();
}

void ClientSession::onOutputSent() {
    if (stage_ == Stage::Closing) startLingeringClose();
}

void ClientSession::closeWithError(const std::string& message) {
    send(errorStream(errorLine(message)));
    closeAfterSending();
}

void ClientSession::closeAfterSending() {
    stage_ = Stage::Closing;
    onReceived_ = nullptr;
    handshakeTimer_.cancel();
    send("");  // so that onOutputSent() is called even if no output is pending
}

}  // namespace wingproxy::rsync
