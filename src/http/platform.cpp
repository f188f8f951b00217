#include "http/platform.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <cmath>
#include <iterator>

#include "config/config.h"

namespace wingproxy::http {
namespace {

namespace beast = boost::beast;
using beast::http::field;

std::string_view sv(beast::string_view text) { return {text.data(), text.size()}; }

std::string_view trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

template <typename T>
bool parse(std::string_view text, T& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if constexpr (std::is_floating_point_v<T>)
        if (!std::isfinite(value)) return false;
    return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

bool isHex16(std::string_view text) {
    return text.size() == 16 &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isxdigit(c); });
}

// The value of name in "name=value<separator>name=value"; false where it is not there.
bool member(std::string_view list, char separator, std::string_view name, std::string_view& value) {
    while (!list.empty()) {
        const auto part = trim(list.substr(0, list.find(separator)));
        if (part.size() > name.size() && part.substr(0, name.size()) == name && part[name.size()] == '=') {
            value = part.substr(name.size() + 1);
            return true;
        }
        const auto next = list.find(separator);
        list = next == std::string_view::npos ? std::string_view() : list.substr(next + 1);
    }
    return false;
}

// Fields that belong to one connection, not to the message.
bool ofConnection(const beast::http::fields::value_type& f, const Message& message) {
    switch (f.name()) {
        case field::connection:
        case field::keep_alive:
        case field::proxy_connection:
        case field::te:
        case field::trailer:
        case field::transfer_encoding:
        case field::upgrade:
        case field::content_length:
        case field::expect:
            return true;
        default:
            return beast::http::token_list{message[field::connection]}.exists(f.name_string());
    }
}

}  // namespace

