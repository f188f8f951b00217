/// \file
/// Picks the candidate with the shortest wait.
#pragma once

namespace wingproxy {

/// The first of the candidates with the shortest wait.
struct LeastWait {
    int choice = -1;  ///< -1: no candidate yet
    double wait = 0;

    void offer(int candidate, double candidateWait) {
        if (choice >= 0 && candidateWait >= wait) return;
        choice = candidate;
        wait = candidateWait;
    }
};

}  // namespace wingproxy
