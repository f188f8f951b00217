#include "config/endpoint.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>

#include "config/config_error.h"
#include "config/parse_number.h"

namespace wingproxy::config {
namespace {

bool isIpv4Address(std::string_view text) {
    constexpr int kOctets = 4;
    int octets = 0;
    for (std::size_t begin = 0; begin <= text.size(); ++octets) {
        const auto end = std::min(text.find('.', begin), text.size());
        if (!parseNumber<std::uint8_t>(text.substr(begin, end - begin))) return false;
        begin = end + 1;
    }
    return octets == kOctets;
}

}  // namespace

Endpoint parseEndpoint(std::string_view text, std::string_view field) {
    const auto colon = text.rfind(':');
    if (colon != std::string_view::npos) {
        const auto host = text.substr(0, colon);
        const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
        if (port && isIpv4Address(host)) return {std::string(host), *port};
    }
    throw ConfigError(std::string(field), fmt::format("'{}' is not an IPv4 address and a port", text));
}

}  // namespace wingproxy::config
