/// \file
/// A byte buffer of fixed capacity, which has memory only while it holds bytes. Each connection owns one for
/// each direction, so that the largest number of connections bounds their memory.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace wingproxy::net {

/// The largest ring, in bytes: a larger one does not increase the throughput.
constexpr std::size_t kMaxRingBytes = std::size_t{16} * 1024;
/// The smallest ring, in bytes: a message head of ordinary length fits. The size in use, between the two,
/// follows from the configured memory and descriptors.
constexpr std::size_t kMinRingBytes = std::size_t{4} * 1024;

/// A first-in, first-out queue of bytes with a fixed capacity. Asynchronous reads and writes work directly on
/// its memory: `prepare()` stays valid while bytes are consumed, and `data()` while bytes are committed.
class RingBuffer {
public:
    /// \param capacity in bytes, above 0
    explicit RingBuffer(std::size_t capacity) : capacity_(capacity) {}

    /// The number of bytes held.
    std::size_t size() const { return size_; }
    /// The number of bytes that still fit.
    std::size_t freeSpace() const { return capacity_ - size_; }
    /// The number of bytes that fit into an empty ring.
    std::size_t capacity() const { return capacity_; }
    /// Consumes all bytes.
    void clear() { consume(size_); }
    /// Frees the memory if no bytes are held. Not to be called between a `prepare()` and its `commit()`.
    void releaseIfEmpty() {
        if (size_ > 0) return;
        bytes_.reset();
        head_ = 0;
    }
    /// The number of bytes of memory in use.
    std::size_t allocatedBytes() const { return bytes_ ? capacity_ : 0; }

    /// The bytes held, oldest first; the second part is empty unless they wrap around.
    std::array<boost::asio::const_buffer, 2> data() const {
        const auto first = std::min(size_, capacity_ - head_);
        return {boost::asio::const_buffer(bytes_.get() + head_, first),
                boost::asio::const_buffer(bytes_.get(), size_ - first)};
    }

    /// The free memory, for a read into it; `commit()` the bytes that were read.
    std::array<boost::asio::mutable_buffer, 2> prepare() {
        if (!bytes_) bytes_.reset(new char[capacity_]);
        const auto tail = (head_ + size_) % capacity_;
        const auto first = size_ == capacity_ ? 0 : std::min(freeSpace(), capacity_ - tail);
        return {boost::asio::mutable_buffer(bytes_.get() + tail, first),
                boost::asio::mutable_buffer(bytes_.get(), freeSpace() - first)};
    }

    /// Adds the first `count` bytes of `prepare()`, at most `freeSpace()`, to the bytes held.
    void commit(std::size_t count) { size_ += std::min(count, freeSpace()); }

    /// Drops the oldest `count` bytes, at most `size()`.
    void consume(std::size_t count) {
        // head_ is not reset to 0: a read into the free space behind the tail may be in progress.
        count = std::min(count, size_);
        size_ -= count;
        head_ = (head_ + count) % capacity_;
    }

    /// The newest `count` bytes, at most `size()`, in order and in two parts like `data()`.
    std::array<std::string_view, 2> newest(std::size_t count) const {
        std::array<std::string_view, 2> parts;
        std::size_t skip = size_ - std::min(count, size_);
        std::size_t index = 0;
        for (const auto& part : data()) {
            const auto cut = std::min(skip, part.size());
            skip -= cut;
            parts[index] = {static_cast<const char*>(part.data()) + cut, part.size() - cut};
            ++index;
        }
        return parts;
    }

    /// Moves the oldest line, without its "\n" or "\r\n", to `into`.
    /// \return false if there is no complete line: nothing is consumed, and the content of `into` is
    /// unspecified
    bool readLine(std::string& into) {
        std::size_t scanned = 0;
        into.clear();
        for (const auto& part : newest(size_)) {
            const auto end = part.find('\n');
            into.append(part.substr(0, end));
            if (end != std::string_view::npos) {
                consume(scanned + end + 1);
                if (!into.empty() && into.back() == '\r') into.pop_back();
                return true;
            }
            scanned += part.size();
        }
        return false;
    }

    /// Appends as much of `text` as fits.
    /// \return the number of bytes appended
    std::size_t append(std::string_view text) {
        const auto taken = boost::asio::buffer_copy(prepare(), boost::asio::buffer(text.data(), text.size()));
        commit(taken);
        return taken;
    }

private:
    std::unique_ptr<char[]> bytes_;
    std::size_t capacity_;
    std::size_t head_ = 0;  // index of the oldest byte
    std::size_t size_ = 0;
};

}  // namespace wingproxy::net
