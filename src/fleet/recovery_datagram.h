/// \file
/// The datagrams with which a restarted host finds out whether leases that its earlier incarnation granted
/// may still be held, as typed messages, and their wire format.
///
/// Wire format: the format byte 0xB1, the sender's incarnation, a tag byte, and the tag's fields. All numbers
/// are unsigned 32-bit integers in little-endian order. Times are in milliseconds of one host's clock, modulo
/// 2^32, and only the host that wrote them compares them with its clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace wingproxy::fleet {

/// A point in time or a duration, in microseconds.
using Micros = std::int64_t;
/// Identifies one run of a host; a later run has a higher number, modulo 2^32. 0 means none.
using Incarnation = std::uint32_t;
/// A point in time in a datagram: milliseconds, modulo 2^32.
using WireMillis = std::uint32_t;

/// Converts microseconds, rounding down to milliseconds.
WireMillis toWireMillis(Micros at);
/// Whether `a` comes before `b` in serial number arithmetic modulo 2^32 (RFC 1982). The distance between them
/// must be less than 2^31.
bool isBefore(std::uint32_t a, std::uint32_t b);

/// A host that has just started asks whether the recipient stores a shutdown notice of its earlier
/// incarnation.
struct RecoveryQuery {
    /// Compares all fields.
    bool operator==(const RecoveryQuery&) const = default;
};

/// A host that shuts down gracefully announces when the last lease that it granted expires.
struct ShutdownNotice {
    WireMillis sentMs = 0;           ///< when it was sent, by the sender's clock
    WireMillis leasesExpiredMs = 0;  ///< when all leases that it granted have expired, by the same clock
    /// Compares all fields.
    bool operator==(const ShutdownNotice&) const = default;
};

/// The notice of an earlier incarnation, returned to the host that wrote it.
struct EarlierNotice {
    Incarnation incarnation = 0;  ///< the one that wrote the notice
    ShutdownNotice notice;
    /// Compares all fields.
    bool operator==(const EarlierNotice&) const = default;
};

/// The answer to a query. It confirms that its sender holds no lease of an earlier incarnation of the
/// recipient.
struct RecoveryReply {
    Incarnation recipient = 0;                   ///< the incarnation that asked
    std::optional<EarlierNotice> earlierNotice;  ///< empty if the sender stores none
    /// Compares all fields.
    bool operator==(const RecoveryReply&) const = default;
};

/// Any message of the recovery protocol.
using RecoveryMessage = std::variant<RecoveryQuery, RecoveryReply, ShutdownNotice>;

/// A message and the incarnation of its sender.
struct RecoveryDatagram {
    Incarnation sender = 0;
    RecoveryMessage message;
    /// Compares all fields.
    bool operator==(const RecoveryDatagram&) const = default;
};

/// Size of the longest datagram, a reply with a notice.
inline constexpr std::size_t kMaxRecoveryDatagramBytes = 22;

/// Whether the bytes start with the format byte of this protocol; they may still be malformed.
bool isRecoveryDatagram(const std::string& bytes);
/// Encodes a datagram in the wire format above. The result has at most `kMaxRecoveryDatagramBytes` bytes.
std::string encode(const RecoveryDatagram& datagram);
/// Decodes a datagram. \return empty if the bytes are not exactly one datagram with a known tag
std::optional<RecoveryDatagram> decode(const std::string& bytes);

}  // namespace wingproxy::fleet
