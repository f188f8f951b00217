/// \file
/// Timeouts of client connections and thresholds of the connection budget. Stateless.
///
/// The platform's protocol defines them for all customers, so they are not configurable.
#pragma once

#include <chrono>
#include <cstddef>

namespace wingproxy::http {

/// A response is sent at least this long before the client's deadline: the transit within a data centre takes
/// less than 1 ms, and every deadline of the protocol is more than ten times this.
constexpr std::chrono::milliseconds kResponseTransitTime{3};

/// The Retry-After of a request that the front rejects itself because it is out of memory, out of connections
/// or stopping: short, as the client does not have to wait for a node to finish other work.
constexpr std::chrono::milliseconds kOverloadRetryAfter{100};

/// A connection with a partly received request may be evicted for a new client once no byte has arrived for
/// this long, and a request whose streamed body has stopped for this long may be rejected when another one
/// needs its memory. A connection without a request that is younger than this is evicted last.
constexpr std::chrono::milliseconds kPartialRequestIdle{250};

/// A client that reads no further byte of its response, or sends no further byte of a streamed body, for this
/// long is disconnected: working clients pause for a few seconds at most.
constexpr std::chrono::seconds kStalledClientTimeout{30};

/// An attempt whose node takes no further byte of a streamed body for this long is stopped, even if the
/// client has not sent its last byte.
constexpr std::chrono::seconds kStalledNodeTimeout{30};

/// How long a client may go on sending its body after it has received its response.
constexpr std::chrono::seconds kUnreadBodyLinger{10};

/// How long a connection may stay open between requests.
/// \param hasSentRequest the protocol allows closing a connection without any request after 2 s
/// \param shortened see `isKeepAliveShortened`
std::chrono::seconds idleTimeout(bool hasSentRequest, bool shortened);

/// Whether a partly received request has exceeded its time: 2.7 s, which body bytes extend at the minimum
/// rate of 16 KiB/s. The slowest clients take 2 s for a head and send a body at four times that rate. With
/// the sweep interval, a request that stalls is rejected within 3 s.
/// \param age time since its first byte
/// \param sinceLastByte time since its latest byte, at most 2.7 s
/// \param bodyBytes body bytes received so far
bool isRequestOverdue(std::chrono::steady_clock::duration age,
                      std::chrono::steady_clock::duration sinceLastByte, std::size_t bodyBytes);

/// Above 25% of the connection budget, idle keep-alive connections are closed after 2 s, so that new clients
/// can connect: clients that keep a connection open after one request would exhaust the budget.
inline bool isKeepAliveShortened(std::size_t connections, std::size_t capacity) {
    return connections * 4 > capacity;
}

/// Above 50% of the connection budget, every response closes its connection.
inline bool isKeepAliveDisabled(std::size_t connections, std::size_t capacity) {
    return connections * 2 > capacity;
}

/// How many open connections are kept free of waiting requests while clients cannot open new ones: a third,
/// and at least 4. A client whose connections are all busy treats the front as dead.
std::size_t reservedConnections(std::size_t connections);

}  // namespace wingproxy::http
