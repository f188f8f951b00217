/// \file
/// Draws the faults of a run from its seed and injects them into the fleet.
#pragma once

#include "soak/soak_fleet.h"

namespace wingproxy::soak {

/// Draws the faults of a plan and injects each when it is due. The target and the details of a fault come
/// from a seed that is drawn together with its time, so that every run of a seed has the same faults in the
/// same order.
class FaultSchedule {
public:
    /// \param end the end of the run
    FaultSchedule(const SoakPlan& plan, Fleet& fleet, Clock::time_point end);
    /// Injects the faults that are due.
    void runDue();
    /// One line for each fault injected so far.
    [[nodiscard]] const std::vector<std::string>& injected() const { return injected_; }
    /// The number of these lines. The end of a pause is a line of its own.
    [[nodiscard]] std::size_t count() const { return injected_.size(); }

private:
    using Random = std::mt19937_64;
    struct Fault {
        Clock::time_point at;
        std::function<void()> inject;
    };
    using Inject = std::function<void(Random&)>;

    void scheduleAll();
    void scheduleSignals();
    void scheduleRandomly(int count, const Inject& inject);
    void runAfter(milliseconds delay, std::function<void()> what);
    void record(const std::string& what);
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
    void signalIfServing(Random& random, int number);
    void pauseProcess(Front& front);
    void pauseProcessRepeatedly(Random& random);
    void stepClock(Random& random);
    void failStorage(Random& random);
    void drainAdministratively(Random& random);
    void sendAdminCommand(Front& front, const std::string& what, const std::string& node);
    void flood(Random& random);

    SoakPlan plan_;
    Fleet& fleet_;
    Clock::time_point end_;
    Random random_;
    Random playOffsets_;
    std::vector<Fault> faults_;  // by time
    std::vector<std::string> injected_;
};

}  // namespace wingproxy::soak
