/// \file
/// Parses a daemon's output after the arguments: the checksum seed, then frames that carry the transfer's
/// stream and messages. Owns the state of the framing; the parser of the transfer's stream belongs to the
/// caller.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "rsync/protocol.h"
#include "rsync/stream_parser.h"

namespace wingproxy::rsync {

/// Parses frames and feeds the payload of data frames to an inner parser.
class MultiplexedStreamParser {
public:
    /// \param inner parses the transfer's stream; must outlive this object
    explicit MultiplexedStreamParser(StreamParser& inner) : inner_(inner) {}

    /// Parses the next bytes, which may be split across calls anywhere.
    /// \return Broken after an error, else the status of the inner parser
    StreamStatus feed(std::string_view bytes);

    /// The error of the framing or of the inner parser. The code is None unless feed() returned Broken.
    const StreamError& error() const { return error_; }

private:
    StreamStatus fail(const StreamError& error);
    void skipSeed(std::string_view& bytes);
    StreamStatus readHeader(std::string_view& bytes);
    StreamStatus readPayload(std::string_view& bytes);

    StreamParser& inner_;
    std::size_t seedLeft_ = kIntSize;
    std::string header_;  ///< the part of a frame header received so far
    std::size_t payloadLeft_ = 0;
    bool payloadIsData_ = false;
    StreamError error_;
};

}  // namespace wingproxy::rsync
