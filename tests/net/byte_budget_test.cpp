// Tests of the memory budget of message bodies.
#include "net/byte_budget.h"

#include <doctest/doctest.h>

#include <optional>

using namespace wingproxy;

TEST_CASE("byte budget: a reservation counts until its last copy is destroyed") {
    net::ByteBudget budget(100);
    auto first = budget.reserve(60);
    auto copy = first;
    first = nullptr;
    CHECK(budget.reservedBytes() == 60);
    copy = nullptr;
    CHECK(budget.reservedBytes() == 0);
}

TEST_CASE("byte budget: a reservation that does not fit fails and reserves nothing") {
    net::ByteBudget budget(100);
    const auto first = budget.reserve(60);
    CHECK(budget.reserve(41) == nullptr);
    CHECK(budget.reservedBytes() == 60);
    CHECK(budget.reserve(40) != nullptr);
}

TEST_CASE("byte budget: the limit itself fits, and one byte more does not") {
    net::ByteBudget budget(100);
    CHECK(budget.reserve(101) == nullptr);
    CHECK(budget.reserve(100) != nullptr);
}

TEST_CASE("byte budget: a reservation of zero bytes succeeds even when the budget is spent") {
    net::ByteBudget budget(10);
    const auto all = budget.reserve(10);
    CHECK(budget.reserve(0) != nullptr);
    CHECK(budget.reservedBytes() == 10);
}

TEST_CASE("byte budget: a size near the largest integer does not overflow the count") {
    net::ByteBudget budget(100);
    const auto first = budget.reserve(1);
    CHECK(budget.reserve(SIZE_MAX) == nullptr);
    CHECK(budget.reservedBytes() == 1);
}

TEST_CASE("byte budget: a reservation may outlive the budget") {
    std::optional<net::ByteBudget> budget(std::in_place, 100);
    auto reservation = budget->reserve(10);
    budget.reset();
    reservation = nullptr;  // the sanitizers report an access to the destroyed budget
    CHECK(reservation == nullptr);
}
