#include "core/counters.h"

#include <doctest/doctest.h>

using namespace wingproxy::core;

TEST_CASE("counters: the total adds the final answers of all classes") {
    Counters counters;
    counters.byClass = {{1, 2, 3}, {10, 20, 30}};
    const ResponseCounts total = counters.total();
    CHECK(total.delivered == 11);
    CHECK(total.rejected == 22);
    CHECK(total.failed == 33);
}
