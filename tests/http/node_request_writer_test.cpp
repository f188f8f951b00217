// Writing a request to the send buffer of a node connection.
#include "http/node_request_writer.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace wingproxy;
using Progress = http::NodeRequestWriter::Progress;

namespace {

// A client whose body can be consumed as far as the test has set `received`.
struct StreamingClient : http::ClientStream {
    std::size_t consumeBody(char* to, std::size_t capacity) override {
        if (onConsume) onConsume();
        const auto count = received.copy(to, std::min(capacity, received.size()));
        received.erase(0, count);
        return count;
    }
    bool isBodyConsumed() const override { return received.empty() && complete; }
    void awaitBody(std::function<void()>) override {}
    bool mayStream() const override { return true; }
    void startStreaming(const StreamedHead&, BodySource) override {}
    void resumeStreaming() override {}
    void completeStreaming() override {}
    void respond(int, std::string_view, std::string_view, net::ByteBudget::Reservation) override {}

    std::string received;
    bool complete = false;
    std::function<void()> onConsume;
};

// Removes and returns all bytes of the buffer, as a write to the socket does.
std::string drain(net::RingBuffer& buffer) {
    std::string text;
    for (const auto& part : buffer.newest(buffer.size()))
        text += part;
    buffer.clear();
    return text;
}

struct Fixture {
    std::shared_ptr<StreamingClient> client = std::make_shared<StreamingClient>();
    net::RingBuffer out{64};
};

std::shared_ptr<const http::RequestMessage> messageWith(std::string body) {
    auto message = std::make_shared<http::RequestMessage>();
    message->body() = std::move(body);
    return message;
}

constexpr http::BodyFraming kChunked{true, 0};
constexpr http::BodyFraming kTenBytes{false, 10};

}  // namespace

TEST_CASE_FIXTURE(Fixture,
                  "node request writer: a request that is longer than the buffer is written in parts") {
    http::NodeRequestWriter writer(std::string(60, 'x'), messageWith(std::string(40, 'y')), std::nullopt,
                                   client);
    CHECK(writer.fill(out) == Progress::BufferFull);
    CHECK(drain(out) == std::string(60, 'x') + std::string(4, 'y'));
    CHECK(writer.fill(out) == Progress::Complete);
    CHECK(drain(out) == std::string(36, 'y'));
    CHECK(writer.fill(out) == Progress::Complete);
    CHECK(out.size() == 0);
    CHECK(!writer.hasConsumedBody());
}

TEST_CASE_FIXTURE(Fixture, "node request writer: a streamed body follows the head as it arrives") {
    http::NodeRequestWriter writer("head ", nullptr, kTenBytes, client);
    CHECK(writer.fill(out) == Progress::AwaitingBody);
    CHECK(drain(out) == "head ");
    CHECK(!writer.hasConsumedBody());
    client->received = "12345";
    CHECK(writer.fill(out) == Progress::AwaitingBody);
    CHECK(drain(out) == "12345");
    CHECK(writer.hasConsumedBody());
    client->received = "67890";
    client->complete = true;
    CHECK(writer.fill(out) == Progress::Complete);
    CHECK(drain(out) == "67890");
}

TEST_CASE_FIXTURE(Fixture, "node request writer: a chunked body ends with the last chunk") {
    client->received = "12345";
    client->complete = true;
    http::NodeRequestWriter writer("head ", nullptr, kChunked, client);
    CHECK(writer.fill(out) == Progress::Complete);
    CHECK(drain(out) == "head 5\r\n12345\r\n0\r\n\r\n");
}

TEST_CASE_FIXTURE(Fixture,
                  "node request writer: a last chunk that does not fit is written by the next call") {
    client->received = std::string(40, 'b');
    client->complete = true;
    http::NodeRequestWriter writer("head ", nullptr, kChunked, client);
    CHECK(writer.fill(out) == Progress::BufferFull);
    CHECK(drain(out) == "head 28\r\n" + std::string(40, 'b') + "\r\n");
    CHECK(writer.fill(out) == Progress::Complete);
    CHECK(drain(out) == "0\r\n\r\n");
}

TEST_CASE_FIXTURE(Fixture, "node request writer: a streamed body stops when its client is gone") {
    http::NodeRequestWriter writer("head ", nullptr, kTenBytes, client);
    client = nullptr;
    CHECK(writer.fill(out) == Progress::AwaitingBody);
    CHECK(drain(out) == "head ");
}

TEST_CASE_FIXTURE(Fixture,
                  "node request writer: an attempt that ends while it consumes the body writes no more") {
    http::NodeRequestWriter writer("head ", nullptr, kTenBytes, client);
    client->received = "12345";
    client->onConsume = [&writer] { writer.stop(); };
    CHECK(writer.fill(out) == Progress::Stopped);
    CHECK(drain(out) == "head ");
}
