#include "soak/request_trace.h"

namespace wingproxy::soak {
namespace {

std::vector<std::string> linesOf(const Front& front, int start) {
    std::ifstream log(front.folder.file(fmt::format("log{}", start)));
    std::vector<std::string> lines;
    for (std::string line; std::getline(log, line);)
        lines.push_back(line);
    return lines;
}

// "debug: MICROSECONDS request N ..." with the time in seconds of the run instead.
std::string withSecondsOfRun(const std::string& line, const Observations& observations) {
    const auto first = line.find_first_of("0123456789");
    const auto end = line.find(' ', first);
    const Clock::time_point at{std::chrono::microseconds(std::stoll(line.substr(first, end - first)))};
    return fmt::format("{:.3f} s:{}", observations.secondsAt(at), line.substr(end));
}

// The process numbers the request itself: its first line has the client's id, the others have the number.
std::vector<std::string> wayThrough(const std::vector<std::string>& lines, const std::string& request,
                                    const Observations& observations) {
    std::vector<std::string> way;
    std::string number;
    for (const std::string& line : lines) {
        const auto at = line.find(" request ");
        if (!line.starts_with("debug: ") || at == std::string::npos) continue;
        if (line.ends_with(" is " + request)) number = line.substr(at, line.find(" is ") - at) + " ";
        if (!number.empty() && line.find(number) != std::string::npos)
            way.push_back(withSecondsOfRun(line, observations));
    }
    return way;
}

void addSeen(std::vector<std::string>& trace, const Violation& violation, const Observations& observations) {
    const ObservedRequest* const seen = observations.find(violation.request);
    if (seen == nullptr) return;
    trace.push_back(fmt::format("sent at {:.3f} s to front {}, {} units, waits {} ms",
                                observations.secondsAt(seen->sentAt), seen->front, seen->units,
                                seen->patience.count()));
    if (seen->clientLeftAt)
        trace.push_back(
            fmt::format("its client left at {:.3f} s", observations.secondsAt(*seen->clientLeftAt)));
    for (const Clock::time_point at : seen->arrivedAt)
        trace.push_back(fmt::format("seen at a node at {:.3f} s", observations.secondsAt(at)));
}

}  // namespace

std::vector<std::string> traceOf(const Violation& violation, Fleet& fleet) {
    const Observations& observations = fleet.observations();
    std::vector<std::string> trace;
    addSeen(trace, violation, observations);
    // Of a node in slow start the lines on it, of anything else those on shutdowns.
    const bool isSlowStart = violation.what.find("in slow start") != std::string::npos;
    const std::string wanted = isSlowStart ? "slow start of" : "info: stopping: ";
    for (const auto& front : fleet.fronts())
        for (int start = 0; start < front->starts; ++start) {
            const std::vector<std::string> lines = linesOf(*front, start);
            std::vector<std::string> chosen;
            if (!violation.request.empty()) chosen = wayThrough(lines, violation.request, observations);
            std::copy_if(lines.begin(), lines.end(), std::back_inserter(chosen),
                         [&](const std::string& line) { return line.find(wanted) != std::string::npos; });
            for (const std::string& line : chosen)
                trace.push_back(fmt::format("front {} process {}: {}", front->index, start, line));
        }
    return trace;
}

}  // namespace wingproxy::soak
