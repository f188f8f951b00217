/// \file
/// A request while the engine serves it: starts its attempts and sends the chosen response to the client.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "http/client_stream.h"
#include "http/front_context.h"
#include "http/messages.h"
#include "net/engine.h"

namespace wingproxy::http {

/// Owned by the engine until the request and all its attempts have ended. The client may disconnect earlier.
class PendingRequest : public net::RequestHandler {
public:
    /// What a request holds of the memory budgets.
    struct Reservations {
        net::ByteBudget::Reservation head;
        net::ByteBudget::Reservation body;  ///< null if the body is streamed
    };

    /// \param context has to outlive the request
    /// \param streamed the framing of a body that is not part of `message`
    /// \param reservations of `message`
    PendingRequest(FrontContext& context, std::weak_ptr<ClientStream> client,
                   std::shared_ptr<const RequestMessage> message, std::optional<BodyFraming> streamed,
                   Reservations reservations);
    ~PendingRequest() override;

    std::shared_ptr<net::Attempt> startAttempt(const net::AttemptParams& params) override;
    void deliverResponse(AttemptIndex attempt) override;
    void sendRejection(Micros retryAfterUs) override;
    void sendFailure() override;

    /// The client has left. A node may still run the request, so its Req-Id is not free for a while.
    void onClientDisconnected() { clientDisconnected_ = true; }

    /// Stores the complete buffered response of an attempt until the engine chooses which one to deliver.
    /// Streamed responses are not stored.
    void keepResponse(AttemptIndex attempt, ResponseMessage response,
                      net::ByteBudget::Reservation reservation);

private:
    struct BufferedResponse {
        ResponseMessage message;
        net::ByteBudget::Reservation reservation;
    };
    Micros longestRun() const;
    std::string requestId() const { return std::string((*message_)["Req-Id"]); }
    void respond(int status, std::string_view fields, std::string_view body,
                 net::ByteBudget::Reservation reservation = nullptr);

    FrontContext& context_;
    std::weak_ptr<ClientStream> client_;
    std::shared_ptr<const RequestMessage> message_;
    std::optional<BodyFraming> streamed_;
    Reservations reservations_;
    std::map<AttemptIndex, BufferedResponse> responses_;
    bool hasAttempt_ = false;
    bool clientDisconnected_ = false;
};

}  // namespace wingproxy::http
