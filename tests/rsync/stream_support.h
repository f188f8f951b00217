/// \file
/// What the tests of the rsync streams share: the bytes of fields on the wire, and feeding a parser.
#pragma once

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "rsync/stream_parser.h"

namespace wingproxy::test {

/// \return a little-endian integer of 4 bytes
inline std::string encodeInt(std::int32_t value) {
    constexpr int kBytes = 4;
    constexpr int kBitsPerByte = 8;
    const auto bits = static_cast<std::uint32_t>(value);
    std::string bytes;
    for (int i = 0; i < kBytes; ++i)
        bytes += static_cast<char>(bits >> (kBitsPerByte * i) & 0xFF);
    return bytes;
}

/// \return an integer of 64 bits: the marker -1, the lower and the upper half
inline std::string encodeWideInt(std::int32_t low, std::int32_t high) {
    return encodeInt(-1) + encodeInt(low) + encodeInt(high);
}

/// \return a head of block checksums
inline std::string encodeChecksumHead(std::int32_t blockCount, std::int32_t blockLength,
                                      std::int32_t strongChecksumSize, std::int32_t lastBlockLength) {
    return encodeInt(blockCount) + encodeInt(blockLength) + encodeInt(strongChecksumSize) +
           encodeInt(lastBlockLength);
}

/// A byte of flags that ends the file list.
inline const std::string kEndOfFileList(1, '\0');
/// An entry "a" of the file list: 5 bytes, modified at second 100, a regular file of mode 0644.
inline const std::string kFileEntry =
    std::string("\x01\x01") + "a" + encodeInt(5) + encodeInt(100) + encodeInt(0100644);
inline const std::string kNoIoErrors = encodeInt(0);
inline const std::string kEndOfPhase = encodeInt(-1);
inline const std::string kBothPhases = kEndOfPhase + kEndOfPhase;
inline const std::string kGoodbye = encodeInt(-1);
inline const std::string kEndOfDelta = encodeInt(0) + std::string(16, 's');  // and the checksum of the file

/// Feeds one parser all bytes at once and another one byte by byte; both have to come to the same status.
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

/// Feeds bytes that break the protocol.
/// \return the error of the parser
template <typename MakeParser>
rsync::StreamError feedBroken(MakeParser makeParser, std::string_view bytes) {
    CHECK(feedAll(makeParser, bytes) == rsync::StreamStatus::Broken);
    auto parser = makeParser();
    parser.feed(bytes);
    return parser.error();
}

}  // namespace wingproxy::test
