#include "rsync/front.h"

#include <fmt/format.h>

#include <algorithm>

namespace wingproxy::rsync {
namespace {

// From connecting to the arguments' end: a few lines each way, over any network.
constexpr std::chrono::seconds kHandshake{15};
constexpr std::size_t kMostArguments = 256;  // no client sends a tenth of them

}  // namespace

// One client's connection: lines until the arguments are whole, then one transfer, then the end.
class Front::Peer : public net::Session, public Client {
public:
    Peer(Front& front, net::SessionManager& sessionManager, boost::asio::ip::tcp::socket socket)
        : Session(sessionManager, std::move(socket)), front_(front), patience_(sessionManager.io()) {}
    void start() override;
    bool idle() const override { return stage_ < Stage::Transfer; }

    boost::asio::ip::tcp::socket& socket() override { return socket_; }
    net::RingBuffer& held() override { return in_; }
    void readOn() override { read(); }
    void relayTo(std::function<void()> more) override {
        relaying_ = true;
        more_ = std::move(more);
    }
    void refuse(Micros retryAfterUs);
    void fail();
    void complete() { ++front_.counters_.completed, over(); }
    std::weak_ptr<NodeAttempt> attempt;  // the one that is out

protected:
    void received() override {
        if (stage_ < Stage::Transfer)
            lines();
        else if (more_)
            more_();
    }
    void disconnected() override;
    void sent() override {
        if (stage_ == Stage::Over) linger();
    }

private:
    enum class Stage { Greeting, Module, Arguments, Transfer, Over };
    void lines();
    void choose(const std::string& name);
    void begin();
    void sayError(const std::string& text);  // as a line, or in the stream that the client awaits
    void over();

    Front& front_;
    boost::asio::steady_timer patience_;
    Stage stage_ = Stage::Greeting;
    const config::RsyncModule* module_ = nullptr;
    std::vector<std::string> arguments_;
    bool relaying_ = false;
    std::function<void()> more_;
    RequestId id_ = 0;
};

// The transfer while the engine has it. Its client may be gone before it is over.
struct Front::Pending : net::Transfer {
    Pending(Front& front, std::weak_ptr<Peer> peer, Order order)
        : front(front), peer(std::move(peer)), order(std::make_shared<Order>(std::move(order))) {}
    std::shared_ptr<net::Attempt> start(const net::AttemptParams& wanted) override {
        auto at = wanted;
        if (front.config_.nodePort != 0) at.node.port = front.config_.nodePort;
        const auto attempt = std::make_shared<NodeAttempt>(front.engine_, front.pool_, at, order, peer);
        if (const auto held = peer.lock()) held->attempt = attempt;
        attempt->start();
        return attempt;
    }
    void deliver(int) override {
        if (const auto held = peer.lock()) held->complete();
    }
    void refuse(Micros retryAfterUs) override {
        if (const auto held = peer.lock()) held->refuse(retryAfterUs);
    }
    void fail() override {
        if (const auto held = peer.lock()) held->fail();
    }
    Front& front;
    std::weak_ptr<Peer> peer;
    std::shared_ptr<const Order> order;
};

void Front::Peer::start() {
    patience_.expires_after(kHandshake);
    patience_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = std::static_pointer_cast<Peer>(weak.lock());
        if (!error && self && self->stage_ < Stage::Transfer)
            self->sayError("timeout waiting for the request");
    });
    send(greeting());
    read();
}

void Front::Peer::lines() {
    std::string line;
    while (stage_ < Stage::Transfer && in_.line(line)) {
        int version = 0;
        switch (stage_) {
            case Stage::Greeting:
                if (!parseGreeting(line, version)) return sayError("protocol startup error");
                if (version < kVersion)
                    return sayError(fmt::format("protocol {} or newer is needed", kVersion));
                stage_ = Stage::Module;
                if (!front_.config_.motd.empty()) send(front_.config_.motd + "\n");
                break;
            case Stage::Module:
                choose(line);
                break;
            default:
                if (line.empty())
                    begin();
                else if (arguments_.size() == kMostArguments)
                    return sayError("too many arguments");
                else
                    arguments_.push_back(line);
        }
    }
    if (stage_ < Stage::Transfer && in_.space() == 0) sayError("a line that is too long");
}

