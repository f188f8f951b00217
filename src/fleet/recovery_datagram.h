/// \file
/// The datagrams by which a restarted host learns whether leases of its earlier incarnation may still be out,
/// as typed messages, and their form on the wire.
///
/// Wire format: the format byte 0xB1, the sender's incarnation, a tag byte, and the tag's fields. All numbers
/// are unsigned, of 32 bits, the lowest byte first. Times are in milliseconds of one host's clock, modulo
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
/// Names one run of a host; a later run has a higher number, modulo 2^32. 0 names none.
using Incarnation = std::uint32_t;
/// A point in time as datagrams carry it: milliseconds, modulo 2^32.
using WireMillis = std::uint32_t;

/// Rounds down to milliseconds.
WireMillis toWireMillis(Micros at);
/// Compares numbers modulo 2^32, of which neither is more than 2^31 after the other (RFC 1982).
bool isBefore(std::uint32_t a, std::uint32_t b);

/// A started host asks whether the recipient has a shutdown notice of its earlier incarnation.
struct RecoveryQuery {
    /// Field by field.
    bool operator==(const RecoveryQuery&) const = default;
};

/// A host that shuts down gracefully announces when the last lease that it granted expires.
struct ShutdownNotice {
    WireMillis sentMs = 0;           ///< by the sender's clock
    WireMillis leasesExpiredMs = 0;  ///< by the sender's clock: no lease is out from then on
    /// Field by field.
    bool operator==(const ShutdownNotice&) const = default;
};

/// The notice of an earlier incarnation, returned to the host that wrote it.
struct EarlierNotice {
    Incarnation incarnation = 0;  ///< that wrote the notice
    ShutdownNotice notice;
    /// Field by field.
    bool operator==(const EarlierNotice&) const = default;
};

/// The answer to a query. Its sender holds no lease of an earlier incarnation of the recipient.
struct RecoveryReply {
    Incarnation recipient = 0;  ///< the incarnation that asked
    std::optional<EarlierNotice> earlierNotice;
    /// Field by field.
    bool operator==(const RecoveryReply&) const = default;
};

/// Any message of the recovery protocol.
using RecoveryMessage = std::variant<RecoveryQuery, RecoveryReply, ShutdownNotice>;

/// A message and the incarnation of its sender.
struct RecoveryDatagram {
    Incarnation sender = 0;
    RecoveryMessage message;
    /// Field by field.
    bool operator==(const RecoveryDatagram&) const = default;
};

/// The longest datagram: a reply with a notice.
inline constexpr std::size_t kMaxRecoveryDatagramBytes = 22;

/// Whether the bytes claim to be a datagram of this protocol; they may still be malformed.
bool isRecoveryDatagram(const std::string& bytes);
/// The wire format above; at most `kMaxRecoveryDatagramBytes`.
std::string encode(const RecoveryDatagram& datagram);
/// The inverse of `encode`. \return nothing where the bytes are not exactly one datagram of a known tag
std::optional<RecoveryDatagram> decode(const std::string& bytes);

}  // namespace wingproxy::fleet
