#include "config/config.h"

#include <fmt/format.h>

#include <cstdint>
#include <fstream>
#include <sstream>

#include "config/json_object.h"
#include "config/parse_number.h"
#include "config/settings_reader.h"

namespace wingproxy::config {
namespace {

/// With fewer descriptors the listeners, discovery and the log would leave none for clients.
constexpr int kMinDescriptors = 32;
constexpr int kMinMemoryMb = 16;
/// Descriptors 0 to 2 are the standard streams.
constexpr int kFirstInheritableFd = 3;

Endpoint readEndpoint(const JsonObject& root, std::string_view key) {
    return parseEndpoint(root.text(key), key);
}

void readOptionalEndpoint(const JsonObject& root, std::string_view key, Endpoint& into) {
    if (root.has(key)) into = readEndpoint(root, key);
}

std::uint64_t readSeed(const JsonObject& root) {
    const auto seed = parseHexadecimal<std::uint64_t>(root.text("seed"));
    if (!seed) root.fail("seed", "not a 64-bit hexadecimal number");
    return *seed;
}

std::vector<Endpoint> readPeers(const JsonObject& root) {
    std::vector<Endpoint> peers;
    if (!root.has("peers")) return peers;
    for (const auto& peer : root.texts("peers"))
        peers.push_back(parseEndpoint(peer, "peers"));
    return peers;
}

void readLimits(const JsonObject& root, Config& config) {
    if (!root.has("limits")) return;
    const auto limits = root.child("limits");
    limits.number("sockets", config.maxDescriptors);
    if (config.maxDescriptors < kMinDescriptors)
        limits.fail("sockets",
                    fmt::format("{} is below the minimum of {}", config.maxDescriptors, kMinDescriptors));
    limits.number("memory_mb", config.memoryMb);
    if (config.memoryMb < kMinMemoryMb)
        limits.fail("memory_mb", fmt::format("{} is below the minimum of {}", config.memoryMb, kMinMemoryMb));
}

/// The list's kind is always Cached, whatever the file says: endpoints of an earlier run may be outdated.
AddressedEndpointList readCachedEndpoints(const JsonObject& root) {
    AddressedEndpointList cached;
    if (root.has("known")) cached = readEndpointList(root.child("known"));
    cached.list.kind = EndpointListKind::Cached;
    return cached;
}

}  // namespace

Config parseConfig(std::string_view json) {
    simdjson::dom::parser parser;
    const auto root = parseJsonObject(parser, json, "config");
    Config config;
    config.name = root.text("name");
    config.listen = readEndpoint(root, "listen");
    config.discovery = readEndpoint(root, "discovery");
    config.settings = readSettings(root.child("settings"));
    config.settings.seed = readSeed(root);
    config.peers = readPeers(root);
    readOptionalEndpoint(root, "peer_listen", config.peerListen);
    readOptionalEndpoint(root, "peers_all", config.peerBroadcast);
    readOptionalEndpoint(root, "mgmt", config.adminListen);
    readLimits(root, config);
    config.cachedEndpoints = readCachedEndpoints(root);
    const auto allowed = root.child("settings").child("allowed");
    allowed.number("connIdleUs", config.connIdleUs);
    return config;
}

void applyEnvironment(Config& config, const char* adminListen, const char* listenerFd) {
    if (adminListen && config.adminListen.port == 0)
        config.adminListen = parseEndpoint(adminListen, "PROXY_MGMT");
    if (!listenerFd) return;
    const auto descriptor = parseNumber<int>(listenerFd);
    if (!descriptor || *descriptor < kFirstInheritableFd)
        throw ConfigError("PROXY_FD", fmt::format("'{}' is not a descriptor above 2", listenerFd));
    config.inheritedListenerFd = *descriptor;
}

std::string readFile(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    if (!file || !(content << file.rdbuf())) throw ConfigError(path, "cannot be read");
    return content.str();
}

}  // namespace wingproxy::config
