/// \file
/// Why a request to discovery failed.
#pragma once

#include <string_view>

namespace wingproxy::net {

/// What went wrong with one request; the next one follows in each case.
enum class DiscoveryError {
    ConnectFailed,
    TimedOut,
    ConnectionLost,    ///< before the response was complete, or the response was invalid
    UnexpectedStatus,  ///< other than 200; 503: discovery has too many requests
    MalformedList,
};

/// The text for log lines.
std::string_view describe(DiscoveryError error);

}  // namespace wingproxy::net
