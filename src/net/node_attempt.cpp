#include "net/node_attempt.h"

namespace wingproxy::net {

void NodeAttempt::start() {
    acquisition_ =
        pool_.acquire(params_.node, [self = shared_from_this()](std::shared_ptr<Connection> connection) {
            self->onAcquired(std::move(connection));
        });
}

void NodeAttempt::onAcquired(std::shared_ptr<Connection> connection) {
    if (ended_) return;
    acquisition_ = nullptr;
    // After firstByteBy the node may have started to drain: no byte may be sent.
    if (connection && engine_.now() <= params_.firstByteBy) return onConnected(std::move(connection));
    if (connection) onConnectedTooLate(std::move(connection));
    core::AttemptFinished failed;
    failed.outcome = Outcome::ConnectFailed;
    finishAttempt(std::move(failed));
}

void NodeAttempt::cancel() {
    ended_ = true;
    acquisition_ = nullptr;
    closeConnection();
}

void NodeAttempt::finishAttempt(core::AttemptFinished result) {
    if (ended_) return;
    cancel();
    result.id = params_.id;
    result.attempt = params_.attempt;
    engine_.attemptFinished(std::move(result));
}

}  // namespace wingproxy::net
