/// \file
/// What is still to be written to a connection: text first, then what a source produces as the ring buffer
/// drains. Owns the text; the ring is the connection's.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "net/ring_buffer.h"

namespace wingproxy::net {

/// A queue of output in front of a ring buffer.
class PendingOutput {
public:
    /// Appends bytes to the ring, as far as it has them and they fit. May call any member of the queue.
    using Source = std::function<void(RingBuffer& out)>;

    /// Adds text behind the text that is pending.
    void append(std::string_view text);
    /// From now on `source` is asked whenever the ring has free space and no text is pending.
    void setSource(Source source) { source_ = std::move(source); }
    /// The source will produce no more.
    void clearSource() { source_ = nullptr; }
    /// Moves as much as fits to `out`.
    void fill(RingBuffer& out);
    /// Whether neither text nor a source is left.
    bool empty() const { return text_.empty() && !source_; }

private:
    std::string text_;
    std::size_t moved_ = 0;  // bytes of the text that are in the ring
    Source source_;
};

}  // namespace wingproxy::net
