/// \file
/// The endpoint list in the format of discovery's responses and of the configuration's "known".
#pragma once

#include <string_view>
#include <vector>

#include "config/endpoint.h"
#include "wingproxy/policy.h"

namespace wingproxy::config {

class JsonObject;

/// An endpoint list for the policy, and the addresses of its nodes, which the policy does not need.
struct AddressedEndpointList {
    EndpointList list;
    std::vector<Endpoint> addresses;  ///< parallel to list.nodes; empty for a removed node without an address
};

/// Parses one response of discovery.
/// \throws ConfigError if it is not a JSON object or one of its fields is missing or invalid
AddressedEndpointList parseEndpointList(std::string_view json);
/// Reads a list from an object of a document that is already parsed.
/// \throws ConfigError if a field is missing or invalid
AddressedEndpointList readEndpointList(const JsonObject& object);

}  // namespace wingproxy::config
