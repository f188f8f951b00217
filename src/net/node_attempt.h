// What attempts have in common on every wire: a connection of the pool in time, one end, and being abandoned.
#pragma once

#include "net/engine.h"
#include "net/node_pool.h"

namespace wingproxy::net {

class NodeAttempt : public Attempt, public std::enable_shared_from_this<NodeAttempt> {
public:
    NodeAttempt(Engine& engine, NodePool& pool, const AttemptParams& order)
        : engine_(engine), pool_(pool), order_(order) {}
    void start();
    void abandon() override;

protected:
    virtual void connected(std::shared_ptr<Connection> connection) = 0;  // in time: bytes may go out
    virtual void late(std::shared_ptr<Connection>) {}                    // up, but no byte may go out
    virtual void drop() = 0;                                             // closes what is open
    void end(core::AttemptFinished how);                                 // tells the engine, once

    Engine& engine_;
    NodePool& pool_;
    AttemptParams order_;
    bool over_ = false;

private:
    std::shared_ptr<NodePool::Ticket> ticket_;
};

}  // namespace wingproxy::net
