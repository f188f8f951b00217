/// \file
/// Picks the candidate with the shortest wait.
#pragma once

namespace wingproxy {

/// The first of the candidates with the shortest wait.
/// \tparam Candidate an index type
template <typename Candidate>
struct LeastWait {
    Candidate choice;  ///< none: no candidate yet
    double wait = 0;   ///< of the choice, in the unit of the offers

    /// Takes the candidate if its wait is shorter than that of all before.
    void offer(Candidate candidate, double candidateWait) {
        if (choice.isSet() && candidateWait >= wait) return;
        choice = candidate;
        wait = candidateWait;
    }
};

}  // namespace wingproxy
