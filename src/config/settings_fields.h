/// \file
/// The fields of the policy's settings: the name of each field and the member of `Settings` that it fills.
/// Two formats have these fields, the JSON configuration (settings_reader.cpp) and the simulator's wire
/// (adapter/wire_settings.cpp); both readers use this one description. Header-only, so that the adapter needs
/// no JSON library.
///
/// A `Reader` stands for one object of either format. Its functions leave the target as it is where the field
/// is missing, and throw the format's own error where it is malformed:
///
///     void number(std::string_view key, T& into) const;   // T: any arithmetic type
///     void flag(std::string_view key, bool& into) const;
///     void text(std::string_view key, std::string& into) const;
///     void choice(std::string_view key, T& into, const NamedValues<T, N>& values) const;
#pragma once

#include <string>
#include <string_view>

#include "config/named_values.h"
#include "wingproxy/policy.h"

namespace wingproxy::config {

inline constexpr NamedValues<RetrySafety, 3> kRetrySafetyNames{
    "effect",
    {{{"idempotent", RetrySafety::Idempotent},
      {"deduplicated", RetrySafety::IdempotentWithKey},
      {"at_most_once", RetrySafety::NotIdempotent}}}};

inline constexpr NamedValues<KeyScope, 3> kKeyScopeNames{
    "scope", {{{"all", KeyScope::Global}, {"zone", KeyScope::Zone}, {"cell", KeyScope::Cell}}}};

/// Value of "report.how" where load reports come only with health checks; any other value: with each answer
/// too.
inline constexpr std::string_view kReportsOnlyByHealthCheck = "probe";
/// Value of "registryMode" where the endpoint list must be polled; any other value: it is pushed.
inline constexpr std::string_view kPolledEndpointList = "on_request";

/// Fields of one entry of "classes" but for its name.
template <typename Reader>
void readClassFields(const Reader& reader, ClassInfo& info) {
    reader.number("aimUs", info.latencyObjectiveUs);
    reader.number("deadlineUs", info.deadlineUs);
    reader.number("windowUs", info.keyWindowUs);
    reader.number("value", info.priorityWeight);
    reader.number("lateWorth", info.lateWeight);
    reader.flag("stream", info.stream);
    reader.flag("fifoByKey", info.fifoByKey);
    reader.choice("effect", info.retrySafety, kRetrySafetyNames);
    reader.choice("keyScope", info.keyScope, kKeyScopeNames);
}

/// Fields of one entry of "serviceLevels" but for its name.
template <typename Reader>
void readPlanFields(const Reader& reader, PlanInfo& plan) {
    reader.number("baseRate", plan.baseRate);
    reader.number("guaranteed", plan.guaranteedRate);
    reader.number("shares", plan.shares);
    reader.number("valueFactor", plan.priorityFactor);
    reader.number("limit", plan.limit);
    reader.number("limitBurst", plan.limitBurst);
    reader.number("limitSlack", plan.limitSlack);
}

/// Fields of the settings themselves that say which host this is.
template <typename Reader>
void readHostFields(const Reader& reader, Settings& settings) {
    int hostIndex = settings.hostIndex.value();
    reader.number("me", hostIndex);
    settings.hostIndex = HostIndex(hostIndex);
    reader.number("replicasOfMe", settings.hostCount);
    reader.text("zone", settings.zone);
}

/// Field "how" of "report".
template <typename Reader>
void readLoadReportMode(const Reader& report, Settings& settings) {
    std::string how;
    report.text("how", how);
    settings.loadReportsOnlyByHealthCheck = how == kReportsOnlyByHealthCheck;
}

/// Field "registryMode" of the settings themselves.
template <typename Reader>
void readEndpointListMode(const Reader& reader, Settings& settings) {
    std::string mode;
    reader.text("registryMode", mode);
    settings.pollsEndpointList = mode == kPolledEndpointList;
}

/// Field "roundUs" of the settings themselves.
template <typename Reader>
void readRoundField(const Reader& reader, Settings& settings) {
    reader.number("roundUs", settings.roundUs);
}

/// Fields of "allowed": what the deployment permits.
template <typename Reader>
void readAllowedFields(const Reader& allowed, Settings& settings) {
    allowed.number("tryLimit", settings.maxAttempts);
    allowed.flag("mayProbe", settings.mayCheckHealth);
    allowed.flag("peers", settings.mayGossip);
    allowed.flag("cancel", settings.mayCancel);
    allowed.flag("secondCopies", settings.hedging);
    allowed.flag("retryAfter", settings.sendsRetryAfter);
    allowed.number("maxRetryAfterUs", settings.maxRetryAfterUs);
    allowed.number("connectTimeoutUs", settings.connectTimeoutUs);
}

/// Fields of "obligations": what the deployment demands.
template <typename Reader>
void readObligationFields(const Reader& obligations, Settings& settings) {
    obligations.number("answerSlackUs", settings.responseSlackUs);
    obligations.number("drainGraceUs", settings.drainGraceUs);
    obligations.number("askEveryUs", settings.pollIntervalUs);
    obligations.number("keyRestUs", settings.keyCooldownUs);
    obligations.number("resendRatio", settings.retryRatio);
    obligations.number("extraFree", settings.retryAllowance);
    obligations.number("resendSpanUs", settings.retryWindowUs);
    obligations.number("startCapacity", settings.slowStartCapacity);
    obligations.number("fallMultiple", settings.slowStartOverloadFactor);
    obligations.number("fallUs", settings.slowStartWindowUs);
    obligations.number("warmAfterUs", settings.slowStartDurationUs);
}

/// Fields of "extra" but for "changesData": sizes of requests and of the tier.
template <typename Reader>
void readExtraFields(const Reader& extra, Settings& settings) {
    extra.number("coldBears", settings.slowStartUnits);
    extra.number("meanUnits", settings.meanUnits);
    extra.number("maxUnits", settings.maxUnits);
    extra.number("withinShare", settings.shareWeight);
    extra.number("spareWorth", settings.spareWeight);
    extra.number("meterUs", settings.meteringWindowUs);
    extra.number("shards", settings.cellCount);
}

}  // namespace wingproxy::config
