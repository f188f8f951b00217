// The rsync codec: greetings, arguments and both streams, whole and byte by byte.
#include "rsync/codec.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>

using namespace wingproxy;

namespace {

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string int32(std::int32_t v) {
    std::string out;
    for (int i = 0; i < 4; ++i)
        out += static_cast<char>(std::uint32_t(v) >> (8 * i) & 255);
    return out;
}

// Feeds whole, then byte by byte: where a read ends must not matter.
template <typename Make>
rsync::Progress follow(Make make, const std::string& bytes) {
    auto whole = make(), split = make();
    const auto result = whole.feed(bytes);
    auto last = rsync::Progress::Going;
    for (const char c : bytes)
        if (last != rsync::Progress::Broken) last = split.feed({&c, 1});
    CHECK(last == result);
    return result;
}

}  // namespace

TEST_CASE("rsync: greetings and arguments") {
    int version = 0;
    const struct {
        const char* line;
        bool good;
        int version;
    } greetings[] = {{"@RSYNCD: 28", true, 28},    {"@RSYNCD: 31.0 sha512 md5", true, 31},
                     {"@RSYNCD: ", false, 0},      {"@RSYNCD: x", false, 0},
                     {"GET / HTTP/1.1", false, 0}, {"@RSYNCD: 28x", false, 0}};
    for (const auto& g : greetings) {
        CHECK_MESSAGE(rsync::parseGreeting(g.line, version) == g.good, g.line);
        if (g.good) CHECK(version == g.version);
    }
    using List = std::vector<std::string>;
    const struct {
        List arguments;
        const char* complaint;
    } cases[] = {
        {{"--server", "--sender", "-vlogDtpr", ".", "m/a"}, ""},
        {{"--server", "-tpre.iLsfx", "--numeric-ids", ".", "m/"}, ""},
        {{"--server", "--sender", "-z", ".", "m/a"}, "-z"},
        {{"--server", "--delete", ".", "m/a"}, "--delete"},
        {{"--sender", ".", "m/a"}, "--server"},
        {{"--server", "--sender", "."}, "path"},
        {{"--server", "--sender", ".", "other/a"}, "other/a"},
        {{"--server", "--sender", ".", "mm/a"}, "mm/a"},
        {{"--server", "--sender", ".", "m/a/../../b"}, "m/a/../../b"},
        {{"--server", ".", "m/a", "m/b"}, "path"},
    };
    for (const auto& c : cases) {
        rsync::Options options;
        std::string why;
        CHECK(rsync::parseArguments(c.arguments, "m", options, why) == (*c.complaint == 0));
        CHECK_MESSAGE(why.find(c.complaint) == 0, why);
    }
}

TEST_CASE("rsync: the sender's stream") {
    // One file of mode 0644, one that differs by flags only, uid and gid with their lists of names.
    const std::string entry = std::string("\x01\x01") + "a" + int32(5) + int32(100) + int32(0100644);
    const std::string longName =
        std::string("\xc2\x01", 1) + int32(1) + "b" + int32(-1) + int32(5) + int32(1);
    const std::string list = entry + longName + std::string(1, '\0') + int32(0);
    const std::string sums = int32(2) + int32(700) + int32(2) + int32(0),
                      end = int32(0) + std::string(16, 's');
    const std::string delta = int32(0) + sums + int32(3) + "xyz" + int32(-1) + int32(-2) + end;
    const std::string phases = int32(-1) + int32(-1),
                      totals = int32(1) + int32(2) + int32(-1) + int32(9) + int32(9);
    using rsync::Progress;
    const struct {
        std::string bytes;
        bool stats;
        Progress progress;
    } cases[] = {
        {list + delta + phases, false, Progress::Done},
        {list + delta + phases + totals, true, Progress::Done},
        {list + delta + phases, true, Progress::Going},
        {list + delta, false, Progress::Going},
        {list + phases + "x", false, Progress::Broken},                 // bytes after the end
        {list + int32(2) + sums, false, Progress::Broken},              // not listed
        {list + int32(0) + sums + int32(-3), false, Progress::Broken},  // block 2 of two
        {list + int32(0) + int32(-1) + int32(0) + int32(0) + int32(0), false, Progress::Broken},
        {replaced(entry, int32(0100644), int32(0120777)), false, Progress::Broken},  // a link
        {std::string("\x42", 1) + int32(5000), false, Progress::Broken},             // too long a name
        {std::string("\x82\x01", 2) + "a" + int32(5), false, Progress::Broken},      // no mode before
    };
    for (const auto& c : cases)
        CHECK(follow([&] { return rsync::SenderStream({}, c.stats); }, c.bytes) == c.progress);
    rsync::SenderStream counted({}, false);
    counted.feed(list + delta);
    CHECK(counted.files() == 2);
    CHECK(counted.literalBytes() == 3);
    CHECK(counted.blocks() == 2);
    const std::string owned = entry + int32(1000) + int32(1000) + std::string(1, '\0') + int32(1000) +
                              "\x02yo" + int32(0) + int32(0) + int32(0) + phases;
    CHECK(follow(
              [] {
                  return rsync::SenderStream({false, true, true, false}, false);
              },
              owned) == Progress::Done);
}

TEST_CASE("rsync: the generator's stream and frames") {
    using rsync::Progress;
    const std::string file = int32(0) + int32(2) + int32(700) + int32(2) + int32(0) + std::string(12, 's');
    const std::string ends = int32(-1) + int32(-1) + int32(-1);
    const auto plain = [] { return rsync::GeneratorStream(false); };
    const auto filtered = [] { return rsync::GeneratorStream(true); };
    CHECK(follow(plain, file + ends) == Progress::Done);
    CHECK(follow(plain, file + int32(-1)) == Progress::Going);
    CHECK(follow(plain, int32(-2)) == Progress::Broken);
    CHECK(follow(plain, int32(0) + int32(-1) + int32(0) + int32(0) + int32(0)) == Progress::Broken);
    CHECK(follow(filtered, int32(3) + "- x" + int32(0) + ends) == Progress::Done);
    CHECK(follow(filtered, int32(-5)) == Progress::Broken);
    struct Framed {
        std::unique_ptr<rsync::GeneratorStream> inner = std::make_unique<rsync::GeneratorStream>(false);
        rsync::MuxStream mux{*inner};
        Progress feed(std::string_view bytes) { return mux.feed(bytes); }
    };
    const auto framed = [] { return Framed(); };
    const std::string seed = int32(77), words = rsync::frame(2, "a word");
    CHECK(follow(framed, seed + rsync::frame(0, file.substr(0, 9)) + words +
                             rsync::frame(0, file.substr(9) + ends)) == Progress::Done);
    CHECK(follow(framed, seed + rsync::frame(0, "")) == Progress::Going);
    CHECK(follow(framed, seed + rsync::frame(9, "x")) == Progress::Broken);  // a tag that 28 does not have
    CHECK(follow(framed, seed + int32(5)) == Progress::Broken);              // below the base of all tags
    CHECK(follow(framed, seed + rsync::frame(0, int32(-2))) == Progress::Broken);  // broken inside
    CHECK(rsync::errorStream("@ERROR: x\n").substr(4) == rsync::frame(1, "@ERROR: x\n"));
}
