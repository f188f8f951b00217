/// \file
/// The parts of the rsync daemon protocol that both sides share: the version, the greeting line, and the
/// frames of a multiplexed stream.
///
/// The gateway speaks version 28 only. Newer clients and daemons agree on the lower of the two versions, and
/// 28 is the last one whose streams hold nothing that depends on negotiated features.
///
/// Nothing here owns a socket or keeps state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wingproxy::rsync {

/// The protocol version that the gateway offers to clients and nodes, and the lowest that it accepts.
constexpr int kProtocolVersion = 28;

/// Start of every control line of the daemon: greeting, "OK", "EXIT", "AUTHREQD".
constexpr std::string_view kControlPrefix = "@RSYNCD:";
/// The daemon accepted the module; the client sends its arguments next.
constexpr std::string_view kModuleAccepted = "@RSYNCD: OK";
/// The end of a module list; the daemon closes after it.
constexpr std::string_view kListEnd = "@RSYNCD: EXIT";
/// Start of every error line of the daemon.
constexpr std::string_view kErrorPrefix = "@ERROR";

/// Integers on the wire have 4 bytes, little-endian.
constexpr std::size_t kIntSize = 4;
/// Integers that may exceed 32 bits are 4 bytes, or the marker -1 and then 8 bytes.
constexpr std::size_t kWideIntSize = 8;
constexpr std::int32_t kWideIntMarker = -1;

/// \return the first line of either side, "@RSYNCD: 28\n"
std::string greeting();

/// Reads the first line of the other side, without its end of line.
/// \return the version; a minor version and the digests of newer versions ("@RSYNCD: 31.0 md5") are ignored.
///         Empty if the line is not a greeting.
std::optional<int> parseGreeting(std::string_view line);

/// \return an error as a control line, "@ERROR: ...\n"
std::string errorLine(std::string_view message);

/// \param bytes at least 4 bytes
/// \return the little-endian integer at the start of `bytes`
std::int32_t readInt32(std::string_view bytes);

/// \param bytes at least 8 bytes
/// \return the little-endian integer at the start of `bytes`
std::int64_t readInt64(std::string_view bytes);

/// What a frame of a multiplexed stream carries. Version 28 has no other tags.
enum class FrameTag {
    Data = 0,      ///< a part of the transfer's stream
    Error = 1,     ///< an error message for the user
    Info = 2,      ///< an information message for the user
    DaemonLog = 3  ///< a message for the daemon's log
};

/// On the wire, a tag is sent with this offset, which tells a frame header from a plain length.
constexpr int kFrameTagOffset = 7;
/// A frame header is one integer: the tag in the highest byte, the length of the payload in the others.
constexpr std::size_t kFrameHeaderSize = kIntSize;
constexpr int kFrameTagShift = 24;
constexpr std::uint32_t kFrameLengthMask = 0xFFFFFF;

/// \param payload less than 16 MiB
/// \return one frame of a multiplexed stream
std::string encodeFrame(FrameTag tag, std::string_view payload);

/// \return what a client that already awaits the transfer's stream reads as an error: the checksum seed that
///         opens each stream, then one error frame
std::string errorStream(std::string_view text);

}  // namespace wingproxy::rsync
