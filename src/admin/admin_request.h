/// \file
/// The admin interface without I/O: parses and encodes HTTP requests, executes them, and renders responses.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/reducer.h"

namespace wingproxy::admin {

/// The longest accepted body. A body is a node id, which is shorter.
inline constexpr std::size_t kMaxBodyBytes = 256;

/// An operator's request, independent of its encoding.
struct AdminRequest {
    /// The kinds of requests, with their HTTP method and path.
    enum class Kind {
        CheckReadiness,  ///< GET /_ready
        ReadMetrics,     ///< GET /_vars
        DrainNode,       ///< POST /_chunk-servers/detach
        UndrainNode,     ///< POST /_chunk-servers/attach
    };
    Kind kind = Kind::CheckReadiness;
    std::string nodeId;  ///< the node's id in discovery; empty unless requiresNodeId(kind)
};

/// Whether a request of this kind refers to one node, by its id.
bool requiresNodeId(AdminRequest::Kind kind);

/// An HTTP response.
struct AdminResponse {
    int status = 200;
    std::string body;
    std::string headerLines;  ///< additional header fields: complete lines, each ending with CRLF
};

/// The parts of an HTTP request.
struct HttpRequestParts {
    std::string method;
    std::string target;
    std::string body;
};

/// Encodes an HTTP request, the inverse of `parseAdminRequest`. Both use the same table of routes.
HttpRequestParts encodeAdminRequest(const AdminRequest& request);

/// Parses an HTTP request.
/// \param target path and query; the query is ignored
/// \return the request, or the response that rejects it: 400 without a node id, 404 for an unknown path,
///     405 for a wrong method, 413 for a body of more than kMaxBodyBytes
std::variant<AdminRequest, AdminResponse> parseAdminRequest(std::string_view method, std::string_view target,
                                                            std::string_view body);

/// A snapshot of the values that `/_vars` returns.
struct AdminMetrics {
    std::vector<std::string> classNames;  ///< by class index
    core::Counters counters;
    std::size_t openRequests = 0;
    std::size_t listedNodes = 0;
    std::size_t avoidedNodes = 0;  ///< listed nodes that are drained, draining or ejected
};

/// \return the metrics as one JSON object, followed by a line break
std::string renderMetrics(const AdminMetrics& metrics);

/// The callbacks that execute requests. All must be set.
struct AdminHandler {
    /// Whether this process accepts requests.
    std::function<bool()> isReady;
    /// The current metrics.
    std::function<AdminMetrics()> metrics;
    /// Starts or ends the administrative drain of a node. Returns false if no endpoint list ever had the
    /// node.
    std::function<bool(const std::string& nodeId, bool drained)> setAdminDrain;
};

/// Executes a request.
/// \return status 200, 503 if the process is not ready, or 404 if no endpoint list ever had the node
AdminResponse handleAdminRequest(const AdminRequest& request, const AdminHandler& handler);

}  // namespace wingproxy::admin
