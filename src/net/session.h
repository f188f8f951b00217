// A client's connection, and the session manager that holds a listener's connections within their budget.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/listener.h"
#include "net/ring_buffer.h"

namespace wingproxy::net {

class SessionManager;

// Owned by its session manager's list; handlers keep it alive until they have run. What is said on it is the
// fronts'.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(SessionManager& sessionManager, boost::asio::ip::tcp::socket socket);
    virtual ~Session() = default;
    virtual void start() { read(); }
    virtual bool idle() const = 0;  // nothing is owed to the client: it may be closed
    // Of those that may be closed to make room, the lowest first, and of equals the longest untouched.
    virtual int evictionPriority() const { return 0; }
    virtual void sweep() {}  // looked at by its session manager now and then: closes what has waited too long
    void close();  // at once; what came meanwhile is read and dropped, as unread bytes would reset it
    // At a stop, when nothing is owed: closes without a reset, and what still comes is not served.
    virtual void closeGracefully() { linger(); }
    // In a full house, when nothing is owed: leaves its place at once.
    virtual void evict() { close(); }
    // The client closed or reset its connection, though nothing is read from it now: its ring is full.
    bool detectHangUp();

protected:
    virtual void received() = 0;    // there is more in in_
    virtual void disconnected() {}  // the client closed, or its connection broke
    virtual void sent() {}          // all that send() was given is written, and what was fed after it
    virtual void progressed() {}    // the client took some of it
    void read();                    // goes on by itself while in_ has room
    void send(std::string text);
    // After what send() was given: more is asked for whenever the ring has room. Where there is none yet,
    // poke() tells of it later; endFeed() when there will be none.
    using Source = std::function<void(RingBuffer& out)>;
    void feed(Source source);
    void resumeFeed() { write(); }
    void endFeed();
    // Nothing more to say: the client closes, falls quiet, or a bound.
    void linger(std::chrono::milliseconds most = std::chrono::milliseconds(2'000));
    void markActive();  // now the last of the idle ones to be closed
    bool open() const { return open_; }
    void reset();                // closes so that the client sees a break
    std::size_t unread() const;  // bytes that wait in the system

    SessionManager& sessionManager_;
    boost::asio::ip::tcp::socket socket_;
    RingBuffer in_, out_;
    bool drained_ = false;  // the last read took all that was there

private:
    friend class SessionManager;
    void write();
    bool spare() const;  // may make room for another client
    void lingerOn();
    std::string text_;
    std::size_t put_ = 0;
    boost::asio::steady_timer linger_;
    std::chrono::steady_clock::time_point lingerSince_, lingerUntil_;
    Source source_;
    bool open_ = true, reset_ = false, reading_ = false, writing_ = false, lingering_ = false;
    std::list<std::shared_ptr<Session>>::iterator place_;
};

class SessionManager {
public:
    using Make = std::function<std::shared_ptr<Session>(SessionManager&, boost::asio::ip::tcp::socket)>;
    SessionManager(boost::asio::io_context& io, const config::Endpoint& at, std::size_t most, Make make,
                   std::size_t ring = kMostRing,
                   int inherited = -1);  // inherited: see Listener; accepts after open()
    void open() { listener_.open(); }
    void releaseListener() { listener_.release(); }
    void closeListener();        // first takes the clients that wait
    void closeIdleGracefully();  // closes gracefully what owes nothing
    void stop();
    std::size_t connections() const { return sessions_.size() - lingering_; }  // that may still ask
    std::size_t sessionCount() const { return sessions_.size(); }              // and those that only end
    std::uint64_t accepted() const { return accepted_; }
    std::uint64_t closedIdle() const { return closedIdle_; }
    std::uint64_t detectHangUp() const { return hungUp_; }  // noticed while their bytes were not read
    std::size_t capacity() const { return most_; }
    void setCapacity(std::size_t most) { most_ = most; }
    std::size_t ring() const { return ring_; }  // bytes a direction of each connection
    config::Endpoint address() const { return at_; }
    boost::asio::io_context& io() { return io_; }

private:
    friend class Session;
    bool evictOne();  // of those that give way first
    void sweep();
    boost::asio::io_context& io_;
    std::size_t most_, ring_;
    std::size_t lingering_ = 0;
    std::uint64_t accepted_ = 0, closedIdle_ = 0, hungUp_ = 0;
    std::list<std::shared_ptr<Session>> sessions_;  // the longest untouched first
    Listener listener_;
    config::Endpoint at_;
    boost::asio::steady_timer tender_;
};

}  // namespace wingproxy::net
