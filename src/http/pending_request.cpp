#include "http/pending_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "http/field_values.h"
#include "http/message_writer.h"
#include "http/request_attempt.h"

namespace wingproxy::http {

PendingRequest::PendingRequest(FrontContext& context, std::weak_ptr<ClientStream> client,
                               std::shared_ptr<const RequestMessage> message,
                               std::optional<BodyFraming> streamed, Reservations reservations)
    : context_(context),
      client_(std::move(client)),
      message_(std::move(message)),
      streamed_(streamed),
      reservations_(std::move(reservations)) {
    context_.requestIds().add(requestId());
}

PendingRequest::~PendingRequest() {
    if (clientDisconnected_ && hasAttempt_)
        context_.requestIds().abandon(requestId(), context_.engine().now() + longestRun());
    else
        context_.requestIds().remove(requestId());
}

// A node drops a request at its deadline, and recognises its key for as long as the class says.
Micros PendingRequest::longestRun() const {
    Micros longest = 0;
    for (const auto& info : context_.engine().settings().classes)
        longest = std::max({longest, info.deadlineUs, info.keyWindowUs});
    return longest;
}

std::shared_ptr<net::Attempt> PendingRequest::startAttempt(const net::AttemptParams& params) {
    hasAttempt_ = true;
    // The engine destroys a request's attempts before the request, so `this` outlives the callback.
    auto onResponse = [this](AttemptIndex attempt, ResponseMessage response,
                             net::ByteBudget::Reservation reservation) {
        keepResponse(attempt, std::move(response), std::move(reservation));
    };
    auto attempt = std::make_shared<RequestAttempt>(context_.engine(), context_.pool(), params, message_,
                                                    streamed_, client_, std::move(onResponse));
    attempt->start();
    return attempt;
}

void PendingRequest::keepResponse(AttemptIndex attempt, ResponseMessage response,
                                  net::ByteBudget::Reservation reservation) {
    responses_[attempt] = {std::move(response), std::move(reservation)};
}

void PendingRequest::deliverResponse(AttemptIndex attempt) {
    const auto found = responses_.find(attempt);
    if (found == responses_.end()) {  // the response was streamed
        if (const auto client = client_.lock()) client->completeStreaming();
        return;
    }
    auto& response = found->second;
    const auto body = std::move(response.message.body());  // freed once copied to the send buffer
    const auto type = toStringView(response.message[boost::beast::http::field::content_type]);
    const auto fields = type.empty() ? std::string() : fmt::format("Content-Type: {}\r\n", type);
    respond(200, fields, body, std::move(response.reservation));
}

void PendingRequest::sendRejection(Micros retryAfterUs) {
    respond(503, retryAfterField(context_.engine().settings(), retryAfterUs), "");
}

void PendingRequest::sendFailure() { respond(500, "", ""); }

void PendingRequest::respond(int status, std::string_view fields, std::string_view body,
                             net::ByteBudget::Reservation reservation) {
    if (const auto client = client_.lock()) client->respond(status, fields, body, std::move(reservation));
}

}  // namespace wingproxy::http
