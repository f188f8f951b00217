/// \file
/// The default configuration of the tests, tests/support/config.json, and functions that change its text.
#pragma once

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstdint>
#include <string>

#include "config/config.h"

namespace wingproxy::test {

/// The path of the configuration file.
inline std::string testConfigPath() { return std::string(WINGPROXY_SOURCE) + "/tests/support/config.json"; }

/// The text of the configuration: a valid one, of a front without peers and known nodes.
inline std::string testConfigText() { return config::readFile(testConfigPath()); }

/// The parsed configuration.
inline config::Config testConfig() { return config::parseConfig(testConfigText()); }

/// `text` with the first occurrence of `from` replaced; the test fails if there is none.
inline std::string replaced(std::string text, const std::string& from, const std::string& to) {
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

/// The text of `config` with one known node, "s-0" of cell 0, at `address`.
/// \param config text of a configuration without known nodes
inline std::string withKnownNode(const std::string& config, const config::Endpoint& address) {
    return replaced(config, R"("instances":[])",
                    fmt::format(R"("instances":[{{"instanceId":"s-0","hostPort":"{}:{}","zone":"z","cell":0,)"
                                R"("lifecycle":"up","weight":1.0,"startedAtMs":0}}])",
                                address.host, address.port));
}

/// The text of `config` with `port` of 127.0.0.1 as the listener's address.
/// \param config text of a configuration whose front listens on port 0 of 127.0.0.1
inline std::string withClientPort(const std::string& config, std::uint16_t port) {
    return replaced(config, R"("127.0.0.1:0")", fmt::format(R"("127.0.0.1:{}")", port));
}

}  // namespace wingproxy::test
