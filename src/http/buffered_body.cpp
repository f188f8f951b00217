#include "http/buffered_body.h"

#include <algorithm>

namespace wingproxy::http {

std::size_t BufferedBody::consume(char* to, std::size_t capacity) {
    const auto count = std::min(capacity, bytes_.size());
    std::copy_n(bytes_.data(), count, to);
    bytes_.erase(0, count);
    if (bytes_.empty()) clear();
    return count;
}

void BufferedBody::clear() {
    std::string().swap(bytes_);  // frees its memory
    reservation_ = nullptr;
}

}  // namespace wingproxy::http
