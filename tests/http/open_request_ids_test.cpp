// Req-Ids that are open here or in another process.
#include "http/open_request_ids.h"

#include <doctest/doctest.h>

using namespace wingproxy;

TEST_CASE("open request ids: an id is open until it is removed") {
    http::OpenRequestIds ids;
    CHECK(!ids.isOpen("a", 0));
    ids.add("a");
    CHECK(ids.isOpen("a", 0));
    CHECK(ids.list() == std::vector<std::string>{"a"});
    ids.remove("a");
    CHECK(!ids.isOpen("a", 0));
    CHECK(ids.list().empty());
}

TEST_CASE("open request ids: ids of another process are open until they expire, and are not listed") {
    http::OpenRequestIds ids;
    ids.setOpenElsewhere({"b"}, 100);
    CHECK(ids.isOpen("b", 99));
    CHECK(!ids.isOpen("b", 100));
    CHECK(ids.list().empty());
}

TEST_CASE("open request ids: an abandoned id is open until its time is over, and is not listed") {
    http::OpenRequestIds ids;
    ids.add("a");
    ids.abandon("a", 100);
    CHECK(ids.isOpen("a", 99));
    CHECK(!ids.isOpen("a", 100));
    CHECK(ids.list().empty());
}

TEST_CASE("open request ids: only the latest abandoned ids are kept") {
    http::OpenRequestIds ids;
    for (std::size_t i = 0; i <= http::OpenRequestIds::kMaxAbandoned; ++i)
        ids.abandon(std::to_string(i), 100);
    CHECK(!ids.isOpen("0", 0));
    CHECK(ids.isOpen("1", 0));
    CHECK(ids.isOpen(std::to_string(http::OpenRequestIds::kMaxAbandoned), 0));
}
