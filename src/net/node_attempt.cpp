#include "net/node_attempt.h"

namespace wingproxy::net {

void NodeAttempt::start() {
    acquisition_ =
        pool_.acquire(order_.node, [self = shared_from_this()](std::shared_ptr<Connection> connection) {
            self->onAcquired(std::move(connection));
        });
}

void NodeAttempt::onAcquired(std::shared_ptr<Connection> connection) {
    if (over_) return;
    acquisition_ = nullptr;
    // After firstByteBy the node may have started to drain: not a byte goes out.
    if (connection && engine_.now() <= order_.firstByteBy) return connected(std::move(connection));
    if (connection) late(std::move(connection));
    core::AttemptFinished failed;
    failed.outcome = Outcome::ConnectFailed;
    end(std::move(failed));
}

void NodeAttempt::abandon() {
    over_ = true;
    acquisition_ = nullptr;
    drop();
}

void NodeAttempt::end(core::AttemptFinished result) {
    if (over_) return;
    abandon();
    result.id = order_.id;
    result.attempt = order_.attempt;
    engine_.attemptFinished(std::move(result));
}

}  // namespace wingproxy::net
