/// \file
/// The bytes of a message between hosts: a header (format, incarnation of the sender) and typed records.
///
/// Layout only. Which record is sent, and what is believed of one that came, is decided by `Gossip` and
/// `LeaseAllocator`. Numbers are little-endian.
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

/// A number from 0 to 1 that is the same for the same text.
inline double hashToFraction(const std::string& text) { return double(hashOf(text) % 1024) / 1024; }
/// The same for a number, by its decimal digits.
inline double hashToFraction(std::uint64_t number) { return hashToFraction(std::to_string(number)); }

/// A duration in one byte, in logarithmic steps: code = steps * log2(1 + milliseconds), which covers up to
/// about 45 days with an error of at most 9 %.
struct EncodedWait {
    static constexpr double kStepsPerDoubling = 8;
    std::uint8_t code = 0;

    /// \param us microseconds
    static EncodedWait of(double us) {
        const double steps = kStepsPerDoubling * std::log2(1 + us / 1000);
        return {static_cast<std::uint8_t>(std::clamp(steps, 0.0, 255.0))};
    }
    /// Microseconds; never more than what was encoded.
    [[nodiscard]] double us() const { return 1000 * (std::exp2(double(code) / kStepsPerDoubling) - 1); }
};

/// A rate in units a second, in one byte, with the same steps as a wait.
struct EncodedRate {
    EncodedWait steps;

    /// \param rate units a second
    static EncodedRate of(double rate) { return {EncodedWait::of(rate * 1000)}; }
    /// Units a second.
    [[nodiscard]] double rate() const { return steps.us() / 1000; }
};

/// Units, or units a second, in sixteenths: 16 bits.
struct FixedPoint {
    std::uint16_t sixteenths = 0;

    /// Rounds down; values beyond 4095 15/16 are cut off.
    static FixedPoint of(double value) {
        return {static_cast<std::uint16_t>(std::clamp(value * 16, 0.0, 65535.0))};
    }
    /// Units, or units a second.
    [[nodiscard]] double value() const { return double(sixteenths) / 16; }
};

/// A count in one byte; larger ones are cut off.
inline std::uint8_t byteOf(double count) { return static_cast<std::uint8_t>(std::min(count, 255.0)); }

/// To the rendezvous host of a key: what the sender is asked for there.
struct UsageReport {
    std::uint32_t key = 0;
    bool joins = false;               ///< the sender wants to know the other hosts of the key
    FixedPoint rate;                  ///< units a second
    EncodedWait wait;                 ///< of the last answer beyond what its size takes; 0: no answer
    std::uint8_t outstanding = 0;     ///< attempts
    std::uint8_t slowStartUnits = 0;  ///< completed by starting nodes since the last report
};
/// From the rendezvous host: what all other hosts are asked for.
struct UsageAggregate {
    std::uint32_t key = 0;
    FixedPoint rate;
    EncodedWait wait;
    EncodedRate slowStartRate;  ///< completed by starting nodes for all hosts
};
/// From the rendezvous host: another host uses the key too.
struct MembershipNotice {
    std::uint32_t key = 0;
    HostIndex host;  ///< in 16 bits
};
/// To a peer: the sender wants to hold so many of its chunks, those that it holds already included.
struct LeaseRequest {
    static constexpr std::size_t kEncodedBytes = 14;
    std::uint64_t volume = 0;  ///< hash of its name
    std::uint8_t chunks = 0;
    std::uint32_t stamp = 0;  ///< names the request in the answer and in returns
};
/// The answer: so many chunks, and the tokens that they had saved.
struct LeaseGrant {
    std::uint64_t volume = 0;
    std::uint8_t chunks = 0;
    FixedPoint tokens;
    std::uint32_t stamp = 0;
};
/// The sender keeps only so many of the chunks granted up to the request `stamp`.
struct LeaseReturn {
    std::uint64_t volume = 0;
    std::uint8_t chunks = 0;
    std::uint32_t stamp = 0;
};
/// Any record of a message.
using Record =
    std::variant<UsageReport, UsageAggregate, MembershipNotice, LeaseRequest, LeaseGrant, LeaseReturn>;

/// The first byte of a record. Numbers are part of the protocol and never change.
enum class Tag : std::uint8_t {
    Usage = 1,
    LeaseRequest,
    LeaseGrant,
    LeaseReturn,
    OldHello,    ///< of hosts before `fleet::RestartRecovery`, which may still run during an upgrade: skipped
    OldWelcome,  ///< likewise
    Join,
    UsageAggregate,
    Membership,
};
inline constexpr std::uint8_t kFormat = 0xA9;
inline constexpr int kOldRecordBytes = 4;  ///< of the two skipped kinds, after the tag

/// Appends numbers to a message.
class Writer {
public:
    /// \param to must outlive the writer
    explicit Writer(std::string& to) : to_(to) {}
    /// Appends the low bytes of a number, the lowest first.
    void put(std::uint64_t value, int bytes) {
        for (int i = 0; i < bytes; ++i)
            to_ += static_cast<char>(value >> (8 * i) & 255);
    }
    /// Begins a record.
    void put(Tag tag) { put(static_cast<std::uint8_t>(tag), 1); }
    /// Begins a record about a lease, which all have the same head.
    void putLease(Tag tag, std::uint64_t volume, std::uint8_t chunks) {
        put(tag);
        put(volume, 8);
        put(chunks, 1);
    }

private:
    std::string& to_;
};

/// Reads numbers from a message; beyond its end they are 0 and `ok()` is false.
class Reader {
public:
    /// \param from must outlive the reader
    explicit Reader(const std::string& from) : from_(from) {}
    /// The next number of so many bytes, at most 8.
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
    /// Whether all that was read was there.
    [[nodiscard]] bool ok() const { return ok_; }
    /// Whether nothing is left.
    [[nodiscard]] bool atEnd() const { return at_ >= from_.size(); }

private:
    const std::string& from_;
    std::size_t at_ = 0;
    bool ok_ = true;
};

/// Begins a message.
/// \param incarnation of the sending process
inline std::string header(std::uint64_t incarnation) {
    std::string message;
    Writer writer(message);
    writer.put(kFormat, 1);
    writer.put(incarnation, 4);
    return message;
}

/// Appends a record: `Tag::Join` or `Tag::Usage`, 10 bytes.
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
/// Appends any record to a message that `header()` began.
inline void append(std::string& message, const Record& record) {
    std::visit([&](const auto& typed) { append(message, typed); }, record);
}

/// A message as it was read.
struct Message {
    std::uint64_t incarnation = 0;
    std::vector<Record> records;
};

/// Reads one record of the kind `tag`, without the tag itself.
inline Record decodeRecord(Tag tag, Reader& reader) {
    using Byte = std::uint8_t;
    const auto key = [&] { return reader.next<std::uint32_t>(); };
    const auto hash = [&] { return reader.next<std::uint64_t>(); };
    const auto fixed = [&] { return FixedPoint{reader.next<std::uint16_t>()}; };
    const auto wait = [&] { return EncodedWait{reader.next<Byte>()}; };
    // The order of the fields is that of the bytes: braces evaluate from left to right.
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

/// The complete message, or nothing if it is malformed, cut short or of another format. A record of an
/// unknown kind makes it malformed, as its length is not known.
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
