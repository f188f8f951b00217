/// \file
/// The buffered body bytes of one message and their reservation in the memory budget.
#pragma once

#include <algorithm>
#include <string>
#include <utility>

#include "http/messages.h"
#include "net/byte_budget.h"
#include "net/ring_buffer.h"

namespace wingproxy::http {

/// A body that is buffered completely, or the part of a streamed body that was buffered before it exceeded
/// the limit.
class BufferedBody {
public:
    /// The reservation is released when the last byte is consumed, or when this object is destroyed.
    void setReservation(net::ByteBudget::Reservation reservation) { reservation_ = std::move(reservation); }
    /// Whether memory is reserved, which also holds for an empty body.
    bool hasReservation() const { return reservation_ != nullptr; }
    /// Transfers the reservation to the caller, who takes the bytes over; null if there is none.
    net::ByteBudget::Reservation releaseReservation() { return std::exchange(reservation_, nullptr); }

    /// Appends the bytes that have arrived, until the body exceeds `kMaxBufferedBody`.
    /// \param reader net::MessageReader or net::ResponseReader, past the head
    template <typename Reader>
    void readFrom(Reader& reader, net::RingBuffer& in, boost::system::error_code& error) {
        // A string that grows by itself takes up to twice the memory that is reserved for it.
        if (bytes_.size() + in.size() > bytes_.capacity())
            bytes_.reserve(memoryFor(bytes_.size() + in.size()));
        reader.appendBody(in, bytes_, kMaxBufferedBody, error);
    }

    /// Whether no bytes are held; the body may still be incomplete.
    bool empty() const { return bytes_.empty(); }
    /// The number of bytes held.
    std::size_t size() const { return bytes_.size(); }
    /// Whether the body exceeds `kMaxBufferedBody`, so that it has to be streamed or rejected.
    bool exceedsLimit() const { return bytes_.size() > kMaxBufferedBody; }

    /// Moves up to `capacity` bytes from the beginning of the body to `to`.
    /// \return the number of bytes moved
    std::size_t consume(char* to, std::size_t capacity);

    /// Moves all bytes out; the reservation stays.
    std::string releaseBytes() { return std::exchange(bytes_, std::string()); }

    /// Drops the bytes and the reservation.
    void clear();

private:
    // The capacity for a body of `count` bytes so far, in quarters of the limit.
    static std::size_t memoryFor(std::size_t count) {
        constexpr std::size_t kStep = kMaxBufferedBody / 4;
        return std::min((count + kStep - 1) / kStep * kStep, kBufferedBodyMemory);
    }

    std::string bytes_;
    net::ByteBudget::Reservation reservation_;
};

}  // namespace wingproxy::http
