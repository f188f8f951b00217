/// \file
/// One attempt of a request over HTTP/1.1, on a pooled connection: sends the request and receives the
/// response. It never retries; the engine starts another attempt.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "http/buffered_body.h"
#include "http/client_stream.h"
#include "http/messages.h"
#include "http/node_request_writer.h"
#include "net/node_attempt.h"
#include "net/response_reader.h"
#include "net/socket_reader.h"
#include "net/stall_timer.h"

namespace wingproxy::http {

/// Responses of up to `kMaxBufferedBody` are buffered, so that another attempt's response can still be
/// chosen. Longer ones with status 200 are streamed to the client, after which no other can be chosen. A
/// longer response with another status, or one that exceeds the limit before the request is completely sent,
/// fails the attempt.
class RequestAttempt : public net::NodeAttempt {
public:
    /// Takes a complete buffered response. Called before the outcome Ok is reported to the engine.
    using OnResponse = std::function<void(AttemptIndex attempt, ResponseMessage response,
                                          net::ByteBudget::Reservation reservation)>;

    /// \param streamed if set, the message has no body and the client streams it in this framing
    RequestAttempt(net::Engine& engine, net::NodePool& pool, const net::AttemptParams& params,
                   std::shared_ptr<const RequestMessage> message, std::optional<BodyFraming> streamed,
                   std::weak_ptr<ClientStream> client, OnResponse onResponse);

    bool hasUndeliveredBytes() const override;

private:
    void onConnected(std::shared_ptr<net::Connection> connection) override;
    void onConnectedTooLate(std::shared_ptr<net::Connection> connection) override;
    void closeConnection() override;

    // Sending the request.
    void write();
    void awaitBody();
    void onRequestSent();

    // Receiving the response.
    void read();
    void onRead(const boost::system::error_code& error);
    void processReceived();
    void processHead();
    void readBufferedBody(boost::system::error_code& error);
    void processBufferedBody(boost::system::error_code error);
    void reportHead();
    bool hasNodeClosed() const { return socketReader_.hasEnded(); }
    bool isStatusOk() const { return reader_->parser().get().result() == boost::beast::http::status::ok; }
    std::chrono::microseconds stallTimeout() const;
    void startStallTimer(std::chrono::microseconds timeout);

    // Streaming the response to the client.
    void startStreaming();
    void refuseToStream();
    std::size_t consumeResponse(char* to, std::size_t capacity);
    void continueStreaming(std::size_t consumed, boost::system::error_code error);

    // Ending the attempt.
    void finish();
    bool isConnectionReusable() const;
    void fail();

    std::shared_ptr<const RequestMessage> message_;
    std::optional<BodyFraming> streamed_;
    std::weak_ptr<ClientStream> client_;
    OnResponse onResponse_;
    std::shared_ptr<net::Connection> connection_;
    std::optional<NodeRequestWriter> requestWriter_;  // this and reader_ are set once connected
    std::optional<net::ResponseReader> reader_;
    net::SocketReader socketReader_;
    net::StallTimer stallTimer_;
    BufferedBody responseBody_;
    bool requestSent_ = false;  // completely given to the system, which may not have delivered it yet
    bool writing_ = false;
    bool headReceived_ = false;
    bool headReported_ = false;  // to the engine
    bool streaming_ = false;     // the response is forwarded to the client while it arrives
};

}  // namespace wingproxy::http
