#include "http/request_reader.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace wingproxy::http {

namespace beast = boost::beast;
using beast::http::field;

namespace {

// Memory of a header field besides its name and value: the list and the index that contain it, and the
// allocator's own.
constexpr std::size_t kFieldOverhead = 96;
// Memory that engine, core and policy hold for an open request.
constexpr std::size_t kRequestOverhead = 1024;

// The head itself, and its text while it is sent to a node.
std::size_t memoryOf(const RequestHead& head) {
    std::size_t bytes = kRequestOverhead + 2 * head.target().size();
    for (const auto& entry : head)
        bytes += kFieldOverhead + 2 * (entry.name_string().size() + entry.value().size());
    return bytes;
}

}  // namespace

std::optional<FramingError> checkFraming(const RequestHead& head) {
    const auto coding = head[field::transfer_encoding];
    if (coding.empty()) return std::nullopt;
    if (head.find(field::content_length) != head.end() || head.version() < 11)
        return FramingError::AmbiguousLength;
    if (!beast::iequals(coding, "chunked")) return FramingError::UnsupportedCoding;
    return std::nullopt;
}

void RequestReader::reset() {
    headComplete_ = false;
    discardMessage();
    reader_.emplace(in_, kMaxBody);
}

void RequestReader::discardMessage() {
    head_ = RequestHead();
    headReservation_ = nullptr;
    body_.clear();
}

// Nothing uses trailers, and a client may send very many.
void RequestReader::discardTrailers() {
    if (reader_->isComplete()) reader_->parser().get().clear();
}

bool RequestReader::readHead(boost::system::error_code& error) {
    if (in_.size() == 0 || !reader_->readHead(in_, error)) return false;
    headComplete_ = true;
    head_ = std::move(reader_->parser().get().base());
    return true;
}

bool RequestReader::reserveHead(net::ByteBudget& budget) {
    if (!headReservation_) headReservation_ = budget.reserve(memoryOf(head_));
    return headReservation_ != nullptr;
}

bool RequestReader::announcesLongBody() const {
    const auto length = parser().content_length();
    return length && *length > kMaxBufferedBody;
}

bool RequestReader::mayHaveArrived(std::size_t unreadBytes) const {
    const std::size_t unparsed = in_.size() + unreadBytes;
    if (const auto remaining = parser().content_length_remaining()) return unparsed >= *remaining;
    return unparsed > 0;
}

bool RequestReader::reserveBody(net::ByteBudget& budget) {
    body_.setReservation(net::reserveBody(reader_->parser(), budget, kBufferedBodyMemory));
    return body_.hasReservation();
}

RequestProgress RequestReader::readBody(boost::system::error_code& error) {
    if (announcesLongBody()) return RequestProgress::Streaming;
    body_.readFrom(*reader_, in_, error);
    discardTrailers();
    if (body_.exceedsLimit()) return RequestProgress::Streaming;
    if (error) return RequestProgress::Invalid;
    if (reader_->isComplete()) return RequestProgress::Complete;
    if (in_.freeSpace() > 0) return RequestProgress::NeedsMore;
    error = beast::http::error::bad_chunk;  // a chunk header that is longer than the buffer
    return RequestProgress::Invalid;
}

BodyFraming RequestReader::streamedFraming() const {
    if (announcesLongBody()) return {false, *parser().content_length()};
    return {true, 0};
}

std::size_t RequestReader::consumeBody(char* to, std::size_t capacity, boost::system::error_code& error) {
    if (!body_.empty()) return body_.consume(to, capacity);
    const auto count = reader_->readBody(in_, to, capacity, error);
    discardTrailers();
    return count;
}

}  // namespace wingproxy::http
