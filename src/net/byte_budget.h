/// \file
/// Limits the memory, in bytes, that the bodies of all requests and responses take together. Owns the count
/// of reserved bytes, not the bodies. The limit is a share of the configured memory; the connections' ring
/// buffers have another share.
#pragma once

#include <cstddef>
#include <memory>

namespace wingproxy::net {

/// A counter of reserved bytes with a limit. Single-threaded: all calls are made on the event loop.
class ByteBudget {
public:
    /// A reservation. Its bytes return to the budget when the last copy is destroyed; a copy may outlive the
    /// budget.
    using Reservation = std::shared_ptr<void>;

    /// \param limit in bytes
    explicit ByteBudget(std::size_t limit) : limit_(limit), reserved_(std::make_shared<std::size_t>(0)) {}

    /// Reserves `bytes`.
    /// \return null if the reserved bytes would then exceed the limit
    Reservation reserve(std::size_t bytes) {
        if (bytes > limit_ || *reserved_ > limit_ - bytes) return nullptr;
        *reserved_ += bytes;
        return Reservation(reserved_.get(), [reserved = reserved_, bytes](void*) { *reserved -= bytes; });
    }

    /// Changes the limit. Reservations that exceed a lower one stay.
    void setLimit(std::size_t limit) { limit_ = limit; }
    /// The number of bytes that are reserved now.
    std::size_t reservedBytes() const { return *reserved_; }

private:
    std::size_t limit_;
    std::shared_ptr<std::size_t> reserved_;
};

}  // namespace wingproxy::net
