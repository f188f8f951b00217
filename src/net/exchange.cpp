#include "net/exchange.h"

namespace wingproxy::net {

Exchange::Exchange(std::shared_ptr<Connection> connection, std::string_view request, std::size_t bodyLimit,
                   Done done, std::chrono::microseconds stallTimeout)
    : connection_(std::move(connection)),
      done_(std::move(done)),
      bodyLimit_(bodyLimit),
      reader_(connection_->in, bodyLimit),
      stallTimeout_(stallTimeout),
      stallTimer_(connection_->socket.get_executor()) {
    request_.append(request);
}

void Exchange::start() { write(); }

void Exchange::write() {
    auto& out = connection_->out;
    request_.fill(out);
    if (out.size() == 0) return read();
    connection_->socket.async_write_some(
        out.data(), [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
            if (!self->done_) return;
            self->connection_->out.consume(count);
            if (error)
                self->finish(Result::NotWritten);
            else
                self->write();
        });
}

void Exchange::read() {
    connection_->socket.async_read_some(
        connection_->in.room(),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
            if (self->done_) self->onRead(error, count);
        });
}

void Exchange::onRead(const boost::system::error_code& error, std::size_t count) {
    connection_->in.commit(count);
    stallTimer_.cancel();
    const bool nodeClosed = error == boost::asio::error::eof;
    if (error && !nodeClosed)
        finish(Result::Broken);
    else
        parse(nodeClosed);
}

void Exchange::parse(bool nodeClosed) {
    auto& in = connection_->in;
    boost::system::error_code error;
    if (reader_.head(in, error)) reader_.append(in, body_, bodyLimit_, error);
    if (!error && nodeClosed) reader_.closed(error);
    if (!error && reader_.done()) {
        reusable_ = !nodeClosed && reader_.keepAlive() && in.size() == 0;
        finish(Result::Answered);
    } else if (error || nodeClosed || in.space() == 0 || body_.size() > bodyLimit_) {
        finish(Result::Broken);
    } else {
        awaitMore();
        read();
    }
}

void Exchange::awaitMore() {
    stallTimer_.expires_after(stallTimeout_);
    stallTimer_.async_wait([self = shared_from_this()](const boost::system::error_code& stopped) {
        if (!stopped && self->done_) self->onStallTimeout();
    });
}

// If this process was slow and not the node, more was read in this turn of the loop or is still unread.
void Exchange::onStallTimeout() {
    if (stallTimer_.expiry() > std::chrono::steady_clock::now()) return;
    boost::system::error_code error;
    if (connection_->socket.available(error) > 0 && !error) return awaitMore();
    finish(Result::Broken);
}

void Exchange::finish(Result result) {
    const auto done = std::exchange(done_, nullptr);
    stallTimer_.cancel();
    boost::system::error_code ignored;
    if (!reusable_) connection_->socket.close(ignored);
    Response response;
    if (result == Result::Answered) {
        response.base() = reader_.parser().get().base();
        response.body() = std::move(body_);
    }
    done(result, std::move(response));
}

void Exchange::abandon() {
    if (!done_) return;
    done_ = nullptr;
    stallTimer_.cancel();
    boost::system::error_code ignored;
    connection_->socket.close(ignored);
}

std::shared_ptr<Connection> Exchange::reusable() {
    return reusable_ ? std::exchange(connection_, nullptr) : nullptr;
}

}  // namespace wingproxy::net
