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
