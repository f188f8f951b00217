// The bytes of a peer message: a header (format, life of the sender) and records. Layout only; what the
// records mean and what is believed of them is in policy.cpp.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

namespace wingproxy::peer {

// 64-bit FNV-1a: names a volume alike on every host and build.
inline std::uint64_t hashOf(const std::string& text) {
    std::uint64_t h = 1469598103934665603ull;
    for (const unsigned char c : text) h = (h ^ c) * 1099511628211ull;
    return h;
}

// From 0 to 1, the same for the same text.
inline double drawOf(const std::string& text) { return double(hashOf(text) % 1024) / 1024; }
inline double drawOf(std::uint64_t number) { return drawOf(std::to_string(number)); }

enum Tag : std::uint8_t { kUse = 1, kAsk, kGrant, kReturn, kOldHello, kOldWelcome, kJoin, kOthers, kMember };
struct Record {
    std::uint8_t tag;
    std::uint64_t a, b, c;
};
constexpr std::uint8_t kFormat = 0xA9;
constexpr int kWidths[][3] = {{0, 0, 0}, {4, 2, 3}, {8, 1, 4}, {8, 3, 4}, {8, 1, 4},
                              {4, 0, 0}, {4, 0, 0}, {4, 2, 3}, {4, 2, 2}, {4, 2, 0}};

inline void put(std::string& to, std::uint64_t value, int bytes) {
    for (int i = 0; i < bytes; ++i) to += static_cast<char>(value >> (8 * i) & 255);
}

// A told wait, so many steps for each doubling: one byte holds any.
constexpr double kWaitCode = 8;
inline std::uint64_t waitCode(double us) {
    return std::uint64_t(std::clamp(kWaitCode * std::log2(1 + us / 1000), 0.0, 255.0));
}
inline double waitOf(std::uint64_t code) { return 1000 * (std::exp2(double(code) / kWaitCode) - 1); }
inline std::uint64_t rateCode(double units) { return waitCode(units * 1000); }
inline double rateOf(std::uint64_t code) { return waitOf(code) / 1000; }

inline std::size_t sizeOf(Tag tag) { return std::size_t(1 + kWidths[tag][0] + kWidths[tag][1] + kWidths[tag][2]); }

inline std::string header(std::uint64_t life) {
    std::string m;
    put(m, kFormat, 1);
    put(m, life, 4);
    return m;
}

inline void add(std::string& m, const Record& r) {
    put(m, r.tag, 1);
    put(m, r.a, kWidths[r.tag][0]);
    put(m, r.b, kWidths[r.tag][1]);
    put(m, r.c, kWidths[r.tag][2]);
}

// The whole message or nothing: false if it is malformed, cut short or of another format.
inline bool read(const std::string& m, std::uint64_t& life, std::vector<Record>& records) {
    std::size_t at = 0;
    bool ok = true;
    const auto get = [&](int bytes) {
        std::uint64_t value = 0;
        if (m.size() - at < std::size_t(bytes)) { ok = false; at = m.size(); return value; }
        for (int i = 0; i < bytes; ++i) value |= std::uint64_t(static_cast<unsigned char>(m[at++])) << (8 * i);
        return value;
    };
    if (get(1) != kFormat) return false;
    life = get(4);
    while (ok && at < m.size()) {
        const auto tag = static_cast<std::uint8_t>(get(1));
        if (tag < kUse || tag > kMember) return false;
        Record r{tag, get(kWidths[tag][0]), 0, 0};
        r.b = get(kWidths[tag][1]);
        r.c = get(kWidths[tag][2]);
        if (tag != kOldHello && tag != kOldWelcome) records.push_back(r);   // of hosts before fleet::Arrival
    }
    return ok;
}

}  // namespace wingproxy::peer
