#include "http/node_response.h"

#include <array>
#include <optional>

#include "http/field_values.h"

namespace wingproxy::http {
namespace {

// The header uses the simulator's column names; the settings may use either name of a column.
struct ColumnAlias {
    std::string_view setting;
    std::string_view header;
};
constexpr std::array<ColumnAlias, 6> kColumnAliases{{{"concurrent", "inflight"},
                                                     {"depth", "queue"},
                                                     {"load_share", "util"},
                                                     {"mean_ms", "latency_ms"},
                                                     {"tps", "qps"},
                                                     {"err_ps", "eps"}}};

std::optional<std::string_view> findColumn(std::string_view report, std::string_view column) {
    if (const auto value = findParameter(report, ',', column)) return value;
    for (const auto& alias : kColumnAliases)
        if (alias.setting == column) return findParameter(report, ',', alias.header);
    return std::nullopt;
}

Outcome outcomeOf(unsigned status, bool declined) {
    if (status == 200) return Outcome::Ok;
    if (declined && (status == 503 || status == 504)) return Outcome::Rejected;
    return Outcome::Error;
}

// Parses a header field as a number; nothing if it is missing, invalid or negative.
std::optional<double> parseLoadField(const ResponseHead& head, const char* name) {
    const auto value = parseNumber<double>(trimWhitespace(toStringView(head[name])));
    return value && *value >= 0 ? value : std::nullopt;
}

}  // namespace

std::vector<double> parseLoadReport(std::string_view report, const Settings& settings) {
    if (trimWhitespace(report).empty()) return {};
    std::vector<double> values;
    for (const auto& column : settings.reportColumns) {
        const auto value = parseNumber<double>(findColumn(report, column).value_or(""));
        if (!value) return {};
        values.push_back(*value);
    }
    return values;
}

core::AttemptFinished interpretNodeResponse(const ResponseHead& head, const Settings& settings) {
    const auto status = head.result_int();
    const bool declined = trimWhitespace(toStringView(head["Srv-Declined"])) == "1";
    core::AttemptFinished result;
    result.outcome = outcomeOf(status, declined);
    result.requestSpent = status == 504 && declined;
    // The policy's value is the field's plus 1, as 0 means that the field is missing.
    if (const auto percent = parseLoadField(head, "Volume-Load")) result.loadPercent = *percent + 1;
    if (const auto others = parseLoadField(head, "Other-Hosts")) result.loadElsewhere = *others;
    result.loadReport = parseLoadReport(toStringView(head["Srv-Load"]), settings);
    return result;
}

}  // namespace wingproxy::http
