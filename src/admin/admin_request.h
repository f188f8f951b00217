/// \file
/// The operators' interface without its sockets: which request an HTTP message is, and what the response
/// says.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/reducer.h"

namespace wingproxy::admin {

/// The longest accepted body. Bodies are node ids, which are shorter.
inline constexpr std::size_t kMaxBodyBytes = 256;

/// An operator's request, whatever way it came.
struct AdminRequest {
    /// What is asked for, with its form on the HTTP interface.
    enum class Kind {
        CheckReadiness,  ///< GET /_ready
        ReadMetrics,     ///< GET /_vars
        DrainNode,       ///< POST /_chunk-servers/detach
        UndrainNode,     ///< POST /_chunk-servers/attach
    };
    Kind kind = Kind::CheckReadiness;
    std::string nodeId;  ///< as discovery names the node; empty unless requiresNodeId(kind)
};

/// Whether requests of this kind concern one node.
bool requiresNodeId(AdminRequest::Kind kind);

/// An HTTP response.
struct AdminResponse {
    int status = 200;
    std::string body;
    std::string headerLines;  ///< complete lines, each with its line break, beside the usual ones
};

/// The parts of an HTTP request.
struct HttpRequestParts {
    std::string method;
    std::string target;
    std::string body;
};

/// The HTTP request that `parseAdminRequest` reads as `request`. The two use one table of routes.
HttpRequestParts encodeAdminRequest(const AdminRequest& request);

/// Reads an HTTP request.
/// \param target path and query; the query is ignored
/// \return the request, or the response that rejects it: 400 without a node id, 404 for an unknown path,
///     405 for another method, 413 for a body beyond kMaxBodyBytes
std::variant<AdminRequest, AdminResponse> parseAdminRequest(std::string_view method, std::string_view target,
                                                            std::string_view body);

/// What `/_vars` shows, as it is at one moment.
struct AdminMetrics {
    std::vector<std::string> classNames;  ///< names, by class index
    core::Counters counters;
    std::size_t openRequests = 0;
    std::size_t listedNodes = 0;
    std::size_t avoidedNodes = 0;  ///< of the listed ones: drained, draining or ejected
};

/// The metrics as one JSON object and a line break.
std::string renderMetrics(const AdminMetrics& metrics);

/// The program's side of the interface. All functions must be set.
struct AdminHandler {
    /// Whether this process accepts requests.
    std::function<bool()> isReady;
    std::function<AdminMetrics()> metrics;
    /// Sets or ends the administrative drain of a node; false: no endpoint list ever had that node.
    std::function<bool(const std::string& nodeId, bool drained)> setAdminDrain;
};

/// Executes a request.
/// \return 200, or 503 if the program is not ready, or 404 if no list ever had the node
AdminResponse handleAdminRequest(const AdminRequest& request, const AdminHandler& handler);

}  // namespace wingproxy::admin
