/// \file
/// Output that is still to be written to a connection: text first, then what a source produces as the ring
/// buffer drains. Owns the text; the connection owns the ring.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "net/ring_buffer.h"

namespace wingproxy::net {

/// A queue of output in front of a ring buffer.
class PendingOutput {
public:
    /// Appends as many bytes to the ring as it has and as fit. May call any member of the queue.
    using Source = std::function<void(RingBuffer& out)>;

    /// Appends text to the pending text.
    void append(std::string_view text);
    /// From now on each fill() calls `source` once no text is pending any more.
    void setSource(Source source) { source_ = std::move(source); }
    /// Removes the source, which has no more output.
    void clearSource() { source_ = nullptr; }
    /// Moves as much output to `out` as fits.
    void fill(RingBuffer& out);
    /// Whether neither text nor a source is left.
    bool empty() const { return text_.empty() && !source_; }

private:
    std::string text_;
    std::size_t moved_ = 0;  // number of bytes of text_ that were moved to the ring
    Source source_;
};

}  // namespace wingproxy::net
