#include "base64.h"

#include <cstddef>
#include <cstdint>

namespace wingproxy::wire {
namespace {

constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::string_view kEmptyText = "-";
constexpr char kPadding = '=';
/// A group of three bytes is written as four digits of 6 bits each.
constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupDigits = 4;

/// \param bytes one to three bytes
void encodeGroup(std::string_view bytes, std::string& text) {
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < kGroupBytes; ++i)
        bits = bits << 8 | (i < bytes.size() ? static_cast<unsigned char>(bytes[i]) : 0U);
    for (std::size_t i = 0; i < kGroupDigits; ++i)
        text += i > bytes.size() ? kPadding : kAlphabet[bits >> (18 - 6 * i) & 63];
}

/// \param digits two to four digits, without padding
bool decodeGroup(std::string_view digits, std::string& bytes) {
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < kGroupDigits; ++i) {
        const auto value = i < digits.size() ? kAlphabet.find(digits[i]) : 0;
        if (value == std::string_view::npos) return false;
        bits = bits << 6 | static_cast<std::uint32_t>(value);
    }
    for (std::size_t i = 0; i + 1 < digits.size(); ++i)
        bytes += static_cast<char>(bits >> (16 - 8 * i) & 255);
    return true;
}

std::string_view withoutPadding(std::string_view group) {
    constexpr std::size_t kMinDigits = 2;
    while (group.size() > kMinDigits && group.back() == kPadding)
        group.remove_suffix(1);
    return group;
}

}  // namespace

std::string encodeBase64(std::string_view bytes) {
    if (bytes.empty()) return std::string(kEmptyText);
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += kGroupBytes)
        encodeGroup(bytes.substr(at, kGroupBytes), text);
    return text;
}

bool decodeBase64(std::string_view text, std::string& bytes) {
    bytes.clear();
    if (text == kEmptyText) return true;
    if (text.size() % kGroupDigits != 0) return false;
    for (std::size_t at = 0; at < text.size(); at += kGroupDigits) {
        const bool last = at + kGroupDigits == text.size();
        const auto group = text.substr(at, kGroupDigits);
        if (!decodeGroup(last ? withoutPadding(group) : group, bytes)) return false;
    }
    return true;
}

}  // namespace wingproxy::wire
