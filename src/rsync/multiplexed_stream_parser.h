/// \file
/// A daemon's output after the arguments: the checksum seed, then frames that carry the transfer's stream and
/// messages for the user. Owns the state of the framing; the parser of the stream inside belongs to the
/// caller.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "rsync/protocol.h"
#include "rsync/stream_parser.h"

namespace wingproxy::rsync {

/// Takes frames apart and feeds what the data frames carry to the parser inside.
class MultiplexedStreamParser {
public:
    /// \param inner follows the transfer's stream; has to outlive this object
    explicit MultiplexedStreamParser(StreamParser& inner) : inner_(inner) {}

    /// Follows the next bytes; where one call ends and the next begins does not matter.
    /// \return Complete as soon as the stream inside is
    StreamStatus feed(std::string_view bytes);

    /// What broke the framing or the stream inside. The code is None unless feed() returned Broken.
    const StreamError& error() const { return error_; }

private:
    StreamStatus fail(const StreamError& error);
    void skipSeed(std::string_view& bytes);
    StreamStatus readHeader(std::string_view& bytes);
    StreamStatus readPayload(std::string_view& bytes);

    StreamParser& inner_;
    std::size_t seedLeft_ = kIntSize;
    std::string header_;  ///< the part of a frame's header that came so far
    std::size_t payloadLeft_ = 0;
    bool payloadIsData_ = false;
    StreamError error_;
};

}  // namespace wingproxy::rsync
