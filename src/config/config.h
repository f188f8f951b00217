/// \file
/// The configuration file of a front, decoded into plain values. The program reads it at startup and again on
/// SIGHUP. No other module depends on the file's format.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "config/addressed_endpoint_list.h"
#include "config/config_error.h"
#include "config/endpoint.h"
#include "wingproxy/policy.h"

namespace wingproxy::config {

/// One configuration. An endpoint with port 0 is absent.
struct Config {
    std::string name;                       ///< this front's name, in logs and in hot restart snapshots
    Endpoint listen;                        ///< where clients connect
    Endpoint discovery;                     ///< where the endpoint list is fetched
    Settings settings;                      ///< of the policy
    AddressedEndpointList cachedEndpoints;  ///< known from an earlier run; the list's kind is Cached
    std::vector<Endpoint> peers;            ///< by host index, this host included
    Endpoint peerListen;                    ///< where messages of peers arrive
    Endpoint peerBroadcast;                 ///< address that reaches every peer
    Endpoint adminListen;                   ///< where admin requests arrive
    int inheritedListenerFd = -1;           ///< socket that already listens for clients; -1: none
    int maxDescriptors = 1024;              ///< most open descriptors; the system's own limit may be lower
    int memoryMb = 192;                     ///< memory that the process may use, in MiB
    /// Idle timeout of connections to nodes; this front closes them after half of it.
    Micros connIdleUs = 30'000'000;
};

/// Parses the text of a configuration file.
/// \throws ConfigError for the first field that is missing or wrong
Config parseConfig(std::string_view json);

/// Applies the environment variables that supplement the file.
/// \param adminListen value of PROXY_MGMT, used only if the file has no admin address; null if not set
/// \param listenerFd value of PROXY_FD; null if not set
/// \throws ConfigError if one of them is malformed
void applyEnvironment(Config& config, const char* adminListen, const char* listenerFd);

/// The index of the class or plan with this name; none if the list does not have it.
/// \tparam IndexType `ClassIndex` or `PlanIndex`
template <typename IndexType, typename List>
IndexType indexOf(const List& list, std::string_view name) {
    const auto found =
        std::find_if(list.begin(), list.end(), [&](const auto& item) { return item.name == name; });
    return found == list.end() ? IndexType() : IndexType(static_cast<int>(found - list.begin()));
}

/// The whole content of a file.
/// \throws ConfigError if it cannot be read
std::string readFile(const std::string& path);

}  // namespace wingproxy::config
