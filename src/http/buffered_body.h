/// \file
/// Body bytes of one message that are kept in memory, with their reservation in the memory budget.
#pragma once

#include <string>
#include <utility>

#include "http/messages.h"
#include "net/byte_budget.h"
#include "net/ring_buffer.h"

namespace wingproxy::http {

/// A body that is buffered completely, or the part of a streamed one that came before it was known to be
/// long.
class BufferedBody {
public:
    /// The reservation is given back when the last byte is consumed, or with this object.
    void setReservation(net::ByteBudget::Reservation reservation) { reservation_ = std::move(reservation); }
    /// Whether memory is reserved, which also holds for an empty body.
    bool hasReservation() const { return reservation_ != nullptr; }
    /// Gives the reservation to the caller, as the bytes go elsewhere; null if there is none.
    net::ByteBudget::Reservation releaseReservation() { return std::exchange(reservation_, nullptr); }

    /// Appends what has arrived, until the body is longer than may be buffered.
    /// \param reader net::MessageReader or net::ResponseReader, past the head
    template <typename Reader>
    void readFrom(Reader& reader, net::RingBuffer& in, boost::system::error_code& error) {
        reader.appendBody(in, bytes_, kMaxBufferedBody, error);
    }

    /// Whether no byte is left; the body may still be incomplete.
    bool empty() const { return bytes_.empty(); }
    /// Bytes held now.
    std::size_t size() const { return bytes_.size(); }
    /// Whether the body is longer than may be buffered, so that it has to be streamed or rejected.
    bool exceedsLimit() const { return bytes_.size() > kMaxBufferedBody; }

    /// Moves up to `capacity` bytes from the front to `to`.
    /// \return the number of bytes moved
    std::size_t consume(char* to, std::size_t capacity);

    /// All bytes; the reservation stays.
    std::string releaseBytes() { return std::exchange(bytes_, std::string()); }

    /// Drops the bytes and the reservation.
    void clear();

private:
    std::string bytes_;
    net::ByteBudget::Reservation reservation_;
};

}  // namespace wingproxy::http