std::variant<Asked, BadField> readRequest(const Message& message, const Settings& settings) {
    const auto bad = [](std::string_view name, std::string_view why) {
        return BadField{fmt::format("{}: {}", name, why)};
    };
    const auto text = [&](const char* name) { return trim(sv(message[name])); };
    Asked asked;
    Request& r = asked.request;
    if (text("Req-Id").empty()) return bad("Req-Id", "missing");
    r.classIndex = config::indexOf(settings.classes, text("Req-Kind"));
    if (r.classIndex < 0) return bad("Req-Kind", "missing or not a known class");
    r.planIndex = config::indexOf(settings.plans, text("Tier"));
    if (r.planIndex < 0) return bad("Tier", "missing or not a known plan");
    std::int64_t ms = 0;
    if (!parse(text("Req-Deadline-Ms"), ms) || ms < 0 || ms > 3'600'000)
        return bad("Req-Deadline-Ms", "missing or not milliseconds up to an hour");
    asked.waitUs = ms * 1000;
    std::string_view value;
    if (!member(sv(message[field::cookie]), ';', "key", value) || !isHex16(value))
        return bad("Cookie", "no key of 16 hexadecimal digits");
    r.key = value;
    const auto info = text("IO-Info");
    if (!member(info, ',', "volume", value) || !isHex16(value))
        return bad("IO-Info volume", "missing or not 16 hexadecimal digits");
    r.volume = value;
    if (!member(info, ',', "units", value) || !parse(value, r.units) || r.units <= 0 || r.units > 1e6)
        return bad("IO-Info units", "missing or not a size above 0");
    if (!member(info, ',', "shard", value) || !parse(value, r.cell) || r.cell < -1 ||
        (settings.cellCount > 0 && r.cell >= settings.cellCount))
        return bad("IO-Info shard", "missing or not a shard");
    if (!member(info, ',', "hosts", value) || !parse(value, r.volumeHosts) || r.volumeHosts < 1 ||
        r.volumeHosts > 100'000)
        return bad("IO-Info hosts", "missing or not a number of hosts");
    if (settings.classes[std::size_t(r.classIndex)].retrySafety == RetrySafety::IdempotentWithKey &&
        text("Idempotency-Key").empty())
        return bad("Idempotency-Key", "missing, and the class carries a key");
    if (message.method() == beast::http::verb::get && !message.body().empty())
        return bad("Content-Length", "a read has no body");
    r.retry = text("Req-Retry") == "1";
    return asked;
}

std::vector<double> readLoad(std::string_view load, const Settings& settings) {
    // The header keeps the simulator's own words; the settings may name a column by either.
    static constexpr std::array<std::pair<std::string_view, std::string_view>, 6> kWords{
        {{"concurrent", "inflight"},
         {"depth", "queue"},
         {"load_share", "util"},
         {"mean_ms", "latency_ms"},
         {"tps", "qps"},
         {"err_ps", "eps"}}};
    std::vector<double> report;
    if (trim(load).empty()) return report;
    for (const auto& column : settings.reportColumns) {
        std::string_view value;
        bool found = member(load, ',', column, value);
        for (const auto& [ours, theirs] : kWords)
            if (!found && ours == column) found = member(load, ',', theirs, value);
        double number = 0;
        if (!found || !parse(value, number)) return {};  // a report with holes would shift its columns
        report.push_back(number);
    }
    return report;
}

core::AttemptFinished readAnswer(const AnswerHead& answer, const Settings& settings) {
    core::AttemptFinished ended;
    const auto status = answer.result_int();
    const bool declined = trim(sv(answer["Srv-Declined"])) == "1";
    if (status == 200)
        ended.outcome = Outcome::Ok;
    else if ((status == 503 || status == 504) && declined)
        ended.outcome = Outcome::Rejected;
    else
        ended.outcome = Outcome::Error;
    // With 504 it is the request that is over, or not this node's: another attempt would hear the same.
    ended.requestSpent = status == 504 && declined;
    // The simulator's figure is one more than the header's, so that 0 means none.
    double number = 0;
    if (parse(trim(sv(answer["Volume-Load"])), number) && number >= 0) ended.loadPercent = number + 1;
    number = 0;
    if (parse(trim(sv(answer["Other-Hosts"])), number) && number >= 0) ended.loadElsewhere = number;
    ended.loadReport = readLoad(sv(answer["Srv-Load"]), settings);
    return ended;
}

std::string forNode(const Message& message, const std::string& host, Micros waitUs, const Framing* framing) {
    std::string out = fmt::format("{} {} HTTP/1.1\r\n", sv(message.method_string()), sv(message.target()));
    if (message.find(field::host) == message.end()) out += fmt::format("Host: {}\r\n", host);
    for (const auto& f : message) {
        const auto name = sv(f.name_string());
        if (ofConnection(f, message) || beast::iequals(f.name_string(), "Req-Deadline-Ms")) continue;
        out += fmt::format("{}: {}\r\n", name, sv(f.value()));
    }
    out += fmt::format("Req-Deadline-Ms: {}\r\n", std::max<Micros>(1, waitUs / 1000));
    if (framing && framing->chunked) return out + "Transfer-Encoding: chunked\r\n\r\n";
    if (framing) return out + fmt::format("Content-Length: {}\r\n\r\n", framing->length);
    if (!message.body().empty() || message.method() != beast::http::verb::get)
        out += fmt::format("Content-Length: {}\r\n", message.body().size());
    out += "\r\n";
    out += message.body();
    return out;
}

std::string headForClient(int status, std::string_view fields, bool keepAlive) {
    const auto reason = sv(beast::http::obsolete_reason(beast::http::int_to_status(unsigned(status))));
    return fmt::format("HTTP/1.1 {} {}\r\n{}{}\r\n", status, reason, fields,
                       keepAlive ? "" : "Connection: close\r\n");
}

std::string forClient(int status, std::string_view fields, std::string_view body, bool keepAlive) {
    return headForClient(status, fmt::format("{}Content-Length: {}\r\n", fields, body.size()), keepAlive)
        .append(body);
}

std::string retryAfter(Micros us) { return fmt::format("{:.3f}", double(us) / 1e6); }

}  // namespace wingproxy::http
