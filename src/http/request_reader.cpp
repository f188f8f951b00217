#include "http/request_reader.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace wingproxy::http {

namespace beast = boost::beast;
using beast::http::field;

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
    body_.clear();
    reader_.emplace(in_, kMaxBody);
}

bool RequestReader::readHead(boost::system::error_code& error) {
    if (in_.size() == 0 || !reader_->readHead(in_, error)) return false;
    headComplete_ = true;
    return true;
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
    body_.setReservation(net::reserveBody(reader_->parser(), budget, kMaxBufferedBody));
    return body_.hasReservation();
}

RequestProgress RequestReader::readBody(boost::system::error_code& error) {
    if (announcesLongBody()) return RequestProgress::Streaming;
    body_.readFrom(*reader_, in_, error);
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
    return reader_->readBody(in_, to, capacity, error);
}

}  // namespace wingproxy::http
