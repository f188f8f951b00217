/// \file
/// Why a request to discovery failed.
#pragma once

#include <string_view>

namespace wingproxy::net {

/// Why one request failed. In each case another request follows.
enum class DiscoveryError {
    ConnectFailed,
    TimedOut,          ///< no response in time, or its last byte came too late
    ConnectionLost,    ///< before the response was complete, or the response was invalid
    ResponseStalled,   ///< the response began and stopped half way
    UnexpectedStatus,  ///< other than 200; 503: discovery has too many requests
    MalformedList,
};

/// The error's text for log lines.
std::string_view describe(DiscoveryError error);

}  // namespace wingproxy::net
