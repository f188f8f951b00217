#include "http/front.h"

#include <memory>
#include <utility>

#include "http/client_connection.h"

namespace wingproxy::http {

Front::Front(net::Engine& engine, net::NodePool& pool, const config::Endpoint& listen, std::size_t maxClients,
             std::size_t ringBytes, int inheritedListener)
    : context_(engine, pool),
      sessionManager_(
          engine.io(), listen, maxClients,
          [this](net::SessionManager& sessionManager, boost::asio::ip::tcp::socket socket) {
              return std::make_shared<ClientConnection>(context_, sessionManager, std::move(socket));
          },
          ringBytes, inheritedListener) {}

void Front::setRequestsOpenElsewhere(const std::vector<std::string>& ids, Micros until) {
    context_.requestIds().setOpenElsewhere(ids, until);
}

}  // namespace wingproxy::http
