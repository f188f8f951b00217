#include "wire_settings.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "config/parse_number.h"
#include "config/settings_fields.h"

namespace wingproxy::wire {
namespace {

/// The fields of a line by their path. If a path is repeated, its last field is used.
class FieldsByPath {
public:
    explicit FieldsByPath(const WireLine& line) : line_(line) {
        for (const auto& field : line.fields())
            values_[std::string(field.key)] = field.value;
    }
    const std::string_view* find(const std::string& path) const {
        const auto found = values_.find(path);
        return found == values_.end() ? nullptr : &found->second;
    }
    const WireLine& line() const { return line_; }

private:
    const WireLine& line_;
    std::map<std::string, std::string_view> values_;
};

/// Reads the fields below one path: a `Reader` as described in config/settings_fields.h.
class FieldReader {
public:
    /// \param fields must outlive the reader
    /// \param prefix empty, or ending in "."
    explicit FieldReader(const FieldsByPath& fields, std::string prefix = "")
        : fields_(fields), prefix_(std::move(prefix)) {}

    FieldReader child(const std::string& key) const { return FieldReader(fields_, prefix_ + key + "."); }

    template <typename T>
    void number(std::string_view key, T& into) const {
        const auto* const value = find(key);
        if (!value) return;
        const auto parsed = config::parseNumber<double>(*value);
        if (!parsed) fail(key, "not a number: " + quote(*value));
        into = static_cast<T>(*parsed);
    }
    void text(std::string_view key, std::string& into) const {
        if (const auto* const value = find(key)) into = *value;
    }
    void flag(std::string_view key, bool& into) const {
        const auto* const value = find(key);
        if (!value) return;
        const bool isTrue = *value == "true" || *value == "1";
        const bool isFalse = *value == "false" || *value == "0";
        if (!isTrue && !isFalse) fail(key, "not true or false: " + quote(*value));
        into = isTrue;
    }
    template <typename T, std::size_t Count>
    void choice(std::string_view key, T& into, const config::NamedValues<T, Count>& values) const {
        const auto* const name = find(key);
        if (!name) return;
        const auto value = values.find(*name);
        if (!value) fail(key, "unknown " + std::string(values.kind) + " " + quote(*name));
        into = *value;
    }
    /// The items of a list; none if the field is missing.
    std::vector<std::string> list(std::string_view key) const {
        const auto* const value = find(key);
        if (!value) return {};
        const auto items = splitList(*value);
        return {items.begin(), items.end()};
    }
    /// Readers of the entries "KEY.0" to "KEY.(n-1)" of a list of objects, where "KEY.count" is n.
    std::vector<FieldReader> objects(const std::string& key) const {
        constexpr std::size_t kMaxObjects = 10'000;  // a malformed count must not exhaust memory
        const auto entries = child(key);
        std::size_t count = 0;
        entries.number("count", count);
        if (count > kMaxObjects)
            entries.fail("count", std::to_string(count) + " is more than " + std::to_string(kMaxObjects));
        std::vector<FieldReader> readers;
        for (std::size_t i = 0; i < count; ++i)
            readers.push_back(entries.child(std::to_string(i)));
        return readers;
    }

private:
    const std::string_view* find(std::string_view key) const {
        return fields_.find(prefix_ + std::string(key));
    }
    [[noreturn]] void fail(std::string_view key, const std::string& reason) const {
        fields_.line().fail(prefix_ + std::string(key), reason);
    }

    const FieldsByPath& fields_;
    std::string prefix_;
};

ClassInfo parseClass(const FieldReader& reader) {
    ClassInfo info;
    reader.text("name", info.name);
    config::readClassFields(reader, info);
    return info;
}

PlanInfo parsePlan(const FieldReader& reader) {
    PlanInfo plan;
    reader.text("name", plan.name);
    config::readPlanFields(reader, plan);
    return plan;
}

/// "extra.changesData" is a list that says, by class index, whether requests of the class modify data.
void parseWritingClasses(const FieldReader& extra, std::vector<ClassInfo>& classes) {
    const auto writes = extra.list("changesData");
    for (std::size_t i = 0; i < writes.size() && i < classes.size(); ++i)
        classes[i].writes = writes[i] == "true";
}

}  // namespace

Settings parseSettings(const WireLine& line) {
    const FieldsByPath fields(line);
    const FieldReader root(fields);
    const auto report = root.child("report");
    const auto extra = root.child("extra");
    Settings settings;
    settings.seed = line.has("rngSeed") ? line.unsignedInteger("rngSeed") : 0;
    config::readHostFields(root, settings);
    for (const auto& entry : root.objects("classes"))
        settings.classes.push_back(parseClass(entry));
    for (const auto& entry : root.objects("serviceLevels"))
        settings.plans.push_back(parsePlan(entry));
    settings.reportColumns = report.list("columns");
    config::readLoadReportMode(report, settings);
    config::readEndpointListMode(root, settings);
    config::readAllowedFields(root.child("allowed"), settings);
    config::readObligationFields(root.child("obligations"), settings);
    config::readExtraFields(extra, settings);
    parseWritingClasses(extra, settings.classes);
    config::readRoundField(root, settings);
    return settings;
}

}  // namespace wingproxy::wire
