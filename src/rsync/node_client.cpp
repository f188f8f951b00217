#include "rsync/node_client.h"

#include <boost/asio/write.hpp>

namespace wingproxy::rsync {

NodeAttempt::NodeAttempt(net::Engine& engine, net::NodePool& pool, const net::AttemptParams& order,
                         std::shared_ptr<const Order> transfer, std::weak_ptr<Client> client)
    : net::NodeAttempt(engine, pool, order),
      transfer_(std::move(transfer)),
      client_(std::move(client)),
      sender_(transfer_->options, transfer_->options.pull),
      generator_(transfer_->options.pull),
      fromNode_(transfer_->options.pull ? static_cast<Follower&>(sender_) : generator_),
      fromClient_(transfer_->options.pull ? static_cast<Follower&>(generator_) : sender_),
      frames_(fromNode_) {}

std::shared_ptr<NodeAttempt> NodeAttempt::self() {
    return std::static_pointer_cast<NodeAttempt>(shared_from_this());
}

void NodeAttempt::connected(std::shared_ptr<net::Connection> connection) {
    connection_ = std::move(connection);
    say(greeting() + transfer_->remoteModule + "\n");
    read();
}

void NodeAttempt::say(const std::string& text) {
    unsaid_ += text;
    if (!saying_) write();
}

void NodeAttempt::write() {
    auto& out = connection_->out;
    unsaid_.erase(0, out.put(unsaid_));
    saying_ = out.size() > 0;
    if (!saying_) {
        if (!asked_ && stage_ >= Stage::Arguments) {
            asked_ = true;
            engine_.attemptRequestSent(order_.id, order_.attempt);
        }
        if (stage_ == Stage::Stream) toNode();
        return;
    }
    connection_->socket.async_write_some(
        out.data(), [self = self()](const boost::system::error_code& error, std::size_t n) {
            if (self->over_) return;
            self->connection_->out.consume(n);
            if (error)
                self->end(Outcome::ConnectFailed);  // not all of the request was written
            else
                self->write();
        });
}

void NodeAttempt::read() {
    if (reading_ || nodeEnded_ || connection_->in.space() == 0) return;
    reading_ = true;
    connection_->socket.async_read_some(
        connection_->in.room(), [self = self()](const boost::system::error_code& error, std::size_t n) {
            self->reading_ = false;
            if (self->over_) return;
            self->connection_->in.commit(n);
            if (error) self->nodeEnded_ = true;
            if (self->stage_ == Stage::Stream)
                self->stream(n);
            else
                self->lines();
            if (self->over_) return;
            if (self->nodeEnded_)
                self->finishIfWhole();
            else
                self->read();
        });
}

// The node's lines before its stream. All that comes before the arguments were written proves that nothing
// ran.
void NodeAttempt::lines() {
    std::string line;
    while (stage_ != Stage::Arguments && connection_->in.line(line)) {
        int version = 0;
        if (line.starts_with("@ERROR")) return end(Outcome::Rejected);
        if (stage_ == Stage::Greeting) {
            if (!parseGreeting(line, version) || version < kVersion) return end(Outcome::Rejected);
            stage_ = Stage::Module;
        } else if (line == "@RSYNCD: OK") {  // any other line is the message of the day
            std::string arguments;
            for (auto argument : transfer_->arguments) {
                if (argument.starts_with(transfer_->module))
                    argument.replace(0, transfer_->module.size(), transfer_->remoteModule);
                arguments += argument + "\n";
            }
            stage_ = Stage::Arguments;
            say(arguments + "\n");
        } else if (line.starts_with("@RSYNCD:")) {
            return end(Outcome::Rejected);  // it wants a password, or says goodbye
        }
    }
    if (stage_ != Stage::Arguments) {
        if (connection_->in.space() == 0) end(Outcome::Rejected);
        return;
    }
    if (connection_->in.size() == 0) return;
    const auto client = client_.lock();
    if (!client) return end(Outcome::Cancelled);
    stage_ = Stage::Stream;
    engine_.responseForwardingStarted(order_.id,
                                      order_.attempt);  // from now on answer bytes go to the client
    client->relayTo([weak = std::weak_ptr<NodeAttempt>(self())] {
        if (const auto self = weak.lock()) self->toNode();
    });
    stream(connection_->in.size());
    if (!over_) toNode();
}

// Bytes are followed before they are passed on: what does not fit the protocol never reaches the client.
void NodeAttempt::stream(std::size_t newest) {
    for (const auto& part : connection_->in.newest(newest))
        if (frames_.feed(part) == Progress::Broken) {
            engine_.logger().warn("rsync: a node's stream is broken, {}", frames_.why());
            return end(Outcome::Reset);
        }
    toClient();
}

void NodeAttempt::toClient() {
    const auto client = client_.lock();
    if (!client) return end(Outcome::Cancelled);
    if (writingClient_ || connection_->in.size() == 0) return finishIfWhole();
    writingClient_ = true;
    client->socket().async_write_some(
        connection_->in.data(),
        [self = self(), client](const boost::system::error_code& error, std::size_t n) {
            self->writingClient_ = false;
            if (self->over_) return;
            self->connection_->in.consume(n);
            if (error) return;  // the client's own read tells that it left
            self->read();
            self->toClient();
        });
}

void NodeAttempt::toNode() {
    const auto client = client_.lock();
    if (over_ || writingNode_ || saying_ || !client) return;  // the arguments go first
    auto& held = client->held();
    if (held.size() == 0) return finishIfWhole();
    const auto first = held.data()[0];
    if (fromClient_.feed({static_cast<const char*>(first.data()), first.size()}) == Progress::Broken) {
        engine_.logger().debug("rsync: a client's stream is broken, {}", fromClient_.why());
        return end(Outcome::Reset);
    }
    writingNode_ = true;
    boost::asio::async_write(connection_->socket, boost::asio::buffer(first),
                             [self = self(), client](const boost::system::error_code& error, std::size_t n) {
                                 self->writingNode_ = false;
                                 if (self->over_) return;
                                 if (error) return self->end(Outcome::Reset);
                                 client->held().consume(n);
                                 client->readOn();
                                 self->toNode();
                             });
}

// Completed: the node's stream came to its end and the client has all of it.
void NodeAttempt::finishIfWhole() {
    if (over_) return;
    if (stage_ != Stage::Stream) {
        if (nodeEnded_) end(asked_ ? Outcome::Reset : Outcome::ConnectFailed);
        return;
    }
    if (delivered()) {
        // A puller's goodbye goes on to the node, unless the node has closed already.
        if (fromClient_.progress() == Progress::Done && !writingNode_)
            end(Outcome::Ok);
        else if (nodeEnded_)
            end(transfer_->options.pull ? Outcome::Ok : Outcome::Reset);
    } else if (nodeEnded_ && !writingClient_ && connection_->in.size() == 0) {
        end(Outcome::Reset);
    }
}

bool NodeAttempt::delivered() const {
    return !over_ && stage_ == Stage::Stream && fromNode_.progress() == Progress::Done && !writingClient_ &&
           connection_->in.size() == 0;
}

// With the last byte delivered a client may leave without a goodbye.
void NodeAttempt::clientLeft() { end(delivered() ? Outcome::Ok : Outcome::Cancelled); }

void NodeAttempt::end(Outcome outcome) {
    core::AttemptFinished how;
    how.outcome = outcome;
    net::NodeAttempt::end(std::move(how));
}

void NodeAttempt::drop() {
    boost::system::error_code ignored;
    if (connection_) connection_->socket.close(ignored);  // its rings stay until the handlers have run
}

}  // namespace wingproxy::rsync
