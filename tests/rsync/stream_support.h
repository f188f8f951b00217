/// \file
/// Shared by the tests of the rsync streams: the encoding of wire fields, and feeding a parser.
#pragma once

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "rsync/stream_parser.h"

namespace wingproxy::test {

/// \return `value` as 4 bytes, little-endian
inline std::string encodeInt(std::int32_t value) {
    constexpr int kBytes = 4;
    constexpr int kBitsPerByte = 8;
    const auto bits = static_cast<std::uint32_t>(value);
    std::string bytes;
    for (int i = 0; i < kBytes; ++i)
        bytes += static_cast<char>(bits >> (kBitsPerByte * i) & 0xFF);
    return bytes;
}

/// \return a 64-bit integer on the wire: the marker -1, then the lower and the upper half
inline std::string encodeWideInt(std::int32_t low, std::int32_t high) {
    return encodeInt(-1) + encodeInt(low) + encodeInt(high);
}

/// \return a checksum head, see `rsync::ChecksumHead`
inline std::string encodeChecksumHead(std::int32_t blockCount, std::int32_t blockLength,
                                      std::int32_t strongChecksumSize, std::int32_t lastBlockLength) {
    return encodeInt(blockCount) + encodeInt(blockLength) + encodeInt(strongChecksumSize) +
           encodeInt(lastBlockLength);
}

/// Flags of 0, which end the file list.
inline const std::string kEndOfFileList(1, '\0');
/// A file list entry: file "a" of 5 bytes, modified 100 s after the epoch, a regular file of mode 0644.
inline const std::string kFileEntry =
    std::string("\x01\x01") + "a" + encodeInt(5) + encodeInt(100) + encodeInt(0100644);
inline const std::string kNoIoErrors = encodeInt(0);
inline const std::string kEndOfPhase = encodeInt(-1);
inline const std::string kEndOfBothPhases = kEndOfPhase + kEndOfPhase;
inline const std::string kGoodbye = encodeInt(-1);
inline const std::string kEndOfDelta = encodeInt(0) + std::string(16, 's');  // with the checksum of the file

/// Feeds all bytes at once to one parser and byte by byte to another; checks that both have the same status.
/// \param makeParser returns a new parser
/// \return that status
template <typename MakeParser>
rsync::StreamStatus feedAll(MakeParser makeParser, std::string_view bytes) {
    auto atOnce = makeParser();
    auto byByte = makeParser();
    const auto status = atOnce.feed(bytes);
    auto lastStatus = rsync::StreamStatus::InProgress;
    for (const char byte : bytes) {
        if (lastStatus == rsync::StreamStatus::Broken) break;
        lastStatus = byByte.feed({&byte, 1});
    }
    CHECK(lastStatus == status);
    return status;
}

/// Feeds bytes that violate the protocol and checks that the parser rejects them.
/// \return the parser's error
template <typename MakeParser>
rsync::StreamError feedBroken(MakeParser makeParser, std::string_view bytes) {
    CHECK(feedAll(makeParser, bytes) == rsync::StreamStatus::Broken);
    auto parser = makeParser();
    parser.feed(bytes);
    return parser.error();
}

}  // namespace wingproxy::test
