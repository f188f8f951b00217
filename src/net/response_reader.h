/// \file
/// Reads one HTTP/1.x response of a node, for attempts, health checks and discovery: skips interim responses
/// and implements the rules for where a response ends.
#pragma once

#include <optional>
#include <string>

#include "net/message_reader.h"

namespace wingproxy::net {

/// An incremental response reader over a connection's ring buffer, which it does not own.
class ResponseReader {
public:
    /// Beast's parser of the current response.
    using Parser = MessageReader<false>::Parser;

    /// \param maxBodyBytes a longer body is an error
    ResponseReader(const RingBuffer& in, std::size_t maxBodyBytes) : maxBodyBytes_(maxBodyBytes) {
        startResponse(in);
    }

    /// Continues reading the head and skips interim responses (1xx except 101, which ends HTTP on the
    /// connection).
    /// \return true once the head of the final response is complete
    bool readHead(RingBuffer& in, boost::system::error_code& error) {
        while (reader_->readHead(in, error)) {
            if (!isInterim() || interimCount_ >= kMaxInterimResponses) return true;
            ++interimCount_;
            startResponse(in);
        }
        return false;
    }

    /// See `MessageReader::readBody`.
    std::size_t readBody(RingBuffer& in, char* to, std::size_t count, boost::system::error_code& error) {
        return reader_->readBody(in, to, count, error);
    }

    /// See `MessageReader::appendBody`.
    void appendBody(RingBuffer& in, std::string& to, std::size_t maxBytes, boost::system::error_code& error) {
        reader_->appendBody(in, to, maxBytes, error);
    }

    /// The node closed its side of the connection without an error. In every version of HTTP that completes
    /// a body that has neither a length nor chunks, and truncates any other response that is incomplete. Not
    /// to be called after a reset, which completes no response.
    /// \param error set if the response is truncated
    void onEndOfStream(boost::system::error_code& error) {
        if (!isComplete() && hasParsedAny()) reader_->onEndOfStream(error);
    }

    /// Whether the response is complete.
    bool isComplete() const { return reader_->isComplete(); }
    /// Whether any byte of the current response, interim or final, has been read.
    bool hasParsedAny() const { return reader_->hasParsedAny(); }
    /// Whether the response is complete and allows another exchange on its connection.
    bool keepAlive() const {
        return isComplete() && !reader_->parser().need_eof() && reader_->parser().keep_alive();
    }
    /// The parser, for access to the head.
    const Parser& parser() const { return reader_->parser(); }
    /// The same for functions of Beast that are not const, such as `content_length()`.
    Parser& parser() { return reader_->parser(); }

private:
    // More than any node sends. The next one is read as the final response, so that an endless series of
    // them ends the exchange.
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
