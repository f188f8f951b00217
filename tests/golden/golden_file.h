/// \file
/// Golden files: text that an earlier version of the program produced, and that every later version must
/// reproduce byte for byte. The tests compare their output with the files. They rewrite the files if the
/// environment variable WINGPROXY_WRITE_GOLDEN is 1, which is right only after an intended change of
/// behaviour:
///
///     WINGPROXY_WRITE_GOLDEN=1 build-tests/tests/wingproxy_tests --gtest_filter='Golden*'
///     WINGPROXY_WRITE_GOLDEN=1 build-tests/tests/wingproxy_front_tests --test-case='golden*'
///
/// The policy computes with doubles and calls exp, exp2 and log2. -O0 and -O2 give the same results on
/// x86-64. A compiler that contracts a*b+c into one operation, or another C library, may give others.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace wingproxy::test {

/// Random numbers that are the same with every standard library, as no std:: distribution is used. An
/// expression must draw at most one number, as the evaluation order within an expression is unspecified.
class SeededRandom {
public:
    explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}
    /// A number from 0 to `limit` - 1.
    std::int64_t below(std::int64_t limit) {
        return static_cast<std::int64_t>(engine_() % static_cast<std::uint64_t>(limit));
    }
    /// A number from `least` to `most`, both included.
    std::int64_t between(std::int64_t least, std::int64_t most) { return least + below(most - least + 1); }
    /// True in `percent` of 100 calls.
    bool chance(std::int64_t percent) { return below(100) < percent; }

private:
    std::mt19937_64 engine_;
};

/// The 64-bit FNV-1a hash of everything that was added so far.
class RunningHash {
public:
    void add(std::string_view bytes) {
        constexpr std::uint64_t kPrime = 1099511628211ULL;
        for (const unsigned char byte : bytes)
            value_ = (value_ ^ byte) * kPrime;
    }
    std::string hex() const {
        std::ostringstream text;
        text << std::hex << value_;
        return text.str();
    }

private:
    static constexpr std::uint64_t kOffset = 1469598103934665603ULL;
    std::uint64_t value_ = kOffset;
};

/// Whether the golden files are to be rewritten.
inline bool writesGoldenFiles() {
    const char* const value = std::getenv("WINGPROXY_WRITE_GOLDEN");
    return value != nullptr && std::string_view(value) == "1";
}

/// Two lower-case hexadecimal digits for each byte.
inline std::string hexOf(const std::string& bytes) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : bytes) {
        text += kDigits[byte >> 4];
        text += kDigits[byte & 15];
    }
    return text;
}

/// The bytes that hexOf() encoded.
/// \throws std::invalid_argument if there is anything but hexadecimal digits
inline std::string bytesOfHex(const std::string& text) {
    std::string bytes;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2)
        bytes += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
    return bytes;
}

/// The path of a golden file.
/// \param name relative to tests/golden
inline std::string goldenPath(const std::string& name) { return std::string(WINGPROXY_GOLDEN) + "/" + name; }

/// The content of a golden file; empty if it does not exist.
inline std::string readGoldenFile(const std::string& name) {
    std::ifstream in(goldenPath(name), std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

inline void writeGoldenFile(const std::string& name, const std::string& bytes) {
    std::ofstream out(goldenPath(name), std::ios::binary);
    out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
}

/// Compares the lines with the golden file, or rewrites the file if writesGoldenFiles().
/// \return an empty text if they are equal, otherwise a description of the first difference
inline std::string differenceFromGoldenFile(const std::string& name, const std::vector<std::string>& lines) {
    if (writesGoldenFiles()) {
        std::string text;
        for (const auto& line : lines)
            text += line + "\n";
        writeGoldenFile(name, text);
        return "";
    }
    std::istringstream golden(readGoldenFile(name));
    std::vector<std::string> expected;
    for (std::string line; std::getline(golden, line);)
        expected.push_back(line);
    const std::size_t shared = std::min(lines.size(), expected.size());
    for (std::size_t i = 0; i < shared; ++i)
        if (lines[i] != expected[i])
            return name + " differs first at line " + std::to_string(i + 1) + "\n  expected: " + expected[i] +
                   "\n  actual:   " + lines[i];
    if (lines.size() == expected.size()) return "";
    return name + " has " + std::to_string(expected.size()) + " lines, but " + std::to_string(lines.size()) +
           " were produced";
}

}  // namespace wingproxy::test
