#include "net/discovery_error.h"

namespace wingproxy::net {

std::string_view describe(DiscoveryError error) {
    switch (error) {
        case DiscoveryError::ConnectFailed:
            return "could not connect";
        case DiscoveryError::TimedOut:
            return "timed out";
        case DiscoveryError::ConnectionLost:
            return "connection lost";
        case DiscoveryError::ResponseStalled:
            return "response stalled";
        case DiscoveryError::UnexpectedStatus:
            return "status other than 200";
        case DiscoveryError::MalformedList:
            return "malformed endpoint list";
    }
    return "unknown error";
}

}  // namespace wingproxy::net
