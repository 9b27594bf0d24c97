#include "yuccaspan/settings_io.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <map>
#include <set>

namespace yuccaspan {
namespace {

using nlohmann::json;

json schemaDocument()
{
    return json::parse(settingsSchema());
}

/// The parts of the schema by their headings in docs/SETTINGS.md.
std::map<std::string, json> schemaParts()
{
    const json schema = schemaDocument();
    const json &definitions = schema["definitions"];
    return {{"## The document", schema},
            {"### Zone: `/zones/<name>`", definitions["zone"]},
            {"### Service: `/services/<name>`", definitions["service"]},
            {"### Target: `/services/<name>/targets/<name>`", definitions["target"]},
            {"### Rule: `/services/<name>/rules/<name>`", definitions["rule"]}};
}

std::string rangeText(const json &property)
{
    const std::string type = property["type"];
    if (property.contains("enum")) {
        std::string text;
        for (const json &value : property["enum"])
            text += (text.empty() ? "`" : ", `") + value.get<std::string>() + '`';
        return text;
    }
    if (type == "boolean")
        return "`true`, `false`";
    if (type == "object")
        return property.value("minProperties", json(0)).dump() + " to "
            + property["maxProperties"].dump() + " members";
    if (type == "string") {
        const std::string length = "at most " + property["maxLength"].dump() + " bytes";
        return property.contains("pattern")
            ? '`' + property["pattern"].get<std::string>() + "`, " + length
            : length;
    }
    const std::string low = property.contains("minimum")
        ? property["minimum"].dump()
        : "above " + property["exclusiveMinimum"].dump();
    return low + " to " + property["maximum"].dump();
}

/// The expected beginning and end of a property's table row.
std::pair<std::string, std::string> expectedRow(const std::string &name, const json &part)
{
    const json &property = part["properties"][name];
    const json required = part.value("required", json::array());
    const bool isRequired = std::ranges::find(required, json(name)) != required.end();
    const std::string initial = isRequired ? "required" : '`' + property["default"].dump() + '`';
    return {"| `" + name + "` | " + property["type"].get<std::string>() + " | ",
            " | " + initial + " | " + rangeText(property) + " | "
                + property["description"].get<std::string>() + " |"};
}

TEST(SettingsPage, ListsExactlyTheSchemaKeys)
{
    std::ifstream page("docs/SETTINGS.md");
    ASSERT_TRUE(page) << "run from the project's root";
    std::map<std::string, std::vector<std::string>> rows;
    std::string heading;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with('#'))
            heading = line;
        if (line.starts_with("| `"))
            rows[heading].push_back(line);
    }
    for (const auto &[name, part] : schemaParts()) {
        EXPECT_EQ(rows[name].size(), part["properties"].size()) << name;
        for (const auto &[key, property] : part["properties"].items()) {
            const auto [start, end] = expectedRow(key, part);
            const auto fits = [&, &start = start, &end = end](const std::string &row) {
                return row.starts_with(start) && row.ends_with(end);
            };
            EXPECT_EQ(std::ranges::count_if(rows[name], fits), 1) << start << "..." << end;
        }
    }
}

/// The defaults in the schema equal those of the C++ structures.
TEST(SettingsPage, SchemaDefaultsMatchStructures)
{
    Settings settings;
    settings.zones.emplace_back();
    settings.services.emplace_back().targets.emplace_back();
    settings.services.front().rules.emplace_back();
    const json document = json::parse(writeSettings(settings));
    const json &service = document["services"][""];
    const std::map<std::string, json> written{{"zone", document["zones"][""]},
                                              {"service", service},
                                              {"target", service["targets"][""]},
                                              {"rule", service["rules"]["0000"]}};
    for (const auto &[name, record] : written) {
        const json part = schemaDocument()["definitions"][name];
        for (const auto &[key, property] : part["properties"].items()) {
            ASSERT_TRUE(record.contains(key)) << name << ' ' << key;
            EXPECT_EQ(property.value("default", record[key]), record[key]) << name << ' ' << key;
        }
        EXPECT_EQ(record.size(), part["properties"].size()) << name;
    }
}

Settings readExample(const char *folder)
{
    const SettingsResult result = readSettingsFolder(folder);
    if (const auto *errors = std::get_if<std::vector<Error>>(&result)) {
        for (const Error &error : *errors)
            ADD_FAILURE() << error;
        return {};
    }
    return std::get<LoadedSettings>(result).settings;
}

struct Shape
{
    const char *service;
    std::size_t targets;
    std::uint32_t slots;
    std::uint32_t connections;
};

void expectShape(const Settings &settings, const Shape &shape)
{
    const ServiceSettings *service = settings.findService(ServiceName(shape.service));
    ASSERT_NE(service, nullptr) << shape.service;
    EXPECT_EQ(service->targets.size(), shape.targets);
    std::set<ZoneId> zones;
    for (const TargetSettings &target : service->targets) {
        EXPECT_EQ(target.slots, shape.slots);
        EXPECT_EQ(target.connections, shape.connections);
        zones.insert(target.zone);
    }
    EXPECT_EQ(zones.size(), settings.zones.size());
}

TEST(Examples, MatchDeploymentSizes)
{
    const Settings kigali = readExample("examples/kigali");
    EXPECT_EQ(kigali.zones.size(), 3U);
    expectShape(kigali, {"depot-stock", 20, 6, 100});
    expectShape(kigali, {"flood-dispatch", 6, 6, 100});
    const Settings batinah = readExample("examples/batinah");
    EXPECT_EQ(batinah.zones.size(), 4U);
    expectShape(batinah, {"peg-ledger", 30, 2, 50});
    expectShape(batinah, {"depot-issue", 8, 2, 50});
}

TEST(Examples, OnlyGetRequestsAreRepeatable)
{
    for (const char *folder : {"examples/kigali", "examples/batinah"}) {
        for (const ServiceSettings &service : readExample(folder).services) {
            for (const RequestRule &rule : service.rules)
                EXPECT_EQ(rule.repeatable, rule.method == "GET") << rule.kind;
        }
    }
}

} // namespace
} // namespace yuccaspan
