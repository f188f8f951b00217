// One attempt at a transfer: the daemon's greeting, module and arguments at the node, then the relay of both
// directions. Nothing is resent here.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/node_attempt.h"
#include "rsync/codec.h"

namespace wingproxy::rsync {

// The client's end of a transfer, as an attempt sees it.
class Client {
public:
    virtual ~Client() = default;
    virtual boost::asio::ip::tcp::socket& socket() = 0;
    virtual net::RingBuffer& held() = 0;                   // what the client has sent and no node has taken
    virtual void readOn() = 0;                             // there is room again
    virtual void relayTo(std::function<void()> more) = 0;  // called whenever there is something to take
};

struct Order {
    std::string module, remoteModule;
    std::vector<std::string> arguments;
    Options options;
};

class NodeAttempt : public net::NodeAttempt {
public:
    NodeAttempt(net::Engine& engine, net::NodePool& pool, const net::AttemptParams& order,
                std::shared_ptr<const Order> transfer, std::weak_ptr<Client> client);
    bool delivered() const;  // the node's whole stream is with the client
    void clientLeft();       // the node need not go on for nobody

private:
    enum class Stage { Greeting, Module, Arguments, Stream };
    void connected(std::shared_ptr<net::Connection> connection) override;
    void drop() override;
    std::shared_ptr<NodeAttempt> self();
    void say(const std::string& text);
    void write();
    void read();
    void lines();
    void stream(std::size_t newest);
    void toClient();
    void toNode();
    void finishIfWhole();
    void end(Outcome outcome);

    std::shared_ptr<const Order> transfer_;
    std::weak_ptr<Client> client_;
    std::shared_ptr<net::Connection> connection_;
    Stage stage_ = Stage::Greeting;
    SenderStream sender_;
    GeneratorStream generator_;
    Follower &fromNode_, &fromClient_;  // the one and the other, by direction
    MuxStream frames_;                  // around the node's
    std::string unsaid_;
    bool asked_ = false;  // the arguments' last byte was written: it may run
    bool saying_ = false, reading_ = false, writingClient_ = false, writingNode_ = false, nodeEnded_ = false;
};

}  // namespace wingproxy::rsync
