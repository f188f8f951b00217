/// \file
/// Picks the candidate with the shortest wait.
#pragma once

namespace wingproxy {

/// Keeps the candidate with the shortest wait, the first one of equals.
/// \tparam Candidate an index type
template <typename Candidate>
struct LeastWait {
    Candidate choice;  ///< unset: no candidate yet
    double wait = 0;   ///< of the choice, in the unit passed to `offer`

    /// Chooses the candidate if its wait is shorter than that of every earlier one.
    void offer(Candidate candidate, double candidateWait) {
        if (choice.isSet() && candidateWait >= wait) return;
        choice = candidate;
        wait = candidateWait;
    }
};

}  // namespace wingproxy
