// Long request bodies whose node stops reading, or reads slowly: each request that has arrived gets its
// answer in time.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/steady_timer.hpp>

#include "http/http_test_support.h"
#include "support/net_support.h"
#include "support/stalled_node.h"

using namespace wingproxy;
using namespace wingproxy::test;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

// How long after a client's deadline its answer still counts.
constexpr milliseconds kAnswerGrace{500};

// The request of a client that waits `deadlineMs`, with a body of `bodyBytes`.
std::string upload(int number, std::size_t bodyBytes, int deadlineMs, bool inChunks) {
    std::string body;
    body.assign(bodyBytes, 'x');
    if (!inChunks)
        return streamedPut(fmt::format("Content-Length: {}\r\n", bodyBytes), id(number), deadlineMs) + body;
    return streamedPut("Transfer-Encoding: chunked\r\n", id(number), deadlineMs) +
           fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", bodyBytes, body);
}

// A client that writes a long body, and notes when the front's machine has taken its last byte.
class Uploader {
public:
    Uploader(GatewayFixture& fixture, std::string text)
        : connection(fixture.client()), text_(std::move(text)) {
        asio::async_write(connection->socket, asio::buffer(text_),
                          [this](const boost::system::error_code& error, std::size_t) { written_ = !error; });
    }
    // To be called often. Returns whether the client has its answer, or its last byte was not taken within
    // `limit`.
    bool update(Clock::duration limit) {
        const auto now = Clock::now();
        if (!takenAt && written_ && unacknowledged() == 0) takenAt = now;
        if (!answeredAt && connection->hasReceived("\r\n\r\n")) answeredAt = now;
        return answeredAt || (!takenAt && now - startedAt_ > limit);
    }

    TestConnectionPtr connection;
    std::optional<Clock::time_point> takenAt;
    std::optional<Clock::time_point> answeredAt;

private:
    int unacknowledged() {
        int bytes = 0;
        REQUIRE(::ioctl(connection->socket.native_handle(), SIOCOUTQ, &bytes) == 0);
        return bytes;
    }

    std::string text_;
    bool written_ = false;
    Clock::time_point startedAt_ = Clock::now();
};

// A node that reads at most a piece every 5 ms, some 12 MB/s.
class SlowNode {
public:
    SlowNode(asio::io_context& io, tcp::socket socket) : socket_(std::move(socket)), timer_(io) {
        readNext();
    }

    std::size_t received = 0;

    void send(const std::string& text) { asio::write(socket_, asio::buffer(text)); }

private:
    static constexpr milliseconds kInterval{5};

    void readNext() {
        timer_.expires_after(kInterval);
        timer_.async_wait([this](const boost::system::error_code&) {
            socket_.async_read_some(asio::buffer(piece_), [this](const auto& error, std::size_t count) {
                received += count;
                if (!error) readNext();
            });
        });
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    std::array<char, std::size_t{64} * 1024> piece_{};
};

// Clients that send bodies of 100 kB to 3 MB at once: of some of them the last bytes wait at the front when
// the node takes no more.
class Uploads {
public:
    Uploads(GatewayFixture& fixture, int deadlineMs, bool inChunks)
        : fixture_(fixture), deadline_(deadlineMs) {
        for (int i = 1; i <= 30; ++i)
            uploaders_.push_back(std::make_unique<Uploader>(
                fixture, upload(i, std::size_t(i) * 100'000, deadlineMs, inChunks)));
    }
    // Waits until each request that was taken is answered, and checks that the answer is in time.
    void checkAnswers() {
        fixture_.waitUntil([this] { return areDone(); }, "an answer to each request that was taken");
        int taken = 0;
        for (const auto& uploader : uploaders_) {
            if (!uploader->takenAt) continue;
            ++taken;
            CHECK(*uploader->answeredAt - *uploader->takenAt < deadline_ + kAnswerGrace);
        }
        CHECK(taken > 0);
    }

private:
    bool areDone() {
        bool done = true;
        for (const auto& uploader : uploaders_)
            done = uploader->update(deadline_ + kAnswerGrace) && done;
        return done;
    }

    GatewayFixture& fixture_;
    milliseconds deadline_;
    std::vector<std::unique_ptr<Uploader>> uploaders_;
};

}  // namespace

// Guards against requests that are never answered: the client's last byte waited in the front's socket
// buffer, and nothing ended the attempt.
TEST_CASE("a long body whose node stops reading is answered when its client's time is over") {
    for (const int deadlineMs : {200, 900}) {
        for (const bool inChunks : {false, true}) {
            CAPTURE(deadlineMs);
            CAPTURE(inChunks);
            GatewayFixture fixture;
            StalledNode node(fixture);
            Uploads(fixture, deadlineMs, inChunks).checkAnswers();
        }
    }
}

// Guards against cutting off what a slow node still takes: only the client's last byte starts its timeout.
TEST_CASE("a body that takes longer than its client's timeout is served if its node goes on reading") {
    constexpr int kDeadlineMs = 1500;
    constexpr int kNodeReceiveBuffer = 64 * 1024;
    constexpr std::size_t kBodyBytes = 30'000'000;
    for (const bool inChunks : {false, true}) {
        CAPTURE(inChunks);
        GatewayFixture fixture;
        StalledNode acceptor(fixture, kNodeReceiveBuffer);
        const auto since = Clock::now();
        Uploader uploader(fixture, upload(1, kBodyBytes, kDeadlineMs, inChunks));
        SlowNode node(fixture.io, acceptor.nextConnection());
        fixture.waitUntil(
            [&] { return node.received > kBodyBytes || uploader.update(std::chrono::hours(1)); });
        CHECK(Clock::now() - since > milliseconds(kDeadlineMs));
        REQUIRE(!uploader.answeredAt);
        fixture.waitUntil([&] { return fixture.engine.counters().requestsSent == 1; });
        node.send(ok("hecho"));
        fixture.waitUntil([&] { return uploader.connection->hasReceived("hecho"); });
    }
}
