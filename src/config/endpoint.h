/// \file
/// Network addresses in the notation of the configuration and of discovery.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace wingproxy::config {

/// An IPv4 address in dotted-decimal notation and a port. An optional address with port 0 is absent.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;
    /// Orders by the address as text, then by port; meant for equality and for ordered containers.
    // clang-tidy 14 mistakes the 0 of the defaulted comparison for a null pointer.
    auto operator<=>(const Endpoint&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Parses "ADDRESS:PORT".
/// \param field name of the field, for the error
/// \throws ConfigError if `text` is not an IPv4 address and a port
Endpoint parseEndpoint(std::string_view text, std::string_view field);

}  // namespace wingproxy::config
