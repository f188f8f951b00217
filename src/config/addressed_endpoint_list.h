/// \file
/// The endpoint list as discovery sends it and as the configuration's "known" holds it.
#pragma once

#include <string_view>
#include <vector>

#include "config/endpoint.h"
#include "wingproxy/policy.h"

namespace wingproxy::config {

class JsonObject;

/// An endpoint list for the policy, and the address of each node, which the policy does not need.
struct AddressedEndpointList {
    EndpointList list;
    std::vector<Endpoint> addresses;  ///< parallel to list.nodes; empty for a removed node without an address
};

/// Reads one answer of discovery.
/// \throws ConfigError if it is no JSON or a field of it is wrong
AddressedEndpointList parseEndpointList(std::string_view json);
/// As above, from an object of a document that is already parsed.
AddressedEndpointList readEndpointList(const JsonObject& object);

}  // namespace wingproxy::config
