#include "http/node_request_writer.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "net/chunked_coding.h"

namespace wingproxy::http {

NodeRequestWriter::NodeRequestWriter(std::string head, std::shared_ptr<const RequestMessage> message,
                                     std::optional<BodyFraming> streamed, std::weak_ptr<ClientStream> client)
    : head_(std::move(head)), message_(std::move(message)), streamed_(streamed), client_(std::move(client)) {}

NodeRequestWriter::Progress NodeRequestWriter::fill(net::RingBuffer& out) {
    if (!queueHead(out)) return Progress::BufferFull;
    if (!streamed_) {
        if (!queueBufferedBody(out)) return Progress::BufferFull;
        complete_ = true;
    }
    if (complete_) return Progress::Complete;
    const auto client = client_.lock();
    if (!client) return Progress::AwaitingBody;
    while (out.freeSpace() > net::kMaxChunkOverhead)
        if (const auto progress = queueBodyPiece(*client, out)) return *progress;
    return Progress::BufferFull;
}

// Returns whether the whole head has been written to the buffer.
bool NodeRequestWriter::queueHead(net::RingBuffer& out) {
    headQueued_ += out.append(std::string_view(head_).substr(headQueued_));
    if (headQueued_ < head_.size()) return false;
    std::string().swap(head_);  // frees its memory
    headQueued_ = 0;
    return true;
}

// Returns whether the whole body has been written to the buffer. The body is not copied: each attempt would
// hold another one.
bool NodeRequestWriter::queueBufferedBody(net::RingBuffer& out) {
    const std::string_view body = message_->body();
    bodyQueued_ += out.append(body.substr(bodyQueued_));
    return bodyQueued_ == body.size();
}

// Returns nothing if the next piece can be queued immediately.
std::optional<NodeRequestWriter::Progress> NodeRequestWriter::queueBodyPiece(ClientStream& client,
                                                                             net::RingBuffer& out) {
    char piece[16 * 1024];
    const auto count =
        client.consumeBody(piece, std::min(sizeof piece, out.freeSpace() - net::kMaxChunkOverhead));
    if (stopped_) return Progress::Stopped;
    if (count > 0) {
        bodyConsumed_ = true;
        net::appendBodyPiece(out, {piece, count}, streamed_->chunked);
    }
    if (client.isBodyConsumed()) return queueBodyEnd(out);
    if (count > 0) return std::nullopt;
    return Progress::AwaitingBody;
}

NodeRequestWriter::Progress NodeRequestWriter::queueBodyEnd(net::RingBuffer& out) {
    if (out.freeSpace() < net::kMaxChunkOverhead) return Progress::BufferFull;
    if (streamed_->chunked) out.append(net::kLastChunk);
    complete_ = true;
    return Progress::Complete;
}

}  // namespace wingproxy::http
