// The admin client: errors when no front responds.
#include "admin/admin_client.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <thread>

using namespace wingproxy;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// A listening socket: clients can connect even before the test accepts or responds.
struct Listener {
    asio::io_context io;
    tcp::acceptor acceptor{io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    config::Endpoint address() const { return {"127.0.0.1", acceptor.local_endpoint().port()}; }
};

}  // namespace

TEST_CASE("admin client: a request to a server that never responds times out") {
    const Listener silent;
    const auto result = admin::sendAdminRequest(
        silent.address(), {admin::AdminRequest::Kind::CheckReadiness, ""}, std::chrono::milliseconds(50));
    REQUIRE(std::holds_alternative<admin::AdminClientError>(result));
    const auto& error = std::get<admin::AdminClientError>(result);
    CHECK(error.step == admin::AdminClientError::Step::TimedOut);
    CHECK(admin::describe(error) == "no answer in 50 ms");
}

TEST_CASE("admin client: a response that is not HTTP is a read error") {
    Listener listener;
    std::thread server([&] {
        tcp::socket socket = listener.acceptor.accept();
        asio::write(socket, asio::buffer(std::string("what?\r\n\r\n")));
    });
    const auto result =
        admin::sendAdminRequest(listener.address(), {admin::AdminRequest::Kind::ReadMetrics, ""});
    server.join();
    REQUIRE(std::holds_alternative<admin::AdminClientError>(result));
    const auto& error = std::get<admin::AdminClientError>(result);
    CHECK(error.step == admin::AdminClientError::Step::Read);
    CHECK(admin::describe(error).starts_with("read: "));
}
