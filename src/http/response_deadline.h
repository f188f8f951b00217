/// \file
/// The time by which the response to a request has to be sent. A plain value: it starts no timer. Times are
/// on the engine's clock, in microseconds.
#pragma once

#include <algorithm>

#include "http/client_limits.h"
#include "net/clock.h"

namespace wingproxy::http {

/// The deadline of one request, which is extended while its body is received.
///
/// A client's timeout starts when it sends the last byte of its request. That byte may wait in the kernel's
/// buffers before it is read. It is only certain that it had not arrived when the socket was last read empty,
/// so the timeout is counted from then.
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

    /// The deadline, provided that the last byte of the request has been received.
    Micros time() const { return startsAt_ + timeoutUs_; }

private:
    Micros startsAt_ = 0;
    Micros timeoutUs_ = 0;
};

}  // namespace wingproxy::http
