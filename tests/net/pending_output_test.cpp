// Tests of the pending output of a ring buffer: text first, then a source.
#include "net/pending_output.h"

#include <doctest/doctest.h>

using namespace wingproxy;

namespace {

// Takes all bytes that the ring holds, as a write to the socket does.
std::string drain(net::RingBuffer& ring) {
    std::string text;
    for (const auto& part : ring.newest(ring.size()))
        text += part;
    ring.clear();
    return text;
}

}  // namespace

TEST_CASE("pending output: nothing is pending at the start") {
    net::RingBuffer ring(4);
    net::PendingOutput output;
    CHECK(output.empty());
    output.fill(ring);
    CHECK(ring.size() == 0);
}

TEST_CASE("pending output: text longer than the ring goes out in parts and in order") {
    net::RingBuffer ring(4);
    net::PendingOutput output;
    output.append("abcdef");
    output.fill(ring);
    CHECK(!output.empty());
    CHECK(drain(ring) == "abcd");
    output.fill(ring);
    CHECK(output.empty());
    CHECK(drain(ring) == "ef");
}

TEST_CASE("pending output: text that is appended to pending text follows it") {
    net::RingBuffer ring(4);
    net::PendingOutput output;
    output.append("abcdef");
    output.fill(ring);
    output.append("gh");
    CHECK(drain(ring) == "abcd");
    output.fill(ring);
    CHECK(drain(ring) == "efgh");
    CHECK(output.empty());
}

TEST_CASE("pending output: a source is called only when no text is pending") {
    net::RingBuffer ring(4);
    net::PendingOutput output;
    int calls = 0;
    output.append("abcdef");
    output.setSource([&calls](net::RingBuffer& out) {
        ++calls;
        out.append("X");
    });
    output.fill(ring);
    CHECK(calls == 0);
    CHECK(drain(ring) == "abcd");
    output.fill(ring);
    CHECK(calls == 1);
    CHECK(drain(ring) == "efX");
}

TEST_CASE("pending output: it is not empty while a source may produce more") {
    net::PendingOutput output;
    output.setSource([](net::RingBuffer&) {});
    CHECK(!output.empty());
    output.clearSource();
    CHECK(output.empty());
}

TEST_CASE("pending output: a source may remove itself while it is called") {
    net::RingBuffer ring(4);
    net::PendingOutput output;
    output.setSource([&output](net::RingBuffer& out) {
        output.clearSource();
        out.append("end");
    });
    output.fill(ring);
    CHECK(output.empty());
    CHECK(drain(ring) == "end");
}
