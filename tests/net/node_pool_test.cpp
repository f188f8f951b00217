// Tests of the node pool at its limit, where no socket is opened.
#include "net/node_pool.h"

#include <doctest/doctest.h>

#include <optional>

using namespace wingproxy;

namespace {

constexpr net::NodePool::Limits kNoConnections{.maxConnections = 0};

struct FullPool {
    std::shared_ptr<net::NodePool::Acquisition> acquire() {
        return pool.acquire({"127.0.0.1", 9},
                            [this](std::shared_ptr<net::Connection> connection) { result = connection; });
    }

    boost::asio::io_context io;
    net::NodePool pool{io, kNoConnections};
    std::optional<std::shared_ptr<net::Connection>> result;  // empty until onAcquired is called
};

}  // namespace

TEST_CASE("node pool: at its limit and without an idle connection an acquisition fails, on a later turn") {
    FullPool full;
    const auto acquisition = full.acquire();
    CHECK(!full.result.has_value());
    full.io.poll();
    REQUIRE(full.result.has_value());
    CHECK(*full.result == nullptr);
    CHECK(full.pool.openConnections() == 0);
    CHECK(full.pool.opened() == 0);
}

TEST_CASE("node pool: a destroyed acquisition does not call back") {
    FullPool full;
    full.acquire().reset();
    full.io.poll();
    CHECK(!full.result.has_value());
}
