/// \file
/// Limits the bytes of message bodies that all requests and responses together hold in memory. Owns the count
/// of reserved bytes, nothing of the bodies themselves. The limit is what the memory setting leaves beside
/// the connections' ring buffers.
#pragma once

#include <cstddef>
#include <memory>

namespace wingproxy::net {

/// A counter of reserved bytes with a limit. Single-threaded: all calls are made on the event loop.
class ByteBudget {
public:
    /// A reservation. Its bytes return to the budget when the last copy is destroyed, which may be after the
    /// budget itself is gone.
    using Reservation = std::shared_ptr<void>;

    /// \param limit in bytes
    explicit ByteBudget(std::size_t limit) : limit_(limit), reserved_(std::make_shared<std::size_t>(0)) {}

    /// Reserves `bytes`.
    /// \return an empty pointer if they do not fit beside what is reserved already
    Reservation reserve(std::size_t bytes) {
        if (bytes > limit_ || *reserved_ > limit_ - bytes) return nullptr;
        *reserved_ += bytes;
        return Reservation(reserved_.get(), [reserved = reserved_, bytes](void*) { *reserved -= bytes; });
    }

    /// The bytes reserved now.
    std::size_t reservedBytes() const { return *reserved_; }

private:
    std::size_t limit_;
    std::shared_ptr<std::size_t> reserved_;
};

}  // namespace wingproxy::net
