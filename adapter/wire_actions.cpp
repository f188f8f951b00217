#include "wire_actions.h"

#include <concepts>
#include <variant>

#include "base64.h"

namespace wingproxy::wire {
namespace {

/// Writes each type of action. A missing overload is a compile error.
class ActionWriter {
public:
    ActionWriter(std::string_view host, std::string& out) : host_(host), out_(out) {}

    void operator()(const ForwardRequest& action) {
        begin("DISPATCH");
        add("corr", action.id);
        add("shelf", action.node);
        if (action.timeoutUs != 0) add("tryForUs", action.timeoutUs);
    }
    void operator()(const RejectRequest& action) {
        begin("TURN_AWAY");
        add("corr", action.id);
        if (action.retryAfterUs > 0) add("coolDownUs", action.retryAfterUs);
    }
    void operator()(const FailRequest& action) {
        begin("ERROR");
        add("corr", action.id);
    }
    void operator()(const CancelAttempt& action) {
        begin("ABORT_ATTEMPT");
        add("corr", action.id);
        add("shot", action.attempt.value());
    }
    void operator()(const StartHealthCheck& action) {
        begin("PROBE");
        add("shelf", action.node);
    }
    void operator()(const SendPeerMessage& action) {
        begin("NOTIFY");
        if (action.to.isEveryPeer())
            add("to", "*");
        else
            add("to", action.to.host().value());
        add("raw", encodeBase64(action.bytes));
    }
    void operator()(const SetTimer& action) {
        begin("TIMER");
        add("offsetUs", action.delayUs);
        add("label", action.token);
    }
    void operator()(const WatchEndpointList& action) {
        begin("TAIL");
        add("on", action.enabled ? 1 : 0);
    }
    void operator()(const LogLine& action) {
        begin("PRINT");
        add("text", action.text);
    }

private:
    void begin(std::string_view messageName) { out_.append(messageName).append(" who=").append(host_); }
    void add(std::string_view key, std::string_view value) {
        out_.append(" ").append(key).append("=").append(value);
    }
    void add(std::string_view key, std::integral auto value) { add(key, std::to_string(value)); }

    std::string_view host_;
    std::string& out_;
};

}  // namespace

void appendAction(const Action& action, std::string_view host, std::string& out) {
    std::visit(ActionWriter(host, out), action);
    out += '\n';
}

}  // namespace wingproxy::wire
