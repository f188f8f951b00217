#include "http/request_parser.h"

#include <optional>

#include "config/config.h"
#include "http/field_values.h"

namespace wingproxy::http {
namespace {

// Upper bounds that keep later sums from overflowing: the platform sends nothing near them.
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr double kMaxUnits = 1e6;
constexpr int kMaxVolumeHosts = 100'000;

std::string_view fieldValue(const RequestMessage& message, const char* name) {
    return trimWhitespace(toStringView(message[name]));
}

// Parses Req-Id, Req-Kind, Tier, Req-Deadline-Ms, Cookie and Req-Retry.
std::optional<RequestError> parseFields(const RequestMessage& message, const Settings& settings,
                                        ParsedRequest& parsed) {
    Request& request = parsed.request;
    if (fieldValue(message, "Req-Id").empty()) return RequestError::MissingRequestId;
    request.classIndex = config::indexOf<ClassIndex>(settings.classes, fieldValue(message, "Req-Kind"));
    if (request.classIndex.isNone()) return RequestError::UnknownClass;
    request.planIndex = config::indexOf<PlanIndex>(settings.plans, fieldValue(message, "Tier"));
    if (request.planIndex.isNone()) return RequestError::UnknownPlan;
    const auto deadlineMs = parseNumber<std::int64_t>(fieldValue(message, "Req-Deadline-Ms"));
    if (!deadlineMs || *deadlineMs < 0 || *deadlineMs > kMaxDeadlineMs) return RequestError::InvalidDeadline;
    parsed.timeoutUs = *deadlineMs * 1000;
    const auto key = findParameter(toStringView(message["Cookie"]), ';', "key");
    if (!key || !isHex16(*key)) return RequestError::InvalidKey;
    request.key = *key;
    request.retry = fieldValue(message, "Req-Retry") == "1";
    return std::nullopt;
}

bool isValidShard(int shard, const Settings& settings) {
    return shard >= -1 && (settings.cellCount <= 0 || shard < settings.cellCount);  // -1: any shard
}

std::optional<RequestError> parseIoInfo(std::string_view info, const Settings& settings, Request& request) {
    const auto volume = findParameter(info, ',', "volume");
    if (!volume || !isHex16(*volume)) return RequestError::InvalidVolume;
    request.volume = *volume;
    const auto units = parseNumber<double>(findParameter(info, ',', "units").value_or(""));
    if (!units || *units <= 0 || *units > kMaxUnits) return RequestError::InvalidUnits;
    request.units = *units;
    const auto shard = parseNumber<int>(findParameter(info, ',', "shard").value_or(""));
    if (!shard || !isValidShard(*shard, settings)) return RequestError::InvalidShard;
    request.cell = CellIndex(*shard);
    const auto hosts = parseNumber<int>(findParameter(info, ',', "hosts").value_or(""));
    if (!hosts || *hosts < 1 || *hosts > kMaxVolumeHosts) return RequestError::InvalidHostCount;
    request.volumeHosts = *hosts;
    return std::nullopt;
}

std::optional<RequestError> checkKeyAndBody(const RequestMessage& message, const Settings& settings,
                                            const Request& request) {
    const auto safety = settings.classes[request.classIndex.position()].retrySafety;
    if (safety == RetrySafety::IdempotentWithKey && fieldValue(message, "Idempotency-Key").empty())
        return RequestError::MissingIdempotencyKey;
    if (message.method() == boost::beast::http::verb::get && !message.body().empty())
        return RequestError::BodyOnRead;
    return std::nullopt;
}

}  // namespace

std::string_view describe(RequestError error) {
    switch (error) {
        case RequestError::MissingRequestId:
            return "Req-Id: missing";
        case RequestError::UnknownClass:
            return "Req-Kind: missing or not a known class";
        case RequestError::UnknownPlan:
            return "Tier: missing or not a known plan";
        case RequestError::InvalidDeadline:
            return "Req-Deadline-Ms: missing or not milliseconds up to an hour";
        case RequestError::InvalidKey:
            return "Cookie: no key of 16 hexadecimal digits";
        case RequestError::InvalidVolume:
            return "IO-Info volume: missing or not 16 hexadecimal digits";
        case RequestError::InvalidUnits:
            return "IO-Info units: missing or not a size above 0";
        case RequestError::InvalidShard:
            return "IO-Info shard: missing or not a shard";
        case RequestError::InvalidHostCount:
            return "IO-Info hosts: missing or not a number of hosts";
        case RequestError::MissingIdempotencyKey:
            return "Idempotency-Key: missing, and the class carries a key";
        case RequestError::BodyOnRead:
            return "Content-Length: a read has no body";
    }
    return "";
}

std::variant<ParsedRequest, RequestError> parseRequest(const RequestMessage& message,
                                                       const Settings& settings) {
    ParsedRequest parsed;
    if (const auto error = parseFields(message, settings, parsed)) return *error;
    const auto ioInfo = fieldValue(message, "IO-Info");
    if (const auto error = parseIoInfo(ioInfo, settings, parsed.request)) return *error;
    if (const auto error = checkKeyAndBody(message, settings, parsed.request)) return *error;
    return parsed;
}

}  // namespace wingproxy::http
