#include "hot_restart/checked_file.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <cstdint>

namespace wingproxy::hot_restart {
namespace {

constexpr std::size_t kLengthOffset = kMagicBytes;
constexpr std::size_t kChecksumOffset = kLengthOffset + sizeof(std::uint64_t);
constexpr std::size_t kHeaderBytes = kChecksumOffset + sizeof(std::uint32_t);

std::uint32_t crc32(std::string_view bytes) {
    boost::crc_32_type checksum;
    checksum.process_bytes(bytes.data(), bytes.size());
    return checksum.checksum();
}

}  // namespace

std::string encodeCheckedFile(std::string_view magic, std::string_view payload) {
    std::string bytes(magic);
    bytes.resize(kHeaderBytes);
    auto* const header = reinterpret_cast<unsigned char*>(bytes.data());
    boost::endian::store_little_u64(header + kLengthOffset, payload.size());
    boost::endian::store_little_u32(header + kChecksumOffset, crc32(payload));
    bytes += payload;
    return bytes;
}

std::variant<std::string_view, SnapshotError> decodeCheckedFile(std::string_view magic,
                                                                std::string_view bytes) {
    if (bytes.size() < kHeaderBytes) return SnapshotError{SnapshotErrorCode::Truncated};
    if (!bytes.starts_with(magic)) return SnapshotError{SnapshotErrorCode::UnsupportedFormat};
    const auto* const header = reinterpret_cast<const unsigned char*>(bytes.data());
    const std::string_view payload = bytes.substr(kHeaderBytes);
    if (boost::endian::load_little_u64(header + kLengthOffset) != payload.size())
        return SnapshotError{SnapshotErrorCode::Truncated};
    if (boost::endian::load_little_u32(header + kChecksumOffset) != crc32(payload))
        return SnapshotError{SnapshotErrorCode::ChecksumMismatch};
    return payload;
}

}  // namespace wingproxy::hot_restart
