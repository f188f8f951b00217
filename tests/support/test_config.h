/// \file
/// The configuration that tests start from, tests/support/config.json, and changes to its text.
#pragma once

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstdint>
#include <string>

#include "config/config.h"

namespace wingproxy::test {

/// The file with the configuration.
inline std::string testConfigPath() { return std::string(WINGPROXY_SOURCE) + "/tests/support/config.json"; }

/// The configuration as text: a valid one of a front without peers and known nodes.
inline std::string testConfigText() { return config::readFile(testConfigPath()); }

/// The configuration as the program reads it.
inline config::Config testConfig() { return config::parseConfig(testConfigText()); }

/// `text` with the first `from` in it replaced, which must be there.
inline std::string replaced(std::string text, const std::string& from, const std::string& to) {
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

/// A configuration as text that knows one node, "s-0" of cell 0, at `address`.
/// \param config one without known nodes
inline std::string withKnownNode(const std::string& config, const config::Endpoint& address) {
    return replaced(config, R"("instances":[])",
                    fmt::format(R"("instances":[{{"instanceId":"s-0","hostPort":"{}:{}","zone":"z","cell":0,)"
                                R"("lifecycle":"up","weight":1.0,"startedAtMs":0}}])",
                                address.host, address.port));
}

/// A configuration as text whose front listens for clients at a port of 127.0.0.1.
/// \param config one whose front listens at port 0
inline std::string withClientPort(const std::string& config, std::uint16_t port) {
    return replaced(config, R"("127.0.0.1:0")", fmt::format(R"("127.0.0.1:{}")", port));
}

}  // namespace wingproxy::test
