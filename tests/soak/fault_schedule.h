/// \file
/// The faults of a run: when which comes, and what it does to the fleet.
#pragma once

#include "soak/soak_fleet.h"

namespace wingproxy::soak {

/// Draws the faults of a plan and injects each when its time has come. What a fault hits and how is drawn
/// with it, so that two plays of a seed have the same faults in the same order.
class FaultSchedule {
public:
    /// \param end of the run
    FaultSchedule(const SoakPlan& plan, Fleet& fleet, Clock::time_point end);
    /// Injects what is due.
    void runDue();
    /// What was injected so far, a line each.
    [[nodiscard]] const std::vector<std::string>& injected() const { return injected_; }
    /// How many lines that is; the end of a hold-up is one too.
    [[nodiscard]] std::size_t count() const { return injected_.size(); }

private:
    using Random = std::mt19937_64;
    struct Fault {
        Clock::time_point at;
        std::function<void()> inject;
    };
    using Inject = std::function<void(Random&)>;

    void planAll();
    void planSignals();
    void plan(int count, const Inject& inject);
    void later(milliseconds delay, std::function<void()> what);
    void note(const std::string& what);
    Front& anyFront(Random& random) { return *fleet_.fronts()[random() % fleet_.fronts().size()]; }
    Node& anyNode(Random& random) {
        const auto listed = fleet_.listedNodes();
        return *listed[random() % listed.size()];
    }

    void replaceNode(Random& random);
    void crashNode(Random& random);
    void misbehave(Random& random);
    void disturbLink(Random& random);
    void resetLink(Random& random);
    void stopDiscovery(Random& random);
    void terminate(Random& random);
    void signalReady(Random& random, int number);
    void holdUp(Front& front);
    void holdUpInSeries(Random& random);
    void stepClock(Random& random);
    void failStorage(Random& random);
    void drainByHand(Random& random);
    void order(Front& front, const std::string& what, const std::string& node);
    void crowd(Random& random);

    SoakPlan plan_;
    Fleet& fleet_;
    Clock::time_point end_;
    Random random_;
    Random moves_;
    std::vector<Fault> faults_;  // by time
    std::vector<std::string> injected_;
};

}  // namespace wingproxy::soak
