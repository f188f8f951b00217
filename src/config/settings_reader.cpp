#include "config/settings_reader.h"

#include <cstddef>

#include "config/settings_fields.h"

namespace wingproxy::config {
namespace {

/// The policy sizes a table by the number of cells, so an invalid file with a huge one must not exhaust the
/// memory.
constexpr int kMaxCells = 100'000;

ClassInfo readClass(const JsonObject& object) {
    ClassInfo info;
    info.name = object.text("name");
    readClassFields(object, info);
    return info;
}

PlanInfo readPlan(const JsonObject& object) {
    PlanInfo plan;
    plan.name = object.text("name");
    readPlanFields(object, plan);
    return plan;
}

void readLoadReport(const JsonObject& object, Settings& settings) {
    if (!object.has("report")) return;
    const auto report = object.child("report");
    if (report.has("columns")) settings.reportColumns = report.texts("columns");
    readLoadReportMode(report, settings);
}

/// "changesData" has a boolean for each class index: whether requests of the class write. The array may be
/// shorter or longer than that of the classes.
void readWritingClasses(const JsonObject& extra, std::vector<ClassInfo>& classes) {
    if (!extra.has("changesData")) return;
    const auto writes = extra.list("changesData");
    for (std::size_t i = 0; i < writes.size() && i < classes.size(); ++i)
        if (writes[i].get(classes[i].writes)) extra.fail("changesData", "not an array of true or false");
}

}  // namespace

Settings readSettings(const JsonObject& object) {
    Settings settings;
    readHostFields(object, settings);
    for (const auto& entry : object.objects("classes"))
        settings.classes.push_back(readClass(entry));
    for (const auto& entry : object.objects("serviceLevels"))
        settings.plans.push_back(readPlan(entry));
    if (settings.classes.empty()) object.fail("classes", "must not be empty");
    if (settings.plans.empty()) object.fail("serviceLevels", "must not be empty");
    readLoadReport(object, settings);
    readEndpointListMode(object, settings);
    readRoundField(object, settings);
    readAllowedFields(object.child("allowed"), settings);
    readObligationFields(object.child("obligations"), settings);
    const auto extra = object.child("extra");
    readExtraFields(extra, settings);
    readWritingClasses(extra, settings.classes);
    if (!settings.hostIndex.isBelow(settings.hostCount))
        object.fail("me", fmt::format("{} is not between 0 and replicasOfMe - 1 = {}",
                                      settings.hostIndex.value(), settings.hostCount - 1));
    if (settings.cellCount < 0 || settings.cellCount > kMaxCells)
        extra.fail("shards", fmt::format("{} is not between 0 and {}", settings.cellCount, kMaxCells));
    return settings;
}

}  // namespace wingproxy::config
