#include "rsync/front.h"

#include <memory>
#include <utility>

#include "rsync/client_session.h"

namespace wingproxy::rsync {

Front::Front(net::Engine& engine, net::NodePool& pool, const config::RsyncFront& config,
             std::size_t maxClients, std::size_t ringSize)
    : context_{engine, pool, config},
      sessionManager_(
          engine.io(), config.listen, maxClients,
          [this](net::SessionManager& sessionManager, boost::asio::ip::tcp::socket socket) {
              return std::make_shared<ClientSession>(context_, sessionManager, std::move(socket));
          },
          ringSize) {}

}  // namespace wingproxy::rsync
