// Tests of the list of objects that is ordered by their last activity.
#include "net/lru_list.h"

#include <doctest/doctest.h>

#include <string>

using namespace wingproxy;

namespace {

struct Named {
    std::string name;
};

struct ThreeItems {
    ThreeItems() {
        list.add(a);
        list.add(b);
        list.add(c);
    }
    std::string order() const {
        std::string names;
        for (const auto& item : list)
            names += item->name;
        return names;
    }

    std::shared_ptr<Named> a = std::make_shared<Named>(Named{"a"});
    std::shared_ptr<Named> b = std::make_shared<Named>(Named{"b"});
    std::shared_ptr<Named> c = std::make_shared<Named>(Named{"c"});
    net::LruList<Named> list;
};

}  // namespace

TEST_CASE("LRU list: an added item is the most recently active one") {
    ThreeItems items;
    CHECK(items.order() == "abc");
    CHECK(items.list.size() == 3);
    CHECK(items.list.front() == items.a);
}

TEST_CASE("LRU list: touching an item moves it to the end") {
    ThreeItems items;
    items.list.touch(*items.a);
    CHECK(items.order() == "bca");
    items.list.touch(*items.a);
    CHECK(items.order() == "bca");
}

TEST_CASE("LRU list: a removed item is released, and the others keep their order") {
    ThreeItems items;
    const std::weak_ptr<Named> watched = items.b;
    items.list.remove(*items.b);
    items.b = nullptr;
    CHECK(watched.expired());
    CHECK(items.order() == "ac");
}

TEST_CASE("LRU list: an item that is not in the list is ignored") {
    ThreeItems items;
    const Named other{"other"};
    items.list.touch(other);
    items.list.remove(other);
    CHECK(items.order() == "abc");
}

TEST_CASE("LRU list: an item may be removed while an iterator points to the next one") {
    ThreeItems items;
    std::string visited;
    for (auto it = items.list.begin(); it != items.list.end();) {
        const auto item = *it;
        ++it;
        visited += item->name;
        items.list.remove(*item);
    }
    CHECK(visited == "abc");
    CHECK(items.list.empty());
}
