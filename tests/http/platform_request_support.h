// Settings and a valid platform request, for tests without a socket.
#pragma once

#include <string>

#include "http/messages.h"
#include "support/test_config.h"

namespace wingproxy::test {

/// The settings of tests/support/config.json.
inline Settings testSettings() { return testConfig().settings; }

/// A request of the class "alta" that is valid with any method.
inline http::RequestMessage platformRequest(boost::beast::http::verb method = boost::beast::http::verb::put) {
    http::RequestMessage message{method, "/api", 11};
    message.set("Req-Id", "9b1f03aa5c7e2d41");
    message.set("Req-Kind", "alta");
    message.set("Tier", "basico");
    message.set("Cookie", "a=b; key=7f3a9c21e0b4d655");
    message.set("Req-Deadline-Ms", "480");
    message.set("Idempotency-Key", "k");
    message.set("IO-Info", "volume=00000003b4d60021,units=2,shard=-1,hosts=3");
    return message;
}

}  // namespace wingproxy::test
