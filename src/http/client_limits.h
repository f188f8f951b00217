/// \file
/// Times and shares of the connection budget that hold for every client connection. Stateless.
///
/// They come from the platform's protocol and are the same for every customer, so no setting names them.
#pragma once

#include <chrono>
#include <cstddef>

namespace wingproxy::http {

/// A response is sent so long before the client's deadline: the way to the client takes less than 1 ms within
/// a data centre, and every deadline of the protocol is more than ten times this.
constexpr std::chrono::milliseconds kResponseTravelTime{3};

/// The Retry-After of a request that the front rejects itself because it is out of memory, out of connections
/// or stopping: soon, as no node's work has to end first.
constexpr std::chrono::milliseconds kOverloadRetryAfter{100};

/// A partly received request that has brought nothing for so long may be evicted for another client.
constexpr std::chrono::milliseconds kPartialRequestIdle{250};

/// A client that takes nothing more of its response, or sends nothing more of a long body, for so long is
/// disconnected: working clients pause for seconds at the most.
constexpr std::chrono::seconds kStalledClientTimeout{30};

/// A client that was answered before its body was complete may go on sending for so long.
constexpr std::chrono::seconds kUnreadBodyLinger{10};

/// How long a connection may stay open between requests.
/// \param hasSentRequest a connection without any request may be closed after 2 s, by the protocol
/// \param crowded see `isCrowded`
std::chrono::seconds idleTimeout(bool hasSentRequest, bool crowded);

/// Whether a partly received request has taken too long: the slowest clients take 2 s for a head, and send a
/// body at four times the minimum rate of 16 KiB/s. With the sweep interval it ends within 3 s.
/// \param age since its first byte
/// \param sinceLastByte since its latest byte
/// \param bodyBytes received so far
bool isRequestOverdue(std::chrono::steady_clock::duration age,
                      std::chrono::steady_clock::duration sinceLastByte, std::size_t bodyBytes);

/// Above 25% of the connection budget, idle keep-alive connections are closed after 2 s, so that new clients
/// can connect: clients that keep a connection after one request would use up the budget.
inline bool isCrowded(std::size_t connections, std::size_t capacity) { return connections * 4 > capacity; }

/// Above 50% of the connection budget, each response closes its connection.
inline bool isHalfFull(std::size_t connections, std::size_t capacity) { return connections * 2 > capacity; }

/// How many of the open connections are kept without a waiting request while no new ones can be opened: a
/// third, and 4 at the least. A client that finds all of its connections busy takes the front for dead.
std::size_t reservedConnections(std::size_t connections);

}  // namespace wingproxy::http
