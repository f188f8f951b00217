#include "soak/request_trace.h"

namespace wingproxy::soak {
namespace {

std::vector<std::string> readLogLines(const Front& front, int start) {
    std::ifstream log(front.folder.file(fmt::format("log{}", start)));
    std::vector<std::string> lines;
    for (std::string line; std::getline(log, line);)
        lines.push_back(line);
    return lines;
}

// Rewrites "debug: MICROSECONDS request N ..." with the time in seconds since the start of the run.
std::string withSecondsOfRun(const std::string& line, const Observations& observations) {
    const auto first = line.find_first_of("0123456789");
    const auto end = line.find(' ', first);
    const Clock::time_point at{std::chrono::microseconds(std::stoll(line.substr(first, end - first)))};
    return fmt::format("{:.3f} s:{}", observations.secondsAt(at), line.substr(end));
}

// A process numbers its requests: the first line of a request has the client's id and the number, the others
// only the number.
std::vector<std::string> linesOfRequest(const std::vector<std::string>& lines, const std::string& request,
                                        const Observations& observations) {
    std::vector<std::string> requestLines;
    std::string number;
    for (const std::string& line : lines) {
        const auto at = line.find(" request ");
        if (!line.starts_with("debug: ") || at == std::string::npos) continue;
        if (line.ends_with(" is " + request)) number = line.substr(at, line.find(" is ") - at) + " ";
        if (!number.empty() && line.find(number) != std::string::npos)
            requestLines.push_back(withSecondsOfRun(line, observations));
    }
    return requestLines;
}

void addObservations(std::vector<std::string>& trace, const Violation& violation,
                     const Observations& observations) {
    const ObservedRequest* const observed = observations.find(violation.request);
    if (observed == nullptr) return;
    trace.push_back(fmt::format("sent at {:.3f} s to front {}, {} units, timeout {} ms",
                                observations.secondsAt(observed->sentAt), observed->front, observed->units,
                                observed->timeout.count()));
    if (observed->clientDisconnectedAt)
        trace.push_back(fmt::format("client disconnected at {:.3f} s",
                                    observations.secondsAt(*observed->clientDisconnectedAt)));
    for (const Clock::time_point at : observed->arrivedAt)
        trace.push_back(fmt::format("arrived at a node at {:.3f} s", observations.secondsAt(at)));
}

}  // namespace

std::vector<std::string> traceOf(const Violation& violation, Fleet& fleet) {
    const Observations& observations = fleet.observations();
    std::vector<std::string> trace;
    addObservations(trace, violation, observations);
    // For slow start the lines on slow starts, otherwise the lines on shutdowns.
    const bool isSlowStart = violation.what.find("in slow start") != std::string::npos;
    const std::string wanted = isSlowStart ? "slow start of" : "info: stopping: ";
    for (const auto& front : fleet.fronts())
        for (int start = 0; start < front->starts; ++start) {
            const std::vector<std::string> lines = readLogLines(*front, start);
            std::vector<std::string> chosen;
            if (!violation.request.empty()) chosen = linesOfRequest(lines, violation.request, observations);
            std::copy_if(lines.begin(), lines.end(), std::back_inserter(chosen),
                         [&](const std::string& line) { return line.find(wanted) != std::string::npos; });
            for (const std::string& line : chosen)
                trace.push_back(fmt::format("front {} process {}: {}", front->index, start, line));
        }
    return trace;
}

}  // namespace wingproxy::soak
