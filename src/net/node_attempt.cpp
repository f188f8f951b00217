#include "net/node_attempt.h"

namespace wingproxy::net {

void NodeAttempt::start() {
    ticket_ = pool_.acquire(order_.node, [self = shared_from_this()](std::shared_ptr<Connection> connection) {
        if (self->over_) return;
        self->ticket_ = nullptr;
        // Past its time the node may have been told to drain meanwhile: not a byte goes out.
        if (connection && self->engine_.now() <= self->order_.firstByteBy)
            return self->connected(std::move(connection));
        if (connection) self->late(std::move(connection));
        core::AttemptFinished failed;
        failed.outcome = Outcome::ConnectFailed;
        self->end(std::move(failed));
    });
}

void NodeAttempt::abandon() {
    over_ = true;
    ticket_ = nullptr;
    drop();
}

void NodeAttempt::end(core::AttemptFinished how) {
    if (over_) return;
    abandon();
    how.id = order_.id;
    how.attempt = order_.attempt;
    engine_.attemptFinished(std::move(how));
}

}  // namespace wingproxy::net
