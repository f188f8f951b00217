// Platform requests: the fields of a valid request, and the error of each invalid field.
#include "http/request_parser.h"

#include <doctest/doctest.h>

#include "http/platform_request_support.h"

using namespace wingproxy;
using test::platformRequest;
using test::testSettings;

TEST_CASE("request parser: the fields of a valid request are translated") {
    const auto parsed = std::get<http::ParsedRequest>(http::parseRequest(platformRequest(), testSettings()));
    CHECK(parsed.timeoutUs == 480'000);
    CHECK(parsed.request.classIndex == ClassIndex(1));
    CHECK(parsed.request.planIndex == PlanIndex(0));
    CHECK(parsed.request.key == "7f3a9c21e0b4d655");
    CHECK(parsed.request.units == 2);
    CHECK(parsed.request.cell.isNone());
    CHECK(parsed.request.volumeHosts == 3);
}

TEST_CASE("request parser: the error of a missing or invalid field names it") {
    const struct {
        const char *field, *value;
        http::RequestError error;
        const char* named;
    } cases[] = {
        {"Req-Id", "", http::RequestError::MissingRequestId, "Req-Id"},
        {"Req-Kind", "compra", http::RequestError::UnknownClass, "Req-Kind"},
        {"Tier", "oro", http::RequestError::UnknownPlan, "Tier"},
        {"Cookie", "key=7f3a", http::RequestError::InvalidKey, "Cookie"},
        {"Cookie", "kee=7f3a9c21e0b4d655", http::RequestError::InvalidKey, "Cookie"},
        {"Req-Deadline-Ms", "-1", http::RequestError::InvalidDeadline, "Req-Deadline-Ms"},
        {"Req-Deadline-Ms", "1e3", http::RequestError::InvalidDeadline, "Req-Deadline-Ms"},
        {"Req-Deadline-Ms", "99999999999999999999", http::RequestError::InvalidDeadline, "Req-Deadline-Ms"},
        {"Idempotency-Key", "", http::RequestError::MissingIdempotencyKey, "Idempotency-Key"},
        {"IO-Info", "units=2,shard=0,hosts=1", http::RequestError::InvalidVolume, "IO-Info volume"},
        {"IO-Info", "volume=00000003b4d60021,units=0,shard=0,hosts=1", http::RequestError::InvalidUnits,
         "IO-Info units"},
        {"IO-Info", "volume=00000003b4d60021,units=nan,shard=0,hosts=1", http::RequestError::InvalidUnits,
         "IO-Info units"},
        {"IO-Info", "volume=00000003b4d60021,units=1,shard=4,hosts=1", http::RequestError::InvalidShard,
         "IO-Info shard"},
        {"IO-Info", "volume=00000003b4d60021,units=1,shard=0", http::RequestError::InvalidHostCount,
         "IO-Info hosts"},
    };
    for (const auto& c : cases) {
        auto message = platformRequest();
        message.set(c.field, c.value);
        const auto result = http::parseRequest(message, testSettings());
        const auto* error = std::get_if<http::RequestError>(&result);
        REQUIRE_MESSAGE(error, c.named);
        CHECK_MESSAGE(*error == c.error, c.named);
        CHECK_MESSAGE(http::describe(*error).find(c.named) == 0, http::describe(*error));
    }
}

TEST_CASE("request parser: a read with a body is invalid") {
    auto message = platformRequest();
    message.method(boost::beast::http::verb::get);
    message.body() = std::string("x");
    const auto result = http::parseRequest(message, testSettings());
    CHECK(std::get<http::RequestError>(result) == http::RequestError::BodyOnRead);
}
