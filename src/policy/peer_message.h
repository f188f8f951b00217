/// \file
/// The encoding of messages between hosts: a header (format, incarnation of the sender) and typed records.
/// Numbers are little-endian.
///
/// This file defines the layout only. `Gossip` and `LeaseAllocator` decide which records to send and whether
/// to trust those received.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "wingproxy/index.h"

namespace wingproxy::peer {

/// 64-bit FNV-1a: gives a volume or a cell the same key on every host and build.
inline std::uint64_t hashOf(const std::string& text) {
    std::uint64_t hash = 1469598103934665603ull;
    for (const unsigned char c : text)
        hash = (hash ^ c) * 1099511628211ull;
    return hash;
}

/// The hash of a text, mapped to the range from 0 to 1 (exclusive).
inline double hashToFraction(const std::string& text) { return double(hashOf(text) % 1024) / 1024; }
/// As above, for the decimal digits of a number.
inline double hashToFraction(std::uint64_t number) { return hashToFraction(std::to_string(number)); }

/// A duration in one byte, in logarithmic steps: code = kStepsPerDoubling * log2(1 + milliseconds). It covers
/// up to about 45 days and rounds down by less than 9 % of the duration plus 1 ms.
struct EncodedWait {
    static constexpr double kStepsPerDoubling = 8;
    std::uint8_t code = 0;

    /// \param us microseconds
    static EncodedWait of(double us) {
        const double steps = kStepsPerDoubling * std::log2(1 + us / 1000);
        return {static_cast<std::uint8_t>(std::clamp(steps, 0.0, 255.0))};
    }
    /// Microseconds; never more than the encoded duration.
    [[nodiscard]] double us() const { return 1000 * (std::exp2(double(code) / kStepsPerDoubling) - 1); }
};

/// A rate in units per second, in one byte, with the same logarithmic steps as `EncodedWait`.
struct EncodedRate {
    EncodedWait steps;

    /// \param rate units per second
    static EncodedRate of(double rate) { return {EncodedWait::of(rate * 1000)}; }
    /// Units per second.
    [[nodiscard]] double rate() const { return steps.us() / 1000; }
};

/// Units, or units per second, in sixteenths: an unsigned fixed-point number of 16 bits.
struct FixedPoint {
    std::uint16_t sixteenths = 0;

