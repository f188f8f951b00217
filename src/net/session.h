/// \file
/// A client connection: reading, writing and the ways to close it. Owns the socket, both ring buffers and
/// the pending output; a derived class implements the protocol.
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

/// Base class of a protocol's sessions. Its manager's list owns it until it is closed; a pending handler
/// keeps it alive until the handler has run. Single-threaded.
class Session : public std::enable_shared_from_this<Session> {
public:
    /// \param socket connected, and non-blocking
    Session(SessionManager& sessionManager, boost::asio::ip::tcp::socket socket);
    virtual ~Session() = default;

    /// Called once, after the manager has added the session to its list.
    virtual void start() { read(); }
    /// Whether no response is outstanding, so that the connection may be closed.
    virtual bool isIdle() const = 0;
    /// Of the sessions that may be evicted, the one with the lowest priority goes first, and of equals the
    /// one that has been inactive the longest.
    virtual int evictionPriority() const { return 0; }
    /// Whether the session holds memory of a request whose client makes no progress.
    virtual bool canYieldMemory() const { return false; }
    /// Gives up such a request in favour of another one.
    virtual void yieldMemory() { evict(); }
    /// Called by the manager every 50 ms: closes a session that has exceeded one of its time limits.
    virtual void enforceTimeouts() {}
    /// Closes at once. Unread bytes are read and dropped first, as they would turn the close into a reset.
    void close();
    /// Called at shutdown, when no response is outstanding: closes without a reset. Bytes that still arrive
    /// are not served.
    virtual void closeGracefully() { startLingeringClose(); }
    /// Closes in favour of a new client, when no response is outstanding.
    virtual void evict() { close(); }

    /// Whether the connection is only kept open for the client to read the last response.
    bool isLingering() const { return lingeringClose_.isActive(); }
    /// Whether this may be closed in favour of a new client.
    bool isEvictable() const;
    /// Calls closeGracefully() if no response is outstanding and no byte is unread.
    void closeGracefullyIfIdle();
    /// Detects that the client has closed or reset its connection while bytes that it sent before are unread.
    /// \return true if so; the session is then closed
    bool closeIfClientDisconnected();

protected:
    /// Produces output; see `PendingOutput`.
    using Source = PendingOutput::Source;

    /// Whether bytes that arrive now are read only to be dropped.
    virtual bool dropsInput() const { return false; }
    /// Called when in_ has received more bytes.
    virtual void onReceived() = 0;
    /// Called when the client has closed the connection or it broke. The session is closed afterwards.
    virtual void onDisconnected() {}
    /// Called when all output is written: what send() was given, and all that the source produced.
    virtual void onOutputSent() {}
    /// Called when some of the output has been written to the socket.
    virtual void onWriteProgress() {}

    /// Starts to read, which continues by itself while in_ has space.
    void read();
    /// Appends text to the output.
    void send(std::string_view text);
    /// Adds output of unknown length after the text that send() was given: `source` is called whenever the
    /// ring has free space. If it has no output yet, resumeOutput() has it called again; clearOutputSource()
    /// removes it.
    void setOutputSource(Source source);
    /// The source has more output: calls it again and continues writing.
    void resumeOutput() { write(); }
    /// Removes the source, whose last output is in the ring. May be called from within the source.
    void clearOutputSource();
    /// Nothing more is to be sent: shuts the sending side down, and closes once the client has closed, has
    /// sent nothing for a while, or `limit` has passed; see `LingeringClose`.
    void startLingeringClose(std::chrono::milliseconds limit = std::chrono::milliseconds(2'000));
    /// Marks the session as active now: it becomes the last to be evicted among those of the same priority.
    void markActive() { sessionManager_.onSessionActive(*this); }
    /// Whether the client has closed or reset its connection, even if bytes that it sent before are unread.
    [[nodiscard]] bool hasClientClosed();
    /// Whether this process has not closed the socket yet.
    bool isOpen() const { return open_; }
    /// Closes with a reset, so that the client sees that its response is truncated.
    void reset();
    /// The number of bytes that the system has received and that were not read yet.
    std::size_t unreadBytes() const;

    SessionManager& sessionManager_;
    boost::asio::ip::tcp::socket socket_;
    RingBuffer in_;
    RingBuffer out_;
    bool readDrainedSocket_ = false;  ///< the last read took all bytes that had arrived
    std::uint64_t bytesRead_ = 0;     ///< bytes read from the socket so far

private:
    void onRead(const boost::system::error_code& error);
    void write();
    void onWritten(const boost::system::error_code& error, std::size_t count);
    void onConnectionError();
    void restartLingerTimer();
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
