/// \file
/// What attempts of all protocols have in common: a connection of the pool that is up in time, one result,
/// and cancellation. Owns the pending acquisition; the connection is the derived class's.
#pragma once

#include "net/engine.h"
#include "net/node_pool.h"

namespace wingproxy::net {

/// Base of the attempts of a protocol. Engine and pool must outlive it.
class NodeAttempt : public Attempt, public std::enable_shared_from_this<NodeAttempt> {
public:
    /// \param params where to connect, and until when bytes may be sent
    NodeAttempt(Engine& engine, NodePool& pool, const AttemptParams& params)
        : engine_(engine), pool_(pool), params_(params) {}

    /// Acquires a connection; one that is not up by `AttemptParams::firstByteBy` ends the attempt as
    /// `Outcome::ConnectFailed`.
    void start();
    void cancel() override;

protected:
    /// The connection is up in time: bytes may be sent.
    virtual void onConnected(std::shared_ptr<Connection> connection) = 0;
    /// The connection is up too late, and no byte may be sent. It is closed unless this keeps it.
    virtual void onConnectedTooLate(std::shared_ptr<Connection> connection) { connection.reset(); }
    /// Closes what is open. Called once, at the end.
    virtual void closeConnection() = 0;
    /// Ends the attempt and reports its result to the engine, unless it has ended before. The ids are filled
    /// in here.
    void finishAttempt(core::AttemptFinished result);

    Engine& engine_;
    NodePool& pool_;
    AttemptParams params_;
    bool ended_ = false;  ///< ended or cancelled

private:
    void onAcquired(std::shared_ptr<Connection> connection);

    std::shared_ptr<NodePool::Acquisition> acquisition_;
};

}  // namespace wingproxy::net
