// Responses to requests that the front rejects itself.
#include "http/rejection.h"

#include <doctest/doctest.h>

#include <boost/beast/http/error.hpp>

#include "http/platform_request_support.h"

using namespace wingproxy;
using http::FrontCounters;
using http::Rejection;
using test::platformRequest;
using test::testSettings;

namespace {

Rejection rejectionOf(const http::RequestMessage& message, bool isStreamed,
                      const http::OpenRequestIds& ids = {}) {
    return std::get<Rejection>(http::validateRequest(message, isStreamed, testSettings(), ids, 0));
}

using boost::beast::http::verb;

}  // namespace

TEST_CASE("rejection: a message that exceeds a limit is rejected with the status for that limit") {
    using boost::beast::http::error;
    CHECK(http::rejectUnreadable(error::header_limit).status == 431);
    CHECK(http::rejectUnreadable(error::body_limit).status == 413);
    CHECK(http::rejectUnreadable(error::body_limit).counter == &FrontCounters::tooLarge);
    CHECK(http::rejectUnreadable(error::bad_chunk).status == 400);
    CHECK(http::rejectUnreadable(error::bad_chunk).closesConnection);
}

TEST_CASE("rejection: an unsupported transfer coding has status 501, an ambiguous length 400") {
    CHECK(http::rejectFraming(http::FramingError::UnsupportedCoding).status == 501);
    CHECK(http::rejectFraming(http::FramingError::AmbiguousLength).status == 400);
}

TEST_CASE("validation: a valid request is accepted") {
    const auto result = http::validateRequest(platformRequest(verb::get), false, testSettings(), {}, 0);
    CHECK(std::holds_alternative<http::ParsedRequest>(result));
}

TEST_CASE("validation: other methods are rejected, and HEAD closes the connection") {
    CHECK(rejectionOf(platformRequest(verb::delete_), false).status == 405);
    CHECK(!rejectionOf(platformRequest(verb::delete_), false).closesConnection);
    CHECK(rejectionOf(platformRequest(verb::head), false).closesConnection);
}

TEST_CASE("validation: a streamed body of a rejected request closes the connection") {
    auto invalid = platformRequest(verb::put);
    invalid.erase("Tier");
    CHECK(!rejectionOf(invalid, false).closesConnection);
    CHECK(rejectionOf(invalid, true).closesConnection);
    CHECK(rejectionOf(invalid, true).counter == &FrontCounters::malformed);
}

TEST_CASE("validation: a read with a streamed body is rejected") {
    CHECK(rejectionOf(platformRequest(verb::get), true).body == "Content-Length: a read has no body\n");
}

TEST_CASE("validation: an open Req-Id is rejected with 409") {
    http::OpenRequestIds ids;
    ids.add("9b1f03aa5c7e2d41");
    CHECK(rejectionOf(platformRequest(verb::get), false, ids).status == 409);
    CHECK(rejectionOf(platformRequest(verb::get), false, ids).counter == &FrontCounters::repeated);
}
