#include "net/http_exchange.h"

namespace wingproxy::net {

HttpExchange::HttpExchange(std::shared_ptr<Connection> connection, std::string_view request,
                           std::size_t bodyLimit, OnFinished onFinished,
                           std::chrono::microseconds stallTimeout)
    : connection_(std::move(connection)),
      onFinished_(std::move(onFinished)),
      bodyLimit_(bodyLimit),
      reader_(connection_->in, bodyLimit),
      stallTimeout_(stallTimeout),
      stallTimer_(connection_->socket.get_executor()) {
    request_.append(request);
}

void HttpExchange::start() { write(); }

void HttpExchange::write() {
    auto& out = connection_->out;
    request_.fill(out);
    if (out.size() == 0) return read();
    connection_->socket.async_write_some(
        out.data(), [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
            if (!self->onFinished_) return;
            self->connection_->out.consume(count);
            self->connection_->out.releaseIfEmpty();
            if (error)
                self->finish(Result::NotWritten);
            else
                self->write();
        });
}

void HttpExchange::read() {
    socketReader_.read(connection_->socket, connection_->in,
                       [self = shared_from_this()](const boost::system::error_code& error,
                                                   std::size_t /*count*/) { self->onRead(error); });
}

void HttpExchange::onRead(const boost::system::error_code& error) {
    stallTimer_.cancel();
    if (!responseStartedAt_ && connection_->in.size() > 0)
        responseStartedAt_ = std::chrono::steady_clock::now();
    const bool nodeClosed = error == boost::asio::error::eof;
    if (error && !nodeClosed)
        finish(Result::ConnectionLost);
    else
        parse(nodeClosed);
}

void HttpExchange::parse(bool nodeClosed) {
    auto& in = connection_->in;
    boost::system::error_code error;
    if (reader_.readHead(in, error)) reader_.appendBody(in, body_, bodyLimit_, error);
    if (!error && nodeClosed) reader_.onEndOfStream(error);
    if (!error && reader_.isComplete()) {
        reusable_ = !nodeClosed && reader_.keepAlive() && in.size() == 0;
        finish(Result::Completed);
    } else if (error || nodeClosed || in.freeSpace() == 0 || body_.size() > bodyLimit_) {
        finish(Result::ConnectionLost);
    } else {
        startStallTimer();
        read();
    }
}

void HttpExchange::startStallTimer() {
    stallTimer_.start(stallTimeout_, connection_->socket,
                      [self = shared_from_this()] { self->finish(Result::Stalled); });
}

void HttpExchange::finish(Result result) {
    const auto onFinished = std::exchange(onFinished_, nullptr);
    stop();
    if (!reusable_) connection_->close();
    Response response;
    if (result == Result::Completed) {
        response.base() = reader_.parser().get().base();
        response.body() = std::move(body_);
    }
    onFinished(result, std::move(response));
}

void HttpExchange::cancel() {
    if (!onFinished_) return;
    onFinished_ = nullptr;
    stop();
    connection_->close();
}

void HttpExchange::stop() {
    stallTimer_.stop();
    socketReader_.stop();
}

std::shared_ptr<Connection> HttpExchange::takeReusableConnection() {
    return reusable_ ? std::exchange(connection_, nullptr) : nullptr;
}

}  // namespace wingproxy::net
