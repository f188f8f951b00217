/// \file
/// Until when the response of a request has to be sent. A value without a timer; times are those of the
/// engine's clock, in microseconds.
#pragma once

#include <algorithm>

#include "http/client_limits.h"
#include "net/clock.h"

namespace wingproxy::http {

/// The deadline of one request, which moves on while its body is received.
///
/// A client's timeout runs from the last byte of its request, which may wait in the system's buffers before
/// it is read here. Certain is only that this byte had not been sent when the socket was last read empty, so
/// the timeout counts from then.
class ResponseDeadline {
public:
    ResponseDeadline() = default;

    /// \param now when the request was submitted to the engine
    /// \param clientTimeoutUs how long the client waits; the time that the response travels is kept free
    ResponseDeadline(Micros now, Micros clientTimeoutUs)
        : countsFrom_(now),
          timeoutUs_(std::max<Micros>(0, clientTimeoutUs - net::toMicros(kResponseTravelTime))) {}

    /// The client's socket was read empty: what comes later was not sent before.
    void onSocketDrained(Micros now) { countsFrom_ = now; }

    /// The deadline, if the last byte of the request has been received.
    Micros time() const { return countsFrom_ + timeoutUs_; }

private:
    Micros countsFrom_ = 0;
    Micros timeoutUs_ = 0;
};

}  // namespace wingproxy::http
