// The admin interface without I/O: parsing and encoding of requests, and the responses.
#include "admin/admin_request.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

using namespace wingproxy;
using admin::AdminRequest;
using admin::AdminResponse;

namespace {

/// \return the response that rejects the HTTP request, or status 0 if it is not rejected
AdminResponse rejectionOf(std::string_view method, std::string_view target, std::string_view body = "") {
    const auto parsed = admin::parseAdminRequest(method, target, body);
    if (const auto* rejection = std::get_if<AdminResponse>(&parsed)) return *rejection;
    return {0, "", ""};
}

/// A front that knows node "s-1" and records the last change of a drain.
struct FakeFront {
    admin::AdminHandler handler() {
        return {[this] { return ready; }, [] { return admin::AdminMetrics{}; },
                [this](const std::string& nodeId, bool drain) {
                    drained = drain;
                    return nodeId == "s-1";
                }};
    }
    bool ready = true;
    bool drained = false;
};

}  // namespace

TEST_CASE("admin request: each kind is encoded and parsed back") {
    for (const auto kind : {AdminRequest::Kind::CheckReadiness, AdminRequest::Kind::ReadMetrics,
                            AdminRequest::Kind::DrainNode, AdminRequest::Kind::UndrainNode}) {
        const std::string nodeId = admin::requiresNodeId(kind) ? "s-1" : "";
        const auto encoded = admin::encodeAdminRequest({kind, nodeId});
        const auto parsed =
            std::get<AdminRequest>(admin::parseAdminRequest(encoded.method, encoded.target, encoded.body));
        CHECK(parsed.kind == kind);
        CHECK(parsed.nodeId == nodeId);
    }
}

TEST_CASE("admin request: a query is ignored and white space around a node id is dropped") {
    CHECK(rejectionOf("GET", "/_ready?verbose").status == 0);
    const auto parsed = admin::parseAdminRequest("POST", "/_chunk-servers/detach", " s-1\r\n");
    CHECK(std::get<AdminRequest>(parsed).nodeId == "s-1");
}

TEST_CASE("admin request: an invalid request is rejected with the status for its error") {
    CHECK(rejectionOf("GET", "/").status == 404);
    CHECK(rejectionOf("POST", "/_ready").status == 405);
    CHECK(rejectionOf("POST", "/_ready").headerLines == "Allow: GET\r\n");
    CHECK(rejectionOf("POST", "/_chunk-servers/detach", " \r\n").status == 400);
    CHECK(rejectionOf("POST", "/_chunk-servers/detach", std::string(257, 'a')).status == 413);
    CHECK(rejectionOf("POST", "/_chunk-servers/detach", std::string(256, 'a')).status == 0);
}

TEST_CASE("admin request: readiness is reported as status 200 or 503") {
    FakeFront front;
    CHECK(admin::handleAdminRequest({AdminRequest::Kind::CheckReadiness, ""}, front.handler()).status == 200);
    front.ready = false;
    CHECK(admin::handleAdminRequest({AdminRequest::Kind::CheckReadiness, ""}, front.handler()).status == 503);
}

TEST_CASE("admin request: a drain begins and ends for a known node") {
    FakeFront front;
    const auto drain = admin::handleAdminRequest({AdminRequest::Kind::DrainNode, "s-1"}, front.handler());
    CHECK(drain.status == 200);
    CHECK(drain.body == "s-1: out until it is attached\n");
    CHECK(front.drained);
    const auto undrain = admin::handleAdminRequest({AdminRequest::Kind::UndrainNode, "s-1"}, front.handler());
    CHECK(undrain.body == "s-1: back\n");
    CHECK(!front.drained);
    const auto unknown = admin::handleAdminRequest({AdminRequest::Kind::DrainNode, "s-9"}, front.handler());
    CHECK(unknown.status == 404);
}

TEST_CASE("admin metrics: the counters have the keys that the platform defines") {
    admin::AdminMetrics metrics;
    metrics.classNames = {"read", "write"};
    metrics.counters.byClass.resize(3);  // the last one counts requests without a class
    metrics.counters.byClass[0].delivered = 1;
    metrics.counters.byClass[0].rejected = 2;
    metrics.counters.byClass[1].failed = 3;
    metrics.counters.requestsSent = 4;
    metrics.openRequests = 5;
    metrics.listedNodes = 6;
    metrics.avoidedNodes = 7;
    const auto text = admin::renderMetrics(metrics);
    CHECK(text.ends_with("}\n"));
    CHECK(nlohmann::json::parse(text) == nlohmann::json{{"fulfilled", {{"read", 1}, {"write", 0}}},
                                                        {"throttled", {{"read", 2}, {"write", 0}}},
                                                        {"faulted", {{"read", 0}, {"write", 3}}},
                                                        {"relayed", 4},
                                                        {"open_requests", 5},
                                                        {"registry_entries", 6},
                                                        {"out_of_rotation", 7}});
}
