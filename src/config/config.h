// The configuration, decoded once into plain values (simdjson stays inside config.cpp).
#pragma once

#include <algorithm>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::config {

// What is wrong, in one line that names the field.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Endpoint {
    std::string host;
    std::uint16_t port = 0;
    auto operator<=>(const Endpoint&) const = default;
};
Endpoint parseEndpoint(std::string_view text, std::string_view field);  // an IPv4 address and a port

// One list as discovery gives it: for the module, and where each node listens.
struct EndpointListing {
    EndpointList list;
    std::vector<Endpoint> addresses;  // beside list.nodes
};
EndpointListing parseEndpointListing(std::string_view json);

struct Config {
    std::string name;
    Endpoint listen, discovery;
    Settings settings;
    EndpointListing cachedEndpoints;  // kind Cached
    std::vector<Endpoint> peers;      // by host number, this one included
    Endpoint peerListen, peersAll;    // port 0: none
    Endpoint adminListen;             // where operators call; port 0: nowhere
    int inheritedListenerFd = -1;     // the descriptor that listens for clients already; -1: none
    int maxDescriptors = 1024, memoryMb = 192;
    Micros connectTimeoutUs = 250'000, connIdleUs = 30'000'000;
};
Config parseConfig(std::string_view json);
// What the environment says besides: PROXY_MGMT and PROXY_FD; null where it is not set.
void applyEnvironment(Config& c, const char* mgmt, const char* fd);
// The place of the class or plan with this name; -1: none.
template <typename List>
int indexOf(const List& list, std::string_view name) {
    const auto it =
        std::find_if(list.begin(), list.end(), [&](const auto& item) { return item.name == name; });
    return it == list.end() ? -1 : int(it - list.begin());
}
// The fields in which two configurations differ and that a running program does not take over.
std::string fieldsNeedingRestart(const Config& running, const Config& fresh);
std::string readFile(const std::string& path);

}  // namespace wingproxy::config
