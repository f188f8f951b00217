#include "http/streamed_response.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "http/message_writer.h"
#include "net/chunked_coding.h"

namespace wingproxy::http {
namespace {

ResponseFraming framingOf(const ClientStream::StreamedHead& head, bool isHttp10) {
    if (head.contentLength) return ResponseFraming::ContentLength;
    return isHttp10 ? ResponseFraming::UntilClose : ResponseFraming::Chunked;
}

}  // namespace

StreamedResponse::StreamedResponse(ClientStream::StreamedHead head, ClientStream::BodySource source,
                                   bool isHttp10)
    : head_(std::move(head)), source_(std::move(source)), framing_(framingOf(head_, isHttp10)) {}

std::string StreamedResponse::serializeHead(bool keepAlive) const {
    std::string fields;
    if (!head_.contentType.empty()) fields += fmt::format("Content-Type: {}\r\n", head_.contentType);
    if (head_.contentLength) fields += fmt::format("Content-Length: {}\r\n", *head_.contentLength);
    if (framing_ == ResponseFraming::Chunked) fields += "Transfer-Encoding: chunked\r\n";
    return serializeResponseHead(200, fields, keepAlive);
}

void StreamedResponse::fill(net::RingBuffer& out) {
    char piece[16 * 1024];
    while (active_ && out.freeSpace() > net::kMaxChunkOverhead) {
        const auto count = source_(piece, std::min(sizeof piece, out.freeSpace() - net::kMaxChunkOverhead));
        if (count == 0) break;
        net::appendBodyPiece(out, {piece, count}, framing_ == ResponseFraming::Chunked);
    }
}

std::string_view StreamedResponse::terminator() const {
    return framing_ == ResponseFraming::Chunked ? net::kLastChunk : "";
}

}  // namespace wingproxy::http
