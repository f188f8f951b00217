// Tables of cases for every parser: what is accepted, what is refused, and which field the message names.
#include <doctest/doctest.h>

#include "config/config.h"
#include "config/operator.h"
#include "health/health.h"
#include "http/platform.h"
#include "net/ring_buffer.h"
#include "rsync/codec.h"

using namespace wingproxy;

namespace {

std::string configText() { return config::readFile(std::string(WINGPROXY_SOURCE) + "/tests/config.json"); }

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

template <typename F>
std::string complaint(F&& f) {
    try {
        f();
    } catch (const config::Bad& bad) { return bad.what(); }
    return "";
}

std::string int32(std::int32_t v) {
    std::string out;
    for (int i = 0; i < 4; ++i) out += static_cast<char>(std::uint32_t(v) >> (8 * i) & 255);
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

TEST_CASE("config: each bad field is named") {
    CHECK(complaint([] { config::parseConfig(configText()); }) == "");
    const struct {
        const char *from, *to, *names;
    } cases[] = {
        {"\"listen\":\"127.0.0.1:0\"", "\"listen\":\"nowhere\"", "listen"},
        {"\"discovery\":\"127.0.0.1:1\",", "", "discovery: missing"},
        {"\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"xyz\"", "seed"},
        {"\"sockets\":1024", "\"sockets\":3", "limits.sockets"},
        {"\"sockets\":1024", "\"sockets\":\"many\"", "limits.sockets"},
        {"\"effect\":\"idempotent\"", "\"effect\":\"maybe\"", "settings.classes.0.effect"},
        {"\"limit\":33.0", "\"limit\":true", "settings.serviceLevels.0.limit"},
        {"\"shards\":4", "\"shards\":-4", "settings.extra.shards"},
        {"\"me\":0", "\"me\":7", "settings.me"},
        {"\"instances\":[]", "\"instances\":[{\"instanceId\":\"a\",\"hostPort\":\"1.2.3:4\"}]",
         "known.instances.0.hostPort"},
        {"\"generation\":1", "\"generation\":\"x\"", "known.generation"},
        {"{\"name\"", "{name", "config"},
    };
    for (const auto& c : cases) {
        const auto what = complaint([&] { config::parseConfig(replaced(configText(), c.from, c.to)); });
        CHECK_MESSAGE(what.find(c.names) == 0, what);
        CHECK(what.find('\n') == std::string::npos);
    }
}

TEST_CASE("config: the values that the module must get") {
    const auto c = config::parseConfig(configText());
    CHECK(c.settings.seed == 0x8c1f30d27a5be964ull);
    CHECK(c.settings.classes[1].effect == Effect::Deduplicated);
    CHECK(c.settings.classes[1].scope == Scope::Cell);
    CHECK(c.settings.classes[1].writes);
    CHECK(c.settings.plans[0].limitSlack == 6);
    CHECK(c.settings.listOnRequest);
    CHECK(c.known.list.kind == ListKind::Saved);  // old knowledge, however complete it was
}

TEST_CASE("discovery's list") {
    const std::string entry =
        R"({"instanceId":"s-1","hostPort":"127.0.0.1:80","zone":"z","cell":3,"lifecycle":"draining","weight":1.5,"startedAtMs":7})";
    const auto list = [](const std::string& entries) {
        return R"({"generation":9,"reset":false,"instances":[)" + entries + "]}";
    };
    const auto hosts = config::parseHostList(list(entry));
    CHECK(hosts.list.kind == ListKind::Delta);
    CHECK(hosts.list.version == 9);
    CHECK(hosts.list.nodes[0].state == NodeState::Draining);
    CHECK(hosts.list.nodes[0].rating == 1.5);
    CHECK(hosts.list.nodes[0].startedUs == 7000);
    CHECK(hosts.addresses[0] == config::Endpoint{"127.0.0.1", 80});
    for (const char* bad : {"", "[]", "{}", R"({"generation":1,"instances":[{}]})", "{\"generation\":1}"})
        CHECK(complaint([&] { config::parseHostList(bad); }) != "");
    CHECK(complaint([&] {
              config::parseHostList(list(replaced(entry, "draining", "asleep")));
          }).find("lifecycle") != std::string::npos);
    CHECK(complaint([&] {
              config::parseHostList(list(replaced(entry, "\"cell\":3", "\"cell\":-3")));
          }).find("cell") != std::string::npos);
}

TEST_CASE("the operator's file: each bad field is named") {
    const auto settings = config::parseConfig(configText()).settings;
    const std::string good =
        R"({"rsync":{"listen":"127.0.0.1:0","modules":[{"name":"m","volume":"v","plan":"basico","cell":1,)"
        R"("pull_class":"lectura","push_class":"alta"}]},"agent":{"listen":"127.0.0.1:0"}})";
    const auto o = config::parseOperator(good, settings);
    CHECK(o.rsync->modules[0].pushClass == 1);
    CHECK(o.rsync->modules[0].nodeModule == "m");
    CHECK(o.agent.has_value());
    CHECK(!o.health.has_value());
    CHECK(!config::parseOperator("{}", settings).rsync.has_value());
    const struct {
        const char *from, *to, *names;
    } cases[] = {
        {"\"plan\":\"basico\"", "\"plan\":\"oro\"", "rsync.modules.0.plan"},
        {"\"cell\":1", "\"cell\":4", "rsync.modules.0.cell"},
        {"\"cell\":1,", "", "rsync.modules.0.cell: missing"},
        {"\"name\":\"m\"", "\"name\":\"a/b\"", "rsync.modules.0.name"},
        // A pull may be repeated and a push carries a key: another class would break the rule on resends.
        {"\"pull_class\":\"lectura\"", "\"pull_class\":\"alta\"", "rsync.modules.0.pull_class"},
        {"\"push_class\":\"alta\"", "\"push_class\":\"lectura\"", "rsync.modules.0.push_class"},
        {"\"agent\":{\"listen\":\"127.0.0.1:0\"}", "\"agent\":{\"listen\":\"x\"}", "agent.listen"},
    };
    for (const auto& c : cases) {
        const auto what = complaint([&] { config::parseOperator(replaced(good, c.from, c.to), settings); });
        CHECK_MESSAGE(what.find(c.names) == 0, what);
    }
    const auto example = config::readFile(std::string(WINGPROXY_SOURCE) + "/deploy/operator.example.json");
    CHECK(complaint([&] {
              auto wide = settings;
              wide.classes.push_back({"exportacion"});
              config::parseOperator(example, wide);
          }) == "");
}

TEST_CASE("platform requests: a missing or wrong field is named") {
    const auto settings = config::parseConfig(configText()).settings;
    const auto message = [] {
        http::Message m{boost::beast::http::verb::put, "/api", 11};
        m.set("Req-Id", "9b1f03aa5c7e2d41");
        m.set("Req-Kind", "alta");
        m.set("Tier", "basico");
        m.set("Cookie", "a=b; key=7f3a9c21e0b4d655");
        m.set("Req-Deadline-Ms", "480");
        m.set("Idempotency-Key", "k");
        m.set("IO-Info", "volume=00000003b4d60021,units=2,shard=-1,hosts=3");
        return m;
    };
    const auto asked = std::get<http::Asked>(http::readRequest(message(), settings));
    CHECK(asked.waitUs == 480'000);
    CHECK(asked.request.classIndex == 1);
    CHECK(asked.request.planIndex == 0);
    CHECK(asked.request.key == "7f3a9c21e0b4d655");
    CHECK(asked.request.units == 2);
    CHECK(asked.request.cell == -1);
    CHECK(asked.request.volumeHosts == 3);
    const struct {
        const char *field, *value, *names;
    } cases[] = {
        {"Req-Id", "", "Req-Id"},
        {"Req-Kind", "compra", "Req-Kind"},
        {"Tier", "oro", "Tier"},
        {"Cookie", "key=7f3a", "Cookie"},
        {"Cookie", "kee=7f3a9c21e0b4d655", "Cookie"},
        {"Req-Deadline-Ms", "-1", "Req-Deadline-Ms"},
        {"Req-Deadline-Ms", "1e3", "Req-Deadline-Ms"},
        {"Req-Deadline-Ms", "99999999999999999999", "Req-Deadline-Ms"},
        {"Idempotency-Key", "", "Idempotency-Key"},
        {"IO-Info", "units=2,shard=0,hosts=1", "IO-Info volume"},
        {"IO-Info", "volume=00000003b4d60021,units=0,shard=0,hosts=1", "IO-Info units"},
        {"IO-Info", "volume=00000003b4d60021,units=nan,shard=0,hosts=1", "IO-Info units"},
        {"IO-Info", "volume=00000003b4d60021,units=1,shard=4,hosts=1", "IO-Info shard"},
        {"IO-Info", "volume=00000003b4d60021,units=1,shard=0", "IO-Info hosts"},
    };
    for (const auto& c : cases) {
        auto m = message();
        m.set(c.field, c.value);
        const auto read = http::readRequest(m, settings);
        const auto* bad = std::get_if<http::BadField>(&read);
        REQUIRE_MESSAGE(bad, c.names);
        CHECK_MESSAGE(bad->what.find(c.names) == 0, bad->what);
    }
}

TEST_CASE("node answers: outcome, meter, others and load as the simulator gives them") {
    const auto settings = config::parseConfig(configText()).settings;
    const struct {
        unsigned status;
        bool declined;
        Outcome outcome;
    } cases[] = {{200, false, Outcome::Ok},   {500, false, Outcome::Error}, {503, true, Outcome::Full},
                 {504, true, Outcome::Full},  {503, false, Outcome::Error}, {500, true, Outcome::Error},
                 {404, false, Outcome::Error}};
    for (const auto& c : cases) {
        http::Answer a;
        a.result(c.status);
        if (c.declined) a.set("Srv-Declined", "1");
        CHECK(http::readAnswer(a, settings).outcome == c.outcome);
    }
    http::Answer a;
    CHECK(http::readAnswer(a, settings).usePercent == 0);  // no header: none
    a.set("Volume-Load", "85");
    a.set("Other-Hosts", "3.5");
    a.set("Srv-Load", "queue=7");
    CHECK(http::readAnswer(a, settings).usePercent == 86);  // the simulator's figure is one more
    CHECK(http::readAnswer(a, settings).elsewhere == 3.5);
    CHECK(http::readAnswer(a, settings).report == std::vector<double>{7});
    for (const char* load : {"", "queue", "queue=", "queue=x", "inflight=3"})
        CHECK(http::readLoad(load, settings).empty());
    CHECK(http::readLoad("inflight=1, depth=4", settings) == std::vector<double>{4});
}

TEST_CASE("what a node gets: the message as it came, with the time left") {
    http::Message m{boost::beast::http::verb::put, "/api?a=b", 11};
    m.set("Host", "origin.svc");
    m.set("Req-Id", "1");
    m.set("Req-Deadline-Ms", "480");
    m.set("Connection", "keep-alive, X-Hop");
    m.set("X-Hop", "mine");
    m.body() = "abc";
    const auto text = http::forNode(m, "1.2.3.4:5", 90'500);
    CHECK(text.find("PUT /api?a=b HTTP/1.1\r\n") == 0);
    CHECK(text.find("Req-Deadline-Ms: 90\r\n") != std::string::npos);
    CHECK(text.find("480") == std::string::npos);
    CHECK(text.find("X-Hop") == std::string::npos);  // the connection's own, not the message's
    CHECK(text.substr(text.size() - 7) == "\r\n\r\nabc");
    CHECK(http::retryAfter(150'000) == "0.150");
}

TEST_CASE("ring buffer: order over the seam, and a read under way while all is consumed") {
    net::RingBuffer ring(8);
    CHECK(ring.put("abcdefghij") == 8);
    ring.consume(6);
    CHECK(ring.put("XYZ") == 3);
    std::string text;
    for (const auto& part : ring.newest(4)) text += part;
    CHECK(text == "hXYZ");
    // The room was handed to a read before the rest was consumed: its bytes must be found where it put them.
    auto room = ring.room();
    ring.consume(5);
    boost::asio::buffer_copy(room, boost::asio::buffer(std::string("\nq")));
    ring.commit(2);
    CHECK(ring.line(text));
    CHECK(text.empty());
    CHECK(!ring.line(text));
    CHECK(ring.size() == 1);
}

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

TEST_CASE("health: what balancers are told") {
    const health::Report ready{true, false, 0.25}, full{true, false, 1.2}, draining{true, true, 0}, unaware{};
    CHECK(health::agentLine(ready) == "ready up 75%\n");
    CHECK(health::agentLine(full) == "ready up 1%\n");  // 0% would drain it
    CHECK(health::agentLine(draining) == "drain\n");
    CHECK(health::agentLine(unaware).find("down") == 0);
    const struct {
        const char* line;
        health::Report report;
        const char* starts;
    } cases[] = {{"GET /live HTTP/1.1", draining, "HTTP/1.1 200"},
                 {"GET /ready HTTP/1.1", ready, "HTTP/1.1 200"},
                 {"GET /ready?x HTTP/1.0", draining, "HTTP/1.1 503"},
                 {"GET /ready HTTP/1.1", unaware, "HTTP/1.1 503"},
                 {"GET / HTTP/1.1", ready, "HTTP/1.1 404"},
                 {"POST /ready HTTP/1.1", ready, "HTTP/1.1 405"},
                 {"nonsense", ready, "HTTP/1.1 400"},
                 {"", ready, "HTTP/1.1 400"}};
    for (const auto& c : cases)
        CHECK_MESSAGE(health::httpAnswer(c.line, c.report).find(c.starts) == 0, c.line);
    const auto head = health::httpAnswer("HEAD /ready HTTP/1.1", ready);
    CHECK(head.substr(head.size() - 4) == "\r\n\r\n");
}
