// Fills ring buffers with HTTP messages for the readers' tests.
#pragma once

#include <string>
#include <string_view>

#include "net/ring_buffer.h"

namespace wingproxy::test {

// Returns a ring that holds `text`, which must fit.
inline net::RingBuffer ringWith(std::string_view text, std::size_t capacity = 1024) {
    net::RingBuffer ring(capacity);
    ring.append(text);
    return ring;
}

}  // namespace wingproxy::test
