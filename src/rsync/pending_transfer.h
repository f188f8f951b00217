/// \file
/// A transfer that was submitted to the engine: starts its attempts and reports its outcome to the client's
/// session.
#pragma once

#include <memory>

#include "net/engine.h"
#include "rsync/front_context.h"
#include "rsync/transfer_request.h"

namespace wingproxy::rsync {

class ClientSession;

/// Owned by the engine until the outcome is known. Does not keep the session alive, as the client may
/// disconnect first.
class PendingTransfer : public net::RequestHandler {
public:
    /// \param context must outlive this object
    PendingTransfer(FrontContext& context, std::weak_ptr<ClientSession> session, TransferRequest request);

    std::shared_ptr<net::Attempt> startAttempt(const net::AttemptParams& params) override;
    void deliverResponse(AttemptIndex attempt) override;
    void sendRejection(Micros retryAfterUs) override;
    void sendFailure() override;

private:
    FrontContext& context_;
    std::weak_ptr<ClientSession> session_;
    std::shared_ptr<const TransferRequest> request_;
};

}  // namespace wingproxy::rsync
