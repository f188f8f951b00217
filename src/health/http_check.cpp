#include "health/http_check.h"

#include <fmt/format.h>

#include <algorithm>

namespace wingproxy::health {
namespace {

struct RequestLine {
    std::string_view method;
    std::string_view path;  ///< without the query
    bool isHttp1 = false;
};

struct Response {
    int status;
    std::string_view reason;
    std::string_view body;
};

RequestLine parseRequestLine(std::string_view line) {
    RequestLine request;
    request.method = line.substr(0, line.find(' '));
    const auto afterMethod = line.substr(std::min(request.method.size() + 1, line.size()));
    request.path = afterMethod.substr(0, afterMethod.find_first_of(" ?"));
    request.isHttp1 = afterMethod.find("HTTP/1.") != std::string_view::npos;
    return request;
}

Response readiness(const GatewayStatus& status) {
    if (status.draining) return {503, "Service Unavailable", "draining"};
    if (!status.ready) return {503, "Service Unavailable", "no node is known"};
    return {200, "OK", "ready"};
}

Response respond(const RequestLine& request, const GatewayStatus& status) {
    if (!request.isHttp1) return {400, "Bad Request", "not HTTP/1"};
    if (request.method != "GET" && request.method != "HEAD")
        return {405, "Method Not Allowed", "GET or HEAD only"};
    if (request.path == "/live") return {200, "OK", "live"};
    if (request.path == "/ready") return readiness(status);
    return {404, "Not Found", "/live or /ready"};
}

std::string renderHeader(const Response& response) {
    const auto contentLength = response.body.size() + 1;  // including the end of line
    return fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        response.status, response.reason, contentLength);
}

}  // namespace

std::string renderHttpResponse(std::string_view requestLine, const GatewayStatus& status) {
    const auto request = parseRequestLine(requestLine);
    const auto response = respond(request, status);
    const bool omitsBody = request.isHttp1 && request.method == "HEAD";
    if (omitsBody) return renderHeader(response);
    return fmt::format("{}{}\n", renderHeader(response), response.body);
}

}  // namespace wingproxy::health