    /// Rounds down; clamps to the range from 0 to 4095 15/16.
    static FixedPoint of(double value) {
        return {static_cast<std::uint16_t>(std::clamp(value * 16, 0.0, 65535.0))};
    }
    /// Units, or units per second.
    [[nodiscard]] double value() const { return double(sixteenths) / 16; }
};

/// A count in one byte; larger ones saturate at 255.
inline std::uint8_t saturateToByte(double count) { return static_cast<std::uint8_t>(std::min(count, 255.0)); }

/// Sent to the rendezvous host of a key: the demand for the key through the sender.
struct UsageReport {
    std::uint32_t key = 0;
    bool joins = false;               ///< the sender wants to know the other hosts of the key
    FixedPoint rate;                  ///< units per second
    EncodedWait wait;                 ///< of the last response, beyond the time for its size; 0: no response
    std::uint8_t outstanding = 0;     ///< outstanding attempts
    std::uint8_t slowStartUnits = 0;  ///< completed by nodes in slow start since the last report
};
/// Sent by the rendezvous host: the demand for the key through all other hosts.
struct UsageAggregate {
    std::uint32_t key = 0;
    FixedPoint rate;            ///< units per second, without the recipient's own
    EncodedWait wait;           ///< expected from the outstanding attempts of all hosts; 0: none
    EncodedRate slowStartRate;  ///< units per second completed by nodes in slow start, for all hosts
};
/// Sent by the rendezvous host: another host also uses the key.
struct MembershipNotice {
    std::uint32_t key = 0;
    HostIndex host;  ///< encoded in 16 bits
};
/// Sent to a peer: the sender wants to hold `chunks` of the recipient's chunks in total, those that it
/// already holds included.
struct LeaseRequest {
    static constexpr std::size_t kEncodedBytes = 14;
    std::uint64_t volume = 0;  ///< hash of its name
    std::uint8_t chunks = 0;
    std::uint32_t stamp = 0;  ///< identifies the request in grants and returns
};
/// The answer to a `LeaseRequest`.
struct LeaseGrant {
    std::uint64_t volume = 0;  ///< hash of its name
    std::uint8_t chunks = 0;   ///< granted in total
    FixedPoint tokens;         ///< accumulated by the newly granted chunks
    std::uint32_t stamp = 0;   ///< of the request
};
/// Sent to the owner of chunks: the sender gives back all but `chunks` of those granted up to a request.
struct LeaseReturn {
    std::uint64_t volume = 0;  ///< hash of its name
    std::uint8_t chunks = 0;   ///< kept
    std::uint32_t stamp = 0;   ///< of that request
};
/// Any record of a message.
using Record =
    std::variant<UsageReport, UsageAggregate, MembershipNotice, LeaseRequest, LeaseGrant, LeaseReturn>;

/// The first byte of a record. The values are part of the protocol and never change.
enum class Tag : std::uint8_t {
    Usage = 1,
    LeaseRequest,
    LeaseGrant,
    LeaseReturn,
    OldHello,    ///< of versions without `fleet::RestartRecovery`, which may run in an upgrade: skipped
    OldWelcome,  ///< as `OldHello`: skipped
    Join,
    UsageAggregate,
    Membership,
};
inline constexpr std::uint8_t kFormat = 0xA9;  ///< first byte of a message
inline constexpr int kOldRecordBytes = 4;      ///< length of the two skipped kinds after the tag

/// Appends numbers to a message.
class Writer {
public:
    /// \param to must outlive the writer
    explicit Writer(std::string& to) : to_(to) {}
    /// Appends the `bytes` low-order bytes of a number, little-endian.
    void put(std::uint64_t value, int bytes) {
        for (int i = 0; i < bytes; ++i)
            to_ += static_cast<char>(value >> (8 * i) & 255);
    }
    /// Begins a record.
    void put(Tag tag) { put(static_cast<std::uint8_t>(tag), 1); }
    /// Begins a lease record; all kinds start with the same fields.
    void putLease(Tag tag, std::uint64_t volume, std::uint8_t chunks) {
        put(tag);
        put(volume, 8);
        put(chunks, 1);
    }

private:
    std::string& to_;
};

/// Reads numbers from a message. Reads past its end return 0, and `ok()` is false from then on.
class Reader {
public:
    /// \param from must outlive the reader
    explicit Reader(const std::string& from) : from_(from) {}
    /// The next number of `bytes` bytes, at most 8.
    std::uint64_t get(int bytes) {
        std::uint64_t value = 0;
        if (from_.size() - at_ < static_cast<std::size_t>(bytes)) {
            ok_ = false;
            at_ = from_.size();
            return value;
        }
        for (int i = 0; i < bytes; ++i)
            value |= std::uint64_t(static_cast<unsigned char>(from_[at_++])) << (8 * i);
        return value;
    }
    /// The next number of an unsigned type.
    template <typename T>
    T next() {
        return static_cast<T>(get(sizeof(T)));
    }
    /// Whether no read went past the end.
    [[nodiscard]] bool ok() const { return ok_; }
    /// Whether all bytes have been read.
    [[nodiscard]] bool atEnd() const { return at_ >= from_.size(); }

private:
    const std::string& from_;
    std::size_t at_ = 0;
    bool ok_ = true;
};

/// The header, with which a message begins.
/// \param incarnation of the sending process
inline std::string header(std::uint64_t incarnation) {
    std::string message;
    Writer writer(message);
    writer.put(kFormat, 1);
    writer.put(incarnation, 4);
    return message;
}

/// Appends a record of 10 bytes, with `Tag::Join` if the sender joins and `Tag::Usage` if not.
inline void append(std::string& message, const UsageReport& report) {
    Writer writer(message);
    writer.put(report.joins ? Tag::Join : Tag::Usage);
    writer.put(report.key, 4);
    writer.put(report.rate.sixteenths, 2);
    writer.put(report.wait.code, 1);
    writer.put(report.outstanding, 1);
    writer.put(report.slowStartUnits, 1);
}
/// Appends a record of 9 bytes.
inline void append(std::string& message, const UsageAggregate& aggregate) {
    Writer writer(message);
    writer.put(Tag::UsageAggregate);
    writer.put(aggregate.key, 4);
    writer.put(aggregate.rate.sixteenths, 2);
    writer.put(aggregate.wait.code, 1);
    writer.put(aggregate.slowStartRate.steps.code, 1);
}
/// Appends a record of 7 bytes.
inline void append(std::string& message, const MembershipNotice& notice) {
    Writer writer(message);
    writer.put(Tag::Membership);
    writer.put(notice.key, 4);
    writer.put(static_cast<std::uint64_t>(notice.host.value()), 2);
}
/// Appends a record of `LeaseRequest::kEncodedBytes`.
inline void append(std::string& message, const LeaseRequest& request) {
    Writer writer(message);
    writer.putLease(Tag::LeaseRequest, request.volume, request.chunks);
    writer.put(request.stamp, 4);
}
/// Appends a record of 16 bytes.
inline void append(std::string& message, const LeaseGrant& grant) {
    Writer writer(message);
    writer.putLease(Tag::LeaseGrant, grant.volume, grant.chunks);
    writer.put(grant.tokens.sixteenths, 2);
    writer.put(grant.stamp, 4);
}
/// Appends a record of 14 bytes.
inline void append(std::string& message, const LeaseReturn& returned) {
    Writer writer(message);
    writer.putLease(Tag::LeaseReturn, returned.volume, returned.chunks);
    writer.put(returned.stamp, 4);
}
/// Appends a record of any kind to a message that begins with `header()`.
inline void append(std::string& message, const Record& record) {
    std::visit([&](const auto& typed) { append(message, typed); }, record);
}

/// A decoded message.
struct Message {
    std::uint64_t incarnation = 0;
    std::vector<Record> records;
};

/// Reads the fields of a record of kind `tag`; the tag itself was read before.
inline Record decodeRecord(Tag tag, Reader& reader) {
    using Byte = std::uint8_t;
    const auto key = [&] { return reader.next<std::uint32_t>(); };
    const auto hash = [&] { return reader.next<std::uint64_t>(); };
    const auto fixed = [&] { return FixedPoint{reader.next<std::uint16_t>()}; };
    const auto wait = [&] { return EncodedWait{reader.next<Byte>()}; };
    // Braced initialisers are evaluated from left to right, so fields are read in the order of the bytes.
    switch (tag) {
        case Tag::UsageAggregate:
            return UsageAggregate{key(), fixed(), wait(), EncodedRate{wait()}};
        case Tag::Membership:
            return MembershipNotice{key(), HostIndex(reader.next<std::uint16_t>())};
        case Tag::LeaseRequest:
            return LeaseRequest{hash(), reader.next<Byte>(), key()};
        case Tag::LeaseGrant:
            return LeaseGrant{hash(), reader.next<Byte>(), fixed(), key()};
        case Tag::LeaseReturn:
            return LeaseReturn{hash(), reader.next<Byte>(), key()};
        default:
            return UsageReport{key(),  tag == Tag::Join,    fixed(),
                               wait(), reader.next<Byte>(), reader.next<Byte>()};
    }
}

/// The whole message, or nothing if it is malformed, truncated or of another format. A record of an unknown
/// kind makes the message malformed, as the length of the record is not known.
inline std::optional<Message> decode(const std::string& bytes) {
    Reader reader(bytes);
    Message message;
    if (reader.get(1) != kFormat) return std::nullopt;
    message.incarnation = reader.get(4);
    while (reader.ok() && !reader.atEnd()) {
        const auto tag = Tag(reader.next<std::uint8_t>());
        if (tag < Tag::Usage || tag > Tag::Membership) return std::nullopt;
        if (tag == Tag::OldHello || tag == Tag::OldWelcome)
            reader.get(kOldRecordBytes);
        else
            message.records.push_back(decodeRecord(tag, reader));
    }
    if (!reader.ok()) return std::nullopt;
    return message;
}

}  // namespace wingproxy::peer
