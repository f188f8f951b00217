#include "config/settings_reader.h"

#include <cstddef>

#include "config/settings_fields.h"

namespace wingproxy::config {
namespace {

/// The policy sizes a table by the number of cells: a damaged file must not exhaust the memory.
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

/// "changesData" says of each class, by its index, whether its requests write. It may be shorter or longer
/// than the list of classes.
void readWritingClasses(const JsonObject& extra, std::vector<ClassInfo>& classes) {
    if (!extra.has("changesData")) return;
    const auto writes = extra.list("changesData");
    for (std::size_t i = 0; i < writes.size() && i < classes.size(); ++i)
        if (writes[i].get(classes[i].writes)) extra.fail("changesData", "not a list of true or false");
}

}  // namespace

Settings readSettings(const JsonObject& object) {
    Settings settings;
    readHostFields(object, settings);
    for (const auto& entry : object.objects("classes"))
        settings.classes.push_back(readClass(entry));
    for (const auto& entry : object.objects("serviceLevels"))
        settings.plans.push_back(readPlan(entry));
    if (settings.classes.empty()) object.fail("classes", "empty");
    if (settings.plans.empty()) object.fail("serviceLevels", "empty");
    readLoadReport(object, settings);
    readEndpointListMode(object, settings);
    readRoundField(object, settings);
    readAllowedFields(object.child("allowed"), settings);
    readObligationFields(object.child("obligations"), settings);
    const auto extra = object.child("extra");
    readExtraFields(extra, settings);
    readWritingClasses(extra, settings.classes);
    if (!settings.hostIndex.isBelow(settings.hostCount)) object.fail("me", "not below replicasOfMe");
    if (settings.cellCount < 0 || settings.cellCount > kMaxCells) extra.fail("shards", "out of range");
    return settings;
}

}  // namespace wingproxy::config
