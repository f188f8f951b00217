#include "rsync/pending_transfer.h"

#include <utility>

#include "rsync/client_session.h"
#include "rsync/transfer_attempt.h"

namespace wingproxy::rsync {

PendingTransfer::PendingTransfer(FrontContext& context, std::weak_ptr<ClientSession> session,
                                 TransferRequest request)
    : context_(context),
      session_(std::move(session)),
      request_(std::make_shared<const TransferRequest>(std::move(request))) {}

std::shared_ptr<net::Attempt> PendingTransfer::startAttempt(const net::AttemptParams& params) {
    auto daemonParams = params;
    if (context_.config.nodePort != 0) daemonParams.node.port = context_.config.nodePort;
    const auto attempt =
        std::make_shared<TransferAttempt>(context_.engine, context_.pool, daemonParams, request_, session_);
    if (const auto session = session_.lock()) session->attemptStarted(attempt);
    attempt->start();
    return attempt;
}

void PendingTransfer::deliverResponse(AttemptIndex) {
    if (const auto session = session_.lock()) session->onCompleted();
}

void PendingTransfer::sendRejection(Micros retryAfterUs) {
    if (const auto session = session_.lock()) session->onRejected(retryAfterUs);
}

void PendingTransfer::sendFailure() {
    if (const auto session = session_.lock()) session->onFailed();
}

}  // namespace wingproxy::rsync
