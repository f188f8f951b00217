#include "fleet/recovery_datagram.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <initializer_list>
#include <iterator>

namespace wingproxy::fleet {
namespace {

constexpr unsigned char kFormatByte = 0xB1;
constexpr std::size_t kSenderOffset = 1;
constexpr std::size_t kTagOffset = 5;
constexpr std::size_t kFieldsOffset = 6;
constexpr std::size_t kFieldBytes = 4;

/// Identifies the message of a datagram on the wire.
enum class Tag : unsigned char { Query = 1, Reply = 2, ShutdownNotice = 3, ReplyWithNotice = 4 };

void appendNumber(std::string& bytes, std::uint32_t value) {
    unsigned char encoded[kFieldBytes];
    boost::endian::store_little_u32(encoded, value);
    bytes.append(std::begin(encoded), std::end(encoded));
}

std::uint32_t numberAt(const std::string& bytes, std::size_t offset) {
    unsigned char encoded[kFieldBytes];
    std::copy_n(bytes.begin() + std::ptrdiff_t(offset), kFieldBytes, std::begin(encoded));
    return boost::endian::load_little_u32(encoded);
}

std::uint32_t fieldAt(const std::string& bytes, std::size_t field) {
    return numberAt(bytes, kFieldsOffset + field * kFieldBytes);
}

std::string encode(Incarnation sender, Tag tag, std::initializer_list<std::uint32_t> fields) {
    std::string bytes(1, static_cast<char>(kFormatByte));
    appendNumber(bytes, sender);
    bytes += static_cast<char>(tag);
    for (const auto field : fields)
        appendNumber(bytes, field);
    return bytes;
}

/// Encodes each message type with its tag.
struct Encoder {
    Incarnation sender;

    std::string operator()(const RecoveryQuery&) const { return encode(sender, Tag::Query, {}); }
    std::string operator()(const ShutdownNotice& notice) const {
        return encode(sender, Tag::ShutdownNotice, {notice.sentMs, notice.leasesExpiredMs});
    }
    std::string operator()(const RecoveryReply& reply) const {
        if (!reply.earlierNotice) return encode(sender, Tag::Reply, {reply.recipient});
        const EarlierNotice& earlier = *reply.earlierNotice;
        return encode(
            sender, Tag::ReplyWithNotice,
            {reply.recipient, earlier.incarnation, earlier.notice.sentMs, earlier.notice.leasesExpiredMs});
    }
};

/// Decodes the message of a datagram; empty if the number of fields is wrong for the tag.
std::optional<RecoveryMessage> decodeMessage(const std::string& bytes, Tag tag, std::size_t fieldCount) {
    switch (tag) {
        case Tag::Query:
            if (fieldCount != 0) return {};
            return RecoveryQuery{};
        case Tag::Reply:
            if (fieldCount != 1) return {};
            return RecoveryReply{fieldAt(bytes, 0), {}};
        case Tag::ShutdownNotice:
            if (fieldCount != 2) return {};
            return ShutdownNotice{fieldAt(bytes, 0), fieldAt(bytes, 1)};
        case Tag::ReplyWithNotice:
            if (fieldCount != 4) return {};
            return RecoveryReply{fieldAt(bytes, 0),
                                 EarlierNotice{fieldAt(bytes, 1), {fieldAt(bytes, 2), fieldAt(bytes, 3)}}};
    }
    return {};  // a tag unknown to this version
}

}  // namespace

WireMillis toWireMillis(Micros at) { return static_cast<WireMillis>(static_cast<std::uint64_t>(at / 1000)); }

bool isBefore(std::uint32_t a, std::uint32_t b) { return static_cast<std::int32_t>(a - b) < 0; }

bool isRecoveryDatagram(const std::string& bytes) {
    return !bytes.empty() && static_cast<unsigned char>(bytes[0]) == kFormatByte;
}

std::string encode(const RecoveryDatagram& datagram) {
    return std::visit(Encoder{datagram.sender}, datagram.message);
}

std::optional<RecoveryDatagram> decode(const std::string& bytes) {
    if (bytes.size() < kFieldsOffset || !isRecoveryDatagram(bytes)) return {};
    const std::size_t fieldBytes = bytes.size() - kFieldsOffset;
    if (fieldBytes % kFieldBytes != 0) return {};
    const auto tag = static_cast<Tag>(static_cast<unsigned char>(bytes[kTagOffset]));
    const auto message = decodeMessage(bytes, tag, fieldBytes / kFieldBytes);
    if (!message) return {};
    return RecoveryDatagram{numberAt(bytes, kSenderOffset), *message};
}

}  // namespace wingproxy::fleet
