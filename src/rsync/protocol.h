/// \file
/// The parts of the rsync daemon protocol that both sides share: the version, the greeting line, and the
/// frames of a multiplexed stream. Stateless; no I/O.
///
/// The gateway speaks version 28 only. Newer clients and daemons agree on the lower of the two versions, and
/// 28 is the last one whose streams contain nothing that depends on negotiated features.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wingproxy::rsync {

/// The protocol version that the gateway offers to clients and nodes, and the lowest that it accepts.
constexpr int kProtocolVersion = 28;

/// Prefix of the daemon's control lines: greeting, "OK", "EXIT", "AUTHREQD".
constexpr std::string_view kControlPrefix = "@RSYNCD:";
/// The daemon accepted the module; the client sends its arguments next.
constexpr std::string_view kModuleAccepted = "@RSYNCD: OK";
/// The end of a module list; the daemon closes the connection after it.
constexpr std::string_view kListEnd = "@RSYNCD: EXIT";
/// Prefix of the daemon's error lines.
constexpr std::string_view kErrorPrefix = "@ERROR";

/// Bytes of an integer on the wire, little-endian.
constexpr std::size_t kIntSize = 4;
/// An integer that may exceed 32 bits is sent as 4 bytes, or as the marker -1 followed by 8 bytes.
constexpr std::size_t kWideIntSize = 8;
constexpr std::int32_t kWideIntMarker = -1;

/// \return the first line of either side, "@RSYNCD: 28\n"
std::string greeting();

/// Parses the first line of the other side, without its end of line.
/// \return the version; a minor version and the digests of newer versions ("@RSYNCD: 31.0 md5") are ignored.
///         Empty if the line is not a greeting.
std::optional<int> parseGreeting(std::string_view line);

/// \return an error line, "@ERROR: ...\n"
std::string errorLine(std::string_view message);

/// \param bytes at least 4 bytes
/// \return the little-endian integer at the start of `bytes`
std::int32_t readInt32(std::string_view bytes);

/// \param bytes at least 8 bytes
/// \return the little-endian integer at the start of `bytes`
std::int64_t readInt64(std::string_view bytes);

/// The type of a frame of a multiplexed stream. Version 28 has no other tags.
enum class FrameTag {
    Data = 0,      ///< a part of the transfer's stream
    Error = 1,     ///< an error message for the user
    Info = 2,      ///< an information message for the user
    DaemonLog = 3  ///< a message for the daemon's log
};

/// Added to a tag on the wire, which distinguishes a frame header from a plain length.
constexpr int kFrameTagOffset = 7;
/// A frame header is one integer: the tag in the highest byte, the length of the payload in the others.
constexpr std::size_t kFrameHeaderSize = kIntSize;
constexpr int kFrameTagShift = 24;
constexpr std::uint32_t kFrameLengthMask = 0xFFFFFF;

/// \param payload less than 16 MiB
/// \return one frame of a multiplexed stream
std::string encodeFrame(FrameTag tag, std::string_view payload);

/// \return an error for a client that already expects the transfer's stream: the checksum seed that starts
///         each stream, then one error frame
std::string errorStream(std::string_view text);

}  // namespace wingproxy::rsync
