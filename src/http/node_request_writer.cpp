#include "http/node_request_writer.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "net/chunked_coding.h"

namespace wingproxy::http {

NodeRequestWriter::NodeRequestWriter(std::string text, std::optional<BodyFraming> streamed,
                                     std::weak_ptr<ClientStream> client)
    : text_(std::move(text)), streamed_(streamed), client_(std::move(client)) {}

NodeRequestWriter::Progress NodeRequestWriter::fill(net::RingBuffer& out) {
    if (!queueText(out)) return Progress::BufferFull;
    if (!streamed_) complete_ = true;
    if (complete_) return Progress::Complete;
    const auto client = client_.lock();
    if (!client) return Progress::AwaitingBody;
    while (out.freeSpace() > net::kMaxChunkOverhead)
        if (const auto progress = queueBodyPiece(*client, out)) return *progress;
    return Progress::BufferFull;
}

// Returns whether the whole text has been written to the buffer.
bool NodeRequestWriter::queueText(net::RingBuffer& out) {
    textQueued_ += out.append(std::string_view(text_).substr(textQueued_));
    if (textQueued_ < text_.size()) return false;
    std::string().swap(text_);  // frees its memory
    textQueued_ = 0;
    return true;
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
