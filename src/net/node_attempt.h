/// \file
/// The common part of the attempts of all protocols: acquiring a connection in time, reporting one result,
/// and cancellation. Owns the pending acquisition; the derived class owns the connection.
#pragma once

#include "net/engine.h"
#include "net/node_pool.h"

namespace wingproxy::net {

/// Base class of a protocol's attempts. Engine and pool must outlive it.
class NodeAttempt : public Attempt, public std::enable_shared_from_this<NodeAttempt> {
public:
    /// \param params the node's address, and the time limits for sending
    NodeAttempt(Engine& engine, NodePool& pool, const AttemptParams& params)
        : engine_(engine), pool_(pool), params_(params) {}

    /// Acquires a connection. If it is not established by `AttemptParams::firstByteBy`, the attempt ends as
    /// `Outcome::ConnectFailed`.
    void start();
    void cancel() override;

protected:
    /// The connection was established in time: bytes may be sent.
    virtual void onConnected(std::shared_ptr<Connection> connection) = 0;
    /// The connection was established too late, and no byte may be sent. It is closed unless an override
    /// keeps it.
    virtual void onConnectedTooLate(std::shared_ptr<Connection> connection) { connection.reset(); }
    /// Closes the connection if there is one. Called once, at the end.
    virtual void closeConnection() = 0;
    /// Ends the attempt and reports its result to the engine, unless the attempt has ended already. Fills in
    /// the ids of `result`.
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
