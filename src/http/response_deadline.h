/// \file
/// The time by which the response to a request has to be sent. A plain value: it starts no timer. Times are
/// on the engine's clock, in microseconds.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "http/client_limits.h"
#include "net/clock.h"

namespace wingproxy::http {

/// The deadline of one request, which is extended while its body is received.
///
/// A client's timeout starts when it sends the last byte of its request. That byte may wait in the kernel's
/// buffers before it is read. It is only certain that it had not arrived when the socket was last read empty,
/// or when fewer bytes had arrived than later, so the timeout is counted from then.
class ResponseDeadline {
public:
    ResponseDeadline() = default;

    /// \param now when the request was submitted to the engine
    /// \param clientTimeoutUs how long the client waits; `kResponseTransitTime` is subtracted
    ResponseDeadline(Micros now, Micros clientTimeoutUs)
        : startsAt_(now),
          timeoutUs_(std::max<Micros>(0, clientTimeoutUs - net::toMicros(kResponseTransitTime))) {}

    /// Called when the client's socket was read empty, which restarts the timeout.
    void onSocketDrained(Micros now) { startsAt_ = now; }

    /// Called repeatedly while the body is received. If more bytes have arrived since the last call, the last
    /// byte of the request had not arrived at that time.
    /// \param bytes that have arrived on the connection so far, including those that were not read yet
    void onArrived(std::uint64_t bytes, Micros now) {
        if (observed_ && bytes > observed_->bytes) startsAt_ = std::max(startsAt_, observed_->at);
        observed_ = {bytes, now};
    }

    /// The deadline, provided that the last byte of the request has arrived.
    Micros time() const { return startsAt_ + timeoutUs_; }

private:
    struct Observation {
        std::uint64_t bytes = 0;
        Micros at = 0;
    };

    Micros startsAt_ = 0;
    Micros timeoutUs_ = 0;
    std::optional<Observation> observed_;
};

}  // namespace wingproxy::http
