// Pending requests: which response the client gets.
#include "http/pending_request.h"

#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

// A client that records the responses it gets.
struct RecordingClient : http::ClientStream {
    std::size_t consumeBody(char*, std::size_t) override { return 0; }
    bool isBodyConsumed() const override { return true; }
    void awaitBody(std::function<void()>) override {}
    bool mayStream() const override { return true; }
    void startStreaming(const StreamedHead&, BodySource) override {}
    void resumeStreaming() override {}
    void completeStreaming() override { ++streamsCompleted; }
    void respond(int status, std::string_view fields, std::string_view body,
                 net::ByteBudget::Reservation) override {
        responses.push_back(fmt::format("{}|{}|{}", status, fields, body));
    }
    std::vector<std::string> responses;
    int streamsCompleted = 0;
};

// Makes a pending request whose client records its responses and has no socket.
struct Fixture {
    std::unique_ptr<http::PendingRequest> make() {
        auto message = std::make_shared<http::RequestMessage>(boost::beast::http::verb::get, "/api", 11);
        message->set("Req-Id", "a1");
        return std::make_unique<http::PendingRequest>(context, client, message, std::nullopt,
                                                      http::PendingRequest::Reservations{});
    }
    GatewayFixture fixture;
    http::FrontContext context{fixture.engine, fixture.pool};
    std::shared_ptr<RecordingClient> client = std::make_shared<RecordingClient>();
};

http::ResponseMessage response(const char* body) {
    http::ResponseMessage message;
    message.set("Content-Type", "text/plain");
    message.set("X-Node", "n0");
    message.body() = body;
    return message;
}

}  // namespace

TEST_CASE_FIXTURE(Fixture,
                  "pending request: the delivered attempt's response is sent with its content type") {
    const auto request = make();
    request->keepResponse(AttemptIndex(0), response("uno"), nullptr);
    request->keepResponse(AttemptIndex(1), response("dos"), nullptr);
    request->deliverResponse(AttemptIndex(1));
    CHECK(client->responses == std::vector<std::string>{"200|Content-Type: text/plain\r\n|dos"});
    CHECK(client->streamsCompleted == 0);
}

TEST_CASE_FIXTURE(Fixture, "pending request: an attempt without a stored response completes the stream") {
    const auto request = make();
    request->deliverResponse(AttemptIndex(0));
    CHECK(client->responses.empty());
    CHECK(client->streamsCompleted == 1);
}

TEST_CASE_FIXTURE(Fixture, "pending request: a rejection has status 503 and Retry-After, a failure 500") {
    const auto request = make();
    request->sendRejection(150'000);
    request->sendFailure();
    CHECK(client->responses == std::vector<std::string>{"503|Retry-After: 0.150\r\n|", "500||"});
}

TEST_CASE_FIXTURE(Fixture, "pending request: nothing is sent to a client that has disconnected") {
    const auto request = make();
    client = nullptr;
    request->keepResponse(AttemptIndex(0), response("uno"), nullptr);
    CHECK_NOTHROW(request->deliverResponse(AttemptIndex(0)));
    CHECK_NOTHROW(request->sendFailure());
}

TEST_CASE_FIXTURE(Fixture, "pending request: its Req-Id is open as long as it exists") {
    auto request = make();
    CHECK(context.requestIds().isOpen("a1", 0));
    request = nullptr;
    CHECK(!context.requestIds().isOpen("a1", 0));
}
