// The discovery client: one watch after another, each on what the last answer left.
#pragma once

#include <string>

#include "net/engine.h"
#include "net/exchange.h"

namespace wingproxy::net {

// A watch may be lost on its way: a short one is missed soon. An answer later than the patience counts as
// lost. A call anew waits for its turn among those of all fronts, which discovery allows 2 s: it must hear
// of that end, as a call that is left sooner keeps its place there and the next one waits behind it.
// Where lists are pushed an agent beside this front holds them, and what it has counts as told, watch or no
// watch: a call anew does not wait, and what lies between two such calls fits into the grace of a drain.
// The times are the pages', which give no setting for them: a silent watch binds 6 s after it fell silent, or
// 2 s after its wait, and this one is missed after 1.5 s with every customer.
struct WatchTiming {
    std::chrono::milliseconds wait{1'000}, patience{500}, patienceAnew{2'500};
};

class Discovery {
public:
    struct Counters {
        std::uint64_t calls = 0, answers = 0, failed = 0, malformed = 0;
    };
    Discovery(Engine& engine, const config::Endpoint& at, WatchTiming timing = {});
    void setWatching(bool on);  // as the module asks; a running watch goes on
    // To another address at once: the call under way is abandoned and the whole list asked for there.
    void moveTo(const config::Endpoint& to);
    void stop();
    const Counters& counters() const { return counters_; }

private:
    void call();
    void abandon();  // the call under way; says nothing
    void send(std::shared_ptr<Connection> connection);
    void answered(Exchange::Result result, const Exchange::Response& response);
    void fail(const char* why);
    std::chrono::milliseconds wait() const;  // that the next call allows

    Engine& engine_;
    config::Endpoint at_;
    WatchTiming timing_;
    const bool pushed_;
    std::chrono::microseconds
        againIn_;  // after a failed call where lists are pushed: the module does not ask
    NodePool pool_;
    boost::asio::steady_timer timeout_, again_;
    std::shared_ptr<NodePool::Ticket> ticket_;
    std::shared_ptr<Exchange> exchange_;
    bool on_ = false, calling_ = false;
    bool goesOn_ = false;  // the next call follows an answer: it takes up a watch, and waits in no queue
    bool whole_ = false;   // the next call asks for the whole list, and does not wait
    Counters counters_;
};

}  // namespace wingproxy::net
