// The platform's words: what its requests say in headers, and what nodes say in theirs.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <variant>

#include "core/reducer.h"

namespace wingproxy::http {

using Message = boost::beast::http::request<boost::beast::http::string_body>;
using Answer = boost::beast::http::response<boost::beast::http::string_body>;

struct BadField {
    std::string what;
};  // names the field
struct Asked {
    Request request;
    Micros waitUs = 0;
};  // waitUs: from the client's send
std::variant<Asked, BadField> readRequest(const Message& message, const Settings& settings);

// What a node's answer means for the attempt; the outcome of an answer that came whole.
using AskedHead = boost::beast::http::request_header<>;
using AnswerHead = boost::beast::http::response_header<>;
core::AttemptFinished readAnswer(const AnswerHead& answer, const Settings& settings);
std::vector<double> readLoad(std::string_view load, const Settings& settings);

// How a body that is not whole yet is framed: its length, or in chunks.
struct Framing {
    bool chunked = false;
    std::uint64_t length = 0;
};
// The request as a node gets it: as it came, but for the connection's own fields and the time left. With a
// framing only its head, and the body follows.
std::string forNode(const Message& message, const std::string& host, Micros waitUs,
                    const Framing* framing = nullptr);
std::string forClient(int status, std::string_view fields, std::string_view body, bool keepAlive);
// Only the head, with whole header lines that say how the body ends.
std::string headForClient(int status, std::string_view fields, bool keepAlive);
std::string retryAfter(Micros us);  // decimal seconds

}  // namespace wingproxy::http
