/// \file
/// Network addresses as the configuration and discovery write them.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace wingproxy::config {

/// An IPv4 address in dotted form and a port. Port 0 of an optional address: there is none.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;
    /// Orders by the address as text, then by port; made for equality and for ordered containers.
    // clang-tidy 14 takes the 0 of the defaulted comparison for a null pointer.
    auto operator<=>(const Endpoint&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Reads "ADDRESS:PORT".
/// \param field names the text in the error
/// \throws ConfigError if `text` is no IPv4 address and port
Endpoint parseEndpoint(std::string_view text, std::string_view field);

}  // namespace wingproxy::config