void Front::Peer::choose(const std::string& name) {
    const auto& modules = front_.config_.modules;
    if (name.empty() || name == "#list") {
        ++front_.counters_.listings;
        for (const auto& m : modules)
            send(fmt::format("{:<15}\t{}\n", m.name, m.comment));
        send("@RSYNCD: EXIT\n");
        return over();
    }
    const auto it =
        std::find_if(modules.begin(), modules.end(), [&](const auto& m) { return m.name == name; });
    if (it == modules.end()) return sayError(fmt::format("Unknown module '{}'", name));
    module_ = &*it;
    stage_ = Stage::Arguments;
    send("@RSYNCD: OK\n");
}

void Front::Peer::begin() {
    Order order{module_->name, module_->nodeModule, arguments_, {}};
    std::string why;
    if (!parseArguments(arguments_, module_->name, order.options, why)) return sayError(why);
    const int cls = order.options.pull ? module_->pullClass : module_->pushClass;
    if (cls < 0) return sayError(order.options.pull ? "module is write only" : "module is read only");
    Request request;
    request.classIndex = cls;
    request.planIndex = module_->plan;
    request.key = module_->volume + "/" + arguments_.back();
    request.volume = module_->volume;
    request.deadlineUs = front_.engine_.now() + module_->deadlineUs;
    request.units = module_->units;
    request.cell = module_->cell;
    request.volumeHosts = module_->hosts;
    stage_ = Stage::Transfer;
    patience_.cancel();
    ++front_.counters_.transfers;
    const auto self = std::static_pointer_cast<Peer>(shared_from_this());
    id_ =
        front_.engine_.submit(std::move(request), std::make_shared<Pending>(front_, self, std::move(order)));
}

void Front::Peer::sayError(const std::string& text) {
    if (stage_ < Stage::Transfer) ++front_.counters_.malformed;
    const auto error = fmt::format("@ERROR: {}\n", text);
    send(stage_ >= Stage::Arguments ? errorStream(error) : error);
    over();
}

void Front::Peer::refuse(Micros retryAfterUs) {
    ++front_.counters_.refused;
    sayError(fmt::format("busy, come back in {:.3f} s", double(retryAfterUs) / 1e6));
}

// Without a byte of the stream sent, the client is told; else the cut itself says that it is not whole.
void Front::Peer::fail() {
    ++front_.counters_.failed;
    if (relaying_)
        close();
    else
        sayError("the transfer failed");
}

void Front::Peer::disconnected() {
    if (stage_ != Stage::Transfer) return;
    stage_ = Stage::Over;
    const auto out = attempt.lock();
    if (out && out->delivered()) return out->clientLeft();  // all is with the client: a transfer completed
    ++front_.counters_.disconnected;
    front_.engine_.clientDisconnected(id_);  // first, so that the module tries no more
    if (out) out->clientLeft();
}

void Front::Peer::over() {
    stage_ = Stage::Over;
    more_ = nullptr;
    patience_.cancel();
    send("");
}

Front::Front(net::Engine& engine, net::NodePool& pool, const config::RsyncFront& config,
             std::size_t mostClients, std::size_t ring)
    : engine_(engine),
      pool_(pool),
      config_(config),
      sessionManager_(
          engine.io(), config.listen, mostClients,
          [this](net::SessionManager& sessionManager, boost::asio::ip::tcp::socket socket) {
              return std::make_shared<Peer>(*this, sessionManager, std::move(socket));
          },
          ring) {}

}  // namespace wingproxy::rsync
