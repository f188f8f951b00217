#include "net/exchange.h"

namespace wingproxy::net {
Exchange::Exchange(std::shared_ptr<Connection> connection, std::string request, std::size_t bodyLimit,
                   Done done, std::chrono::microseconds stall)
    : connection_(std::move(connection)),
      request_(std::move(request)),
      done_(std::move(done)),
      bodyLimit_(bodyLimit),
      reader_(connection_->in, bodyLimit),
      stallIn_(stall),
      stall_(connection_->socket.get_executor()) {}

void Exchange::start() { write(); }

void Exchange::write() {
    auto& out = connection_->out;
    put_ += out.put(std::string_view(request_).substr(put_));
    if (out.size() == 0) {
        std::string().swap(request_);
        read();
        return;
    }
    connection_->socket.async_write_some(
        out.data(), [self = shared_from_this()](const boost::system::error_code& error, std::size_t n) {
            if (!self->done_) return;
            self->connection_->out.consume(n);
            if (error)
                self->finish(Result::NotWritten);
            else
                self->write();
        });
}

void Exchange::read() {
    connection_->socket.async_read_some(
        connection_->in.room(),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t n) {
            if (!self->done_) return;
            self->connection_->in.commit(n);
            self->stall_.cancel();
            if (error && error != boost::asio::error::eof)
                self->finish(Result::Broken);
            else
                self->parse(bool(error));
        });
}

void Exchange::parse(bool ended) {
    auto& in = connection_->in;
    boost::system::error_code error;
    if (reader_.head(in, error)) reader_.append(in, body_, bodyLimit_, error);
    if (!error && ended) reader_.closed(error);
    if (!error && reader_.done()) {
        reusable_ = !ended && reader_.keepAlive() && in.size() == 0;
        finish(Result::Answered);
    } else if (error || ended || in.space() == 0 || body_.size() > bodyLimit_) {
        finish(Result::Broken);
    } else {
        awaitMore();
        read();
    }
}

void Exchange::awaitMore() {
    stall_.expires_after(stallIn_);
    stall_.async_wait([self = shared_from_this()](const boost::system::error_code& stopped) {
        if (stopped || !self->done_) return;
        // Where this program was slow and not the node, more was read in this turn or still waits.
        boost::system::error_code error;
        if (self->stall_.expiry() > std::chrono::steady_clock::now()) return;
        if (self->connection_->socket.available(error) > 0 && !error) return self->awaitMore();
        self->finish(Result::Broken);
    });
}

void Exchange::finish(Result result) {
    const auto done = std::exchange(done_, nullptr);
    stall_.cancel();
    boost::system::error_code ignored;
    if (!reusable_) connection_->socket.close(ignored);
    Response answer;
    if (result == Result::Answered) {
        answer.base() = reader_.parser().get().base();
        answer.body() = std::move(body_);
    }
    done(result, std::move(answer));
}

void Exchange::abandon() {
    if (!done_) return;
    done_ = nullptr;
    stall_.cancel();
    boost::system::error_code ignored;
    connection_->socket.close(ignored);
}

std::shared_ptr<Connection> Exchange::reusable() {
    return reusable_ ? std::exchange(connection_, nullptr) : nullptr;
}

}  // namespace wingproxy::net
