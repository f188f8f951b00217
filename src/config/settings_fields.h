/// \file
/// Maps the field names of the policy's settings to the members of `Settings`. Two formats share these
/// functions: the JSON configuration (settings_reader.cpp) and the simulator's wire format
/// (adapter/wire_settings.cpp). Header-only, so that the adapter needs no JSON library.
///
/// A `Reader` reads one object of either format. Its functions leave the target unchanged if the field is
/// missing, and throw the format's own error if it is malformed:
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

/// Value of "report.how" if nodes report their load only with health checks. With any other value they report
/// it with each response too.
inline constexpr std::string_view kReportsOnlyByHealthCheck = "probe";
/// Value of "registryMode" if the endpoint list must be polled. With any other value it is pushed.
inline constexpr std::string_view kPolledEndpointList = "on_request";

/// Reads the fields of one entry of "classes", except its name.
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

/// Reads the fields of one entry of "serviceLevels", except its name.
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

/// Reads the top-level fields that identify this host: its index, the number of hosts and its zone.
template <typename Reader>
void readHostFields(const Reader& reader, Settings& settings) {
    int hostIndex = settings.hostIndex.value();
    reader.number("me", hostIndex);
    settings.hostIndex = HostIndex(hostIndex);
    reader.number("replicasOfMe", settings.hostCount);
    reader.text("zone", settings.zone);
}

/// Reads "how" of "report".
template <typename Reader>
void readLoadReportMode(const Reader& report, Settings& settings) {
    std::string how;
    report.text("how", how);
    settings.loadReportsOnlyByHealthCheck = how == kReportsOnlyByHealthCheck;
}

/// Reads the top-level field "registryMode".
template <typename Reader>
void readEndpointListMode(const Reader& reader, Settings& settings) {
    std::string mode;
    reader.text("registryMode", mode);
    settings.pollsEndpointList = mode == kPolledEndpointList;
}

/// Reads the top-level field "roundUs".
template <typename Reader>
void readRoundField(const Reader& reader, Settings& settings) {
    reader.number("roundUs", settings.roundUs);
}

/// Reads the fields of "allowed": what the deployment permits.
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

/// Reads the fields of "obligations": what the deployment requires.
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

/// Reads the fields of "extra", except "changesData": units in slow start, request sizes, weights, the
/// metering window and the number of cells.
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
