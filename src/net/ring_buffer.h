// A bounded ring of bytes: one for each connection and direction.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace wingproxy::net {

// Bytes of a ring, by the memory and the descriptors that the configuration gives: at the least a head of
// ordinary length fits, and beyond the most nothing is gained.
constexpr std::size_t kMostRing = 16 * 1024, kLeastRing = 4 * 1024;

class RingBuffer {
public:
    explicit RingBuffer(std::size_t capacity) : bytes_(new char[capacity]), capacity_(capacity) {}
    std::size_t size() const { return size_; }
    std::size_t space() const { return capacity_ - size_; }
    std::size_t capacity() const { return capacity_; }
    void clear() { consume(size_); }

    // What is held, oldest first; the second part is empty unless the bytes wrap.
    std::array<boost::asio::const_buffer, 2> data() const {
        const auto first = std::min(size_, capacity_ - head_);
        return {boost::asio::const_buffer(bytes_.get() + head_, first),
                boost::asio::const_buffer(bytes_.get(), size_ - first)};
    }
    // Where to read into; commit() what was read.
    std::array<boost::asio::mutable_buffer, 2> room() {
        const auto tail = (head_ + size_) % capacity_;
        const auto first = size_ == capacity_ ? 0 : std::min(space(), capacity_ - tail);
        return {boost::asio::mutable_buffer(bytes_.get() + tail, first),
                boost::asio::mutable_buffer(bytes_.get(), space() - first)};
    }
    void commit(std::size_t n) { size_ += std::min(n, space()); }
    void consume(std::size_t n) {
        // The head is never set back to 0: a read may be under way into the room behind the tail.
        n = std::min(n, size_);
        size_ -= n;
        head_ = (head_ + n) % capacity_;
    }
    // The newest n bytes, in order.
    std::array<std::string_view, 2> newest(std::size_t n) const {
        std::array<std::string_view, 2> parts;
        std::size_t skip = size_ - std::min(n, size_), i = 0;
        for (const auto& part : data()) {
            const auto cut = std::min(skip, part.size());
            skip -= cut;
            parts[i++] = {static_cast<const char*>(part.data()) + cut, part.size() - cut};
        }
        return parts;
    }
    // Takes one line without its end, if a whole one is there.
    bool line(std::string& into) {
        std::size_t at = 0;
        into.clear();
        for (const auto& part : newest(size_)) {
            const auto end = part.find('\n');
            into.append(part.substr(0, end));
            if (end != std::string_view::npos) {
                consume(at + end + 1);
                if (!into.empty() && into.back() == '\r') into.pop_back();
                return true;
            }
            at += part.size();
        }
        return false;
    }
    // Takes as much of the text as fits; returns how much that was.
    std::size_t put(std::string_view text) {
        const auto taken = boost::asio::buffer_copy(room(), boost::asio::buffer(text.data(), text.size()));
        commit(taken);
        return taken;
    }

private:
    std::unique_ptr<char[]> bytes_;
    std::size_t capacity_, head_ = 0, size_ = 0;
};

}  // namespace wingproxy::net
