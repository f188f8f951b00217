// Runs the reducer: inputs come from the fronts, node clients, discovery and peers; effects go back to them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "config/config.h"
#include "core/reducer.h"
#include "log/log.h"
#include "net/byte_budget.h"
#include "net/clock.h"

namespace wingproxy::net {

// What an attempt needs to know of its place and time.
struct AttemptOrder {
    RequestId id = 0;
    int attempt = 0;
    config::Endpoint node;
    Micros firstByteBy = 0, giveUpAt = 0, lastByteBy = core::StartAttempt::kNever;
};

// One attempt on the wire. It calls Engine::ended once, unless it is abandoned first.
class Attempt {
public:
    virtual ~Attempt() = default;
    virtual void abandon() = 0;  // closes its connection, reports nothing more
};

// The wire's side of one request: how to try it at a node, and how to answer. Each request gets exactly one
// of deliver, refuse and fail, unless its client left before.
class Transfer {
public:
    virtual ~Transfer() = default;
    virtual std::shared_ptr<Attempt> start(const AttemptOrder& order) = 0;
    virtual void deliver(int attempt) = 0;  // that attempt's answer, which ended as Ok
    virtual void refuse(Micros retryAfterUs) = 0;
    virtual void fail() = 0;
};

class Engine {
public:
    struct Outlets {
        std::function<void(int to, const std::string&)> tell;
        std::function<void(bool)> watch;
        std::function<void(const std::string& id, const config::Endpoint&)> probe;
    };
    Engine(boost::asio::io_context& io, const config::Config& config, log::Logger& logger);
    void connect(Outlets outlets) { outlets_ = std::move(outlets); }
    void start();  // the saved list, then the module's first actions
    void stop();   // no more timers; what is open is dropped

    RequestId submit(Request request, std::shared_ptr<Transfer> transfer);  // the id is given here
    void clientDisconnected(RequestId id);
    void crowded(int places) { put(core::Crowded{places}); }
    void leaving(Micros untilUs) { put(core::Leaving{untilUs}); }
    void written(RequestId id, int attempt) { put(core::Written{id, attempt}); }
    void answering(RequestId id, int attempt) { put(core::Answering{id, attempt}); }
    // freely: the node has done its work, and no deadline runs any more.
    void streaming(RequestId id, int attempt, bool freely = false) {
        put(core::Streaming{id, attempt, freely});
    }
    void filled(RequestId id, Micros deadlineUs) { put(core::Filled{id, deadlineUs}); }
    void ended(core::Ended how) { put(std::move(how)); }
    void news(config::HostList hosts);
    // An operator's override of a node, which stands above the list; false: the id was never listed.
    bool outByHand(const std::string& node, bool out);
    void overridden(const core::AdminOverrides& overrides);  // by operators, to another process of this front
    const core::AdminOverrides& overrides() const { return state_.overrides(); }
    // What a successor starts from. What is open here is finished.
    struct Handed {
        core::Handed core;
        std::vector<config::Endpoint> addresses;  // beside core.listed
        std::int64_t listVersion = 0;
    };
    Handed handOver();
    bool restore(Handed handed);  // before start(); false: without the module's memory
    void lost();
    void heard(int from, std::string bytes) { put(core::Heard{from, std::move(bytes)}); }
    void probed(core::Probed probe) { put(std::move(probe)); }

    boost::asio::io_context& io() { return io_; }
    Micros now() const { return clock_.now(); }
    const Clock& clock() const { return clock_; }
    ByteBudget& bodies() { return bodies_; }
    const Settings& settings() const { return settings_; }
    log::Logger& logger() { return logger_; }
    std::size_t open() const { return state_.open(); }
    std::size_t nodes() const { return addresses_.size(); }  // on the list
    std::size_t avoided() const { return state_.avoided(); }
    std::size_t outByHand() const { return state_.outByHand(); }
    const fleet::Arrival& arrival() const { return state_.arrival(); }
    std::int64_t listVersion() const { return listVersion_; }
    std::size_t kept() const { return state_.kept() + live_.size() + addresses_.size(); }
    const core::Counters& counters() const { return state_.counters(); }

private:
    struct Live {
        std::shared_ptr<Transfer> transfer;
        std::map<int, std::shared_ptr<Attempt>> out;
        bool done = false;
    };
    void put(core::Input input);
    void closeBatch();
    void armWake();
    void run(const core::Effects& effects);
    void run(const core::StartAttempt& e);
    void run(const core::StopAttempt& e);
    void run(const core::Deliver& e);
    void run(const core::RefuseClient& e);
    void run(const core::FailClient& e);
    void run(const core::Tell& e);
    void run(const core::Watch& e);
    void run(const core::ProbeStart& e);
    void run(const core::Say& e);
    std::shared_ptr<Transfer> finish(RequestId id);  // its transfer, if it had no answer yet
    void dropAttempt(RequestId id, int attempt);

    boost::asio::io_context& io_;
    log::Logger& logger_;
    Clock clock_;
    ByteBudget bodies_;
    Settings settings_;
    config::HostList known_;
    core::State state_;
    boost::asio::steady_timer wake_;
    Micros wakeAt_ = core::State::kNoWake;
    bool closing_ = false, started_ = false, stopped_ = false;
    Outlets outlets_;
    std::unordered_map<RequestId, Live> live_;
    std::map<std::string, config::Endpoint, std::less<>> addresses_;
    std::int64_t listVersion_ = 0;
    RequestId lastId_ = 0;
};

}  // namespace wingproxy::net
