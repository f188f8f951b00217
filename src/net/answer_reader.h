/// \file
/// Reads one HTTP/1.x response of a node, for attempts, health checks and discovery: interim responses are
/// skipped, and the rules of how a response may end stand here once.
#pragma once

#include <optional>
#include <string>

#include "net/http_step.h"

namespace wingproxy::net {

/// An incremental response reader over a connection's ring buffer, which it does not own.
class AnswerReader {
public:
    using Parser = MessageReader<false>::Parser;

    /// \param maxBodyBytes a longer body is an error
    AnswerReader(const RingBuffer& in, std::size_t maxBodyBytes) : maxBodyBytes_(maxBodyBytes) {
        startResponse(in);
    }

    /// Goes on with the head and skips interim ones (1xx but for 101, which ends HTTP on the connection).
    /// \return true once the final one is complete
    bool head(RingBuffer& in, boost::system::error_code& error) {
        while (reader_->head(in, error)) {
            if (!isInterim() || interimCount_ >= kMaxInterimResponses) return true;
            ++interimCount_;
            startResponse(in);
        }
        return false;
    }

    /// See `MessageReader::body`.
    std::size_t body(RingBuffer& in, char* to, std::size_t count, boost::system::error_code& error) {
        return reader_->body(in, to, count, error);
    }

    /// See `MessageReader::append`.
    void append(RingBuffer& in, std::string& to, std::size_t maxBytes, boost::system::error_code& error) {
        reader_->append(in, to, maxBytes, error);
    }

    /// The node closed its side in order. In every version of HTTP that completes a body which has neither a
    /// length nor chunks, and truncates any other that is incomplete. Not to be called after a reset, which
    /// completes nothing.
    /// \param error set if the response is truncated
    void closed(boost::system::error_code& error) {
        if (!done() && gotSome()) reader_->ended(error);
    }

    /// Whether the response is complete.
    bool done() const { return reader_->done(); }
    /// Whether any byte of the current response, interim or final, has been read.
    bool gotSome() const { return reader_->gotSome(); }
    /// Whether the response allows another exchange on its connection.
    bool keepAlive() const {
        return done() && !reader_->parser().need_eof() && reader_->parser().keep_alive();
    }
    /// Gives access to the head.
    const Parser& parser() const { return reader_->parser(); }
    Parser& parser() { return reader_->parser(); }

private:
    // No node has so many to send; more are read as the final response, so that endless ones end the
    // exchange.
    static constexpr int kMaxInterimResponses = 8;
    static constexpr unsigned kSwitchingProtocols = 101;

    bool isInterim() const {
        const auto status = reader_->parser().get().result_int();
        return status / 100 == 1 && status != kSwitchingProtocols;
    }
    void startResponse(const RingBuffer& in) { reader_.emplace(in, maxBodyBytes_); }

    std::size_t maxBodyBytes_;
    int interimCount_ = 0;
    std::optional<MessageReader<false>> reader_;
};

}  // namespace wingproxy::net
