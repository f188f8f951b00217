#include "rsync/protocol.h"

#include <fmt/format.h>

#include <array>
#include <boost/endian/conversion.hpp>
#include <charconv>

namespace wingproxy::rsync {
namespace {

constexpr std::string_view kGreetingPrefix = "@RSYNCD: ";

const unsigned char* unsignedBytes(std::string_view bytes) {
    return reinterpret_cast<const unsigned char*>(bytes.data());
}

void appendInt(std::string& out, std::uint32_t value) {
    std::array<unsigned char, kIntSize> bytes{};
    boost::endian::store_little_u32(bytes.data(), value);
    out.append(bytes.begin(), bytes.end());
}

}  // namespace

std::string greeting() { return fmt::format("{}{}\n", kGreetingPrefix, kProtocolVersion); }

std::optional<int> parseGreeting(std::string_view line) {
    if (!line.starts_with(kGreetingPrefix)) return std::nullopt;
    line.remove_prefix(kGreetingPrefix.size());
    int version = 0;
    const auto* const lineEnd = line.data() + line.size();
    const auto [end, error] = std::from_chars(line.data(), lineEnd, version);
    if (error != std::errc() || version <= 0) return std::nullopt;
    const bool atDelimiter = end == lineEnd || *end == '.' || *end == ' ';
    return atDelimiter ? std::optional(version) : std::nullopt;
}

std::string errorLine(std::string_view message) { return fmt::format("{}: {}\n", kErrorPrefix, message); }

std::int32_t readInt32(std::string_view bytes) {
    return boost::endian::load_little_s32(unsignedBytes(bytes));
}

std::int64_t readInt64(std::string_view bytes) {
    return boost::endian::load_little_s64(unsignedBytes(bytes));
}

std::string encodeFrame(FrameTag tag, std::string_view payload) {
    const auto wireTag = static_cast<std::uint32_t>(kFrameTagOffset + static_cast<int>(tag));
    std::string out;
    appendInt(out, wireTag << kFrameTagShift | static_cast<std::uint32_t>(payload.size()));
    return out.append(payload);
}

std::string errorStream(std::string_view text) {
    constexpr std::uint32_t kNoSeed = 0;
    std::string out;
    appendInt(out, kNoSeed);
    return out + encodeFrame(FrameTag::Error, text);
}

}  // namespace wingproxy::rsync
