#include "http/client_limits.h"

#include <algorithm>

namespace wingproxy::http {
namespace {

constexpr std::chrono::seconds kFirstRequestTimeout{2};
constexpr std::chrono::seconds kKeepAliveTimeout{60};
constexpr std::chrono::milliseconds kHeadTimeout{2'700};
constexpr std::size_t kMinBodyBytesPerSecond = std::size_t{16} * 1024;
constexpr std::size_t kReservedConnectionsDivisor = 3;
constexpr std::size_t kMinReservedConnections = 4;

}  // namespace

std::chrono::seconds idleTimeout(bool hasSentRequest, bool shortened) {
    return hasSentRequest && !shortened ? kKeepAliveTimeout : kFirstRequestTimeout;
}

bool isRequestOverdue(std::chrono::steady_clock::duration age,
                      std::chrono::steady_clock::duration sinceLastByte, std::size_t bodyBytes) {
    const std::chrono::milliseconds bodyAllowance(1000 * bodyBytes / kMinBodyBytesPerSecond);
    return age >= kHeadTimeout + bodyAllowance || sinceLastByte >= kHeadTimeout;
}

std::size_t reservedConnections(std::size_t connections) {
    return std::max(connections / kReservedConnectionsDivisor, kMinReservedConnections);
}

}  // namespace wingproxy::http
