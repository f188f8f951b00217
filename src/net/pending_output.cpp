#include "net/pending_output.h"

namespace wingproxy::net {

void PendingOutput::append(std::string_view text) {
    text_.erase(0, moved_);
    moved_ = 0;
    text_ += text;
}

void PendingOutput::fill(RingBuffer& out) {
    moved_ += out.append(std::string_view(text_).substr(moved_));
    if (moved_ < text_.size()) return;
    std::string().swap(text_);  // frees its memory, which may be that of a whole response
    moved_ = 0;
    if (!source_) return;
    const auto source = source_;  // a copy, as the source may clear itself
    source(out);
}

}  // namespace wingproxy::net
