/// \file
/// One client's connection: reading, writing and the ways to close it. Owns the socket, both ring buffers and
/// the output that is pending; what is said on the connection is a derived class's.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/lingering_close.h"
#include "net/listener.h"
#include "net/pending_output.h"
#include "net/ring_buffer.h"
#include "net/session_manager.h"
#include "net/socket_reader.h"

namespace wingproxy::net {

/// Base of the sessions of a protocol. Owned by its manager's list until it is closed; a handler that is
/// pending keeps it alive until it has run. Single-threaded.
class Session : public std::enable_shared_from_this<Session> {
public:
    /// \param socket connected, and non-blocking
    Session(SessionManager& sessionManager, boost::asio::ip::tcp::socket socket);
    virtual ~Session() = default;

    /// Called once, when the manager has the session.
    virtual void start() { read(); }
    /// Whether no response is outstanding, so that the connection may be closed.
    virtual bool isIdle() const = 0;
    /// Of the sessions that may be evicted, the one with the lowest priority goes first, and of equals the
    /// one that has been inactive the longest.
    virtual int evictionPriority() const { return 0; }
    /// Called by the manager every 50 ms: closes a session that has waited too long.
    virtual void enforceTimeouts() {}
    /// Closes at once. Unread bytes are read and dropped first, as they would turn the close into a reset.
    void close();
    /// Called at shutdown, when no response is outstanding: closes without a reset. What still comes is not
    /// served.
    virtual void closeGracefully() { startLingeringClose(); }
    /// Closes in favour of a new client, when no response is outstanding.
    virtual void evict() { close(); }

    /// Whether the connection is only kept for the client to read the last response.
    bool isLingering() const { return lingeringClose_.isActive(); }
    /// Whether this may be closed in favour of a new client.
    bool isEvictable() const;
    /// Calls closeGracefully() if no response is outstanding and no byte is unread.
    void closeGracefullyIfIdle();
    /// Notices a client that has closed or reset its connection though nothing is read from it, as its ring
    /// buffer is full.
    /// \return true: it has, and the session is closed
    bool closeIfClientDisconnected();

protected:
    /// Produces output; see `PendingOutput`.
    using Source = PendingOutput::Source;

    /// There are more bytes in in_.
    virtual void onReceived() = 0;
    /// The client closed the connection, or it broke. The session is closed afterwards.
    virtual void onDisconnected() {}
    /// All output is written: what send() was given, and all that the source produced.
    virtual void onOutputSent() {}
    /// The client took some of the output.
    virtual void onWriteProgress() {}

    /// Starts to read, which goes on by itself while in_ has space.
    void read();
    /// Adds text to the output.
    void send(std::string_view text);
    /// Adds output of unknown length behind what send() was given: `source` is asked whenever the ring has
    /// free space. Where it has nothing yet, resumeOutput() asks it again; clearOutputSource() ends it.
    void setOutputSource(Source source);
    /// The source has more output: asks it again, and goes on writing.
    void resumeOutput() { write(); }
    /// Ends the source: its last output is in the ring. May be called from within the source.
    void clearOutputSource();
    /// Nothing more is to be sent: shuts the sending side down and closes once the client has closed, is
    /// quiet, or `limit` is over; see `LingeringClose`.
    void startLingeringClose(std::chrono::milliseconds limit = std::chrono::milliseconds(2'000));
    /// Makes this the last of its equals to be evicted.
    void markActive() { sessionManager_.onSessionActive(*this); }
    /// Whether the socket has not been closed here.
    bool isOpen() const { return open_; }
    /// Closes with a reset, so that the client sees that its response is truncated.
    void reset();
    /// Bytes received by the system and not read yet.
    std::size_t unreadBytes() const;

    SessionManager& sessionManager_;
    boost::asio::ip::tcp::socket socket_;
    RingBuffer in_;
    RingBuffer out_;
    bool readDrainedSocket_ = false;  ///< the last read took all that had come

private:
    void onRead(const boost::system::error_code& error);
    void write();
    void onWritten(const boost::system::error_code& error, std::size_t count);
    void onConnectionError();
    void restartLingerTimer();
    bool hasClientDisconnected();
    void discardUnread();

    SocketReader socketReader_;
    PendingOutput output_;
    LingeringClose lingeringClose_;
    boost::asio::steady_timer lingerTimer_;
    bool open_ = true;
    bool resetOnClose_ = false;
    bool writing_ = false;
};

}  // namespace wingproxy::net
