#include "hot_restart/snapshot.h"

#include <fmt/format.h>

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <sstream>

#include "policy/node_info_archive.h"

namespace wingproxy {

namespace config {
template <typename A>
void serialize(A& a, Endpoint& e) {
    a(e.host, e.port);
}
}  // namespace config

namespace core {
template <typename A>
void serialize(A& a, AdminOverride& w) {
    a(w.drained, w.at);
}
template <typename A>
void serialize(A& a, StateSnapshot& h) {
    a(h.listed, h.drains, h.seen, h.module);
}
}  // namespace core

namespace hot_restart {

template <typename A>
void serialize(A& a, Snapshot& s) {
    a(s.front, s.takenAt, s.engine.core, s.engine.addresses, s.engine.listVersion, s.openRequestIds);
}

namespace {

// The head of a file: four letters for its kind and the version of what follows, its length, its CRC-32.
constexpr char kSnapshot[] = "WPS1", kOverrides[] = "WPW1";
constexpr std::size_t kMagic = 4, kHead = kMagic + 8 + 4;

std::uint32_t crc(std::string_view bytes) {
    boost::crc_32_type sum;
    sum.process_bytes(bytes.data(), bytes.size());
    return sum.checksum();
}

template <typename T>
std::string wrap(const char* magic, const T& value) {
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(value);
    const std::string body = out.str();
    std::string head(kHead, '\0');
    std::memcpy(head.data(), magic, kMagic);
    boost::endian::store_little_u64(reinterpret_cast<unsigned char*>(head.data()) + kMagic, body.size());
    boost::endian::store_little_u32(reinterpret_cast<unsigned char*>(head.data()) + kMagic + 8, crc(body));
    return head + body;
}

template <typename T>
std::variant<T, Refused> unwrap(const char* magic, std::string_view bytes) {
    if (bytes.size() < kHead) return Refused{"cut short"};
    if (bytes.substr(0, kMagic) != std::string_view(magic, kMagic))
        return Refused{"of another kind or version"};
    const auto* at = reinterpret_cast<const unsigned char*>(bytes.data()) + kMagic;
    const auto body = bytes.substr(kHead);
    if (boost::endian::load_little_u64(at) != body.size()) return Refused{"cut short"};
    if (boost::endian::load_little_u32(at + 8) != crc(body)) return Refused{"damaged"};
    try {
        T value;
        std::istringstream in{std::string(body)};
        cereal::PortableBinaryInputArchive archive(in);
        archive(value);
        return value;
    } catch (const std::exception& error) {
        return Refused{fmt::format("not readable, {}", error.what())};
    }
}

}  // namespace

std::string encode(const Snapshot& snapshot) { return wrap(kSnapshot, snapshot); }

std::variant<Snapshot, Refused> decode(std::string_view bytes, std::string_view front, Micros now) {
    auto read = unwrap<Snapshot>(kSnapshot, bytes);
    const auto* snapshot = std::get_if<Snapshot>(&read);
    if (!snapshot) return read;
    if (snapshot->front != front) return Refused{fmt::format("of another front, {}", snapshot->front)};
    if (now - snapshot->takenAt > kFresh) return Refused{"too old"};
    if (snapshot->engine.addresses.size() != snapshot->engine.core.listed.size())
        return Refused{"with addresses that fit no list"};
    return read;
}

std::string encodeOverrides(const core::AdminOverrides& overrides) { return wrap(kOverrides, overrides); }
std::variant<core::AdminOverrides, Refused> decodeOverrides(std::string_view bytes) {
    return unwrap<core::AdminOverrides>(kOverrides, bytes);
}

core::AdminOverrides merge(core::AdminOverrides a, const core::AdminOverrides& b) {
    for (const auto& [node, entry] : b) {
        const auto [it, fresh] = a.try_emplace(node, entry);
        if (!fresh && std::pair(entry.at, entry.drained) > std::pair(it->second.at, it->second.drained))
            it->second = entry;
    }
    return a;
}

}  // namespace hot_restart
}  // namespace wingproxy
