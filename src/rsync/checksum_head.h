/// \file
/// The header of a file's block checksums ("sum head" in rsync): the generator sends it before the checksums,
/// and the sender repeats it before the delta. A value type; it owns nothing.
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
    /// Bytes of each block's rolling checksum, which precedes its strong checksum.
    static constexpr std::size_t kRollingChecksumSize = 4;
    /// The strong checksum is a truncated MD4, of at most 16 bytes.
    static constexpr std::int32_t kMaxStrongChecksumSize = 16;
    /// Limit of this gateway: with at most 20 bytes per block, the checksums of one file take up to 1.25 GiB.
    static constexpr std::int32_t kMaxBlocks = 1 << 26;

    std::int32_t blockCount = 0;
    std::int32_t blockLength = 0;         ///< bytes of each block but the last
    std::int32_t strongChecksumSize = 0;  ///< bytes of each block's strong checksum
    std::int32_t lastBlockLength = 0;     ///< bytes of the last block; 0 if it is a full block

    /// Whether the two fields that determine checksumBytes() are in range: blockCount and strongChecksumSize.
    [[nodiscard]] bool hasValidChecksums() const {
        const bool validCount = blockCount >= 0 && blockCount <= kMaxBlocks;
        return validCount && strongChecksumSize >= 0 && strongChecksumSize <= kMaxStrongChecksumSize;
    }
    /// Whether all fields are in range.
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
