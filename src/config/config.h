/// \file
/// The configuration file of a front, decoded into plain values. The program reads it at its start and again
/// on SIGHUP. No other module sees the file's format.
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
    std::string name;                       ///< this front's name, in logs and in the names of its files
    Endpoint listen;                        ///< for clients
    Endpoint discovery;                     ///< where the endpoint list comes from
    Settings settings;                      ///< of the policy
    AddressedEndpointList cachedEndpoints;  ///< of an earlier run; its kind is Cached
    std::vector<Endpoint> peers;            ///< by host index, this host included
    Endpoint peerListen;                    ///< for messages of peers
    Endpoint peerBroadcast;                 ///< address that reaches every peer
    Endpoint adminListen;                   ///< for operators
    int inheritedListenerFd = -1;           ///< a descriptor that already listens for clients; -1: none
    int maxDescriptors = 1024;       ///< that the process may open; the system's own limit may be lower
    int memoryMb = 192;              ///< memory that the process may use, in MiB
    Micros connIdleUs = 30'000'000;  ///< after which an unused connection to a node is closed
};

/// Reads a configuration.
/// \throws ConfigError for the first field that is missing or wrong
Config parseConfig(std::string_view json);

/// Adds what the environment says.
/// \param adminListen value of PROXY_MGMT, which counts where the file has no such address; null if not set
/// \param listenerFd value of PROXY_FD; null if not set
/// \throws ConfigError if one of them is malformed
void applyEnvironment(Config& config, const char* adminListen, const char* listenerFd);

/// The index of the class or plan with this name, if there is one.
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
