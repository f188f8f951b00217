/// \file
/// The head of a file's block checksums, which the generator sends before the checksums and the sender
/// repeats before the delta. A value type; it owns nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "rsync/protocol.h"

namespace wingproxy::rsync {

/// Describes the blocks of the copy of a file that the receiving side holds.
struct ChecksumHead {
    /// Bytes on the wire: four integers.
    static constexpr std::size_t kSize = 4 * kIntSize;
    /// The rolling checksum of each block, before its strong checksum.
    static constexpr std::size_t kRollingChecksumSize = 4;
    /// The strong checksum is a cut MD4, of at most 16 bytes.
    static constexpr std::int32_t kMaxStrongChecksumSize = 16;
    /// A bound of this gateway: with 20 bytes each, the checksums of one file are at most 1.25 GiB.
    static constexpr std::int32_t kMaxBlocks = 1 << 26;

    std::int32_t blockCount = 0;
    std::int32_t blockLength = 0;         ///< bytes of each block but the last
    std::int32_t strongChecksumSize = 0;  ///< bytes of each block's strong checksum
    std::int32_t lastBlockLength = 0;     ///< bytes of the last block; 0 if it is a full one

    /// Whether the figures that the length of the generator's stream depends on are possible.
    [[nodiscard]] bool hasValidChecksums() const {
        const bool validCount = blockCount >= 0 && blockCount <= kMaxBlocks;
        return validCount && strongChecksumSize >= 0 && strongChecksumSize <= kMaxStrongChecksumSize;
    }
    /// Whether all figures are possible.
    [[nodiscard]] bool isValid() const {
        return hasValidChecksums() && blockLength >= 0 && lastBlockLength >= 0 &&
               lastBlockLength <= blockLength;
    }
    /// \return the bytes of all checksums that follow the head in the generator's stream
    [[nodiscard]] std::uint64_t checksumBytes() const {
        const auto bytesPerBlock = kRollingChecksumSize + static_cast<std::uint64_t>(strongChecksumSize);
        return static_cast<std::uint64_t>(blockCount) * bytesPerBlock;
    }
};

/// Reads a head from its field on the wire.
/// \param field `ChecksumHead::kSize` bytes
inline ChecksumHead parseChecksumHead(std::string_view field) {
    return {.blockCount = readInt32(field),
            .blockLength = readInt32(field.substr(kIntSize)),
            .strongChecksumSize = readInt32(field.substr(2 * kIntSize)),
            .lastBlockLength = readInt32(field.substr(3 * kIntSize))};
}

}  // namespace wingproxy::rsync
