#include "yuccaspan/settings_io.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace yuccaspan {
namespace {

const char *const baseFile = R"({
  "schema": 1,
  "zones": {"a": {"region": "r"}, "b": {"region": "r"}},
  "services": {"stock": {
    "pathPrefix": "/stock",
    "targets": {
      "t1": {"zone": "a", "address": "127.0.0.1", "port": 9001, "slots": 6},
      "t2": {"zone": "b", "address": "127.0.0.1", "port": 9002, "slots": 6}
    },
    "rules": {
      "10-look": {"kind": "lookup", "method": "GET", "repeatable": true, "keySource": "path-segment"},
      "20-order": {"kind": "order", "method": "POST", "worth": 5, "deadlineMs": 250.5,
                   "keySource": "header", "keyName": "X-Depot"}
    }
  }}
})";

std::vector<Error> errorsOf(const SettingsResult &result)
{
    const auto *errors = std::get_if<std::vector<Error>>(&result);
    return errors == nullptr ? std::vector<Error>{} : *errors;
}

/// Merges the base file with a patch.
SettingsResult withChange(const std::string &change)
{
    return mergeSettings({{"90-change.json", change}, {"00-base.json", baseFile}});
}

bool hasError(const std::vector<Error> &errors, const std::string &pointer, const std::string &text)
{
    return std::ranges::any_of(errors, [&](const Error &error) {
        return error.place.pointer == pointer && error.text.find(text) != std::string::npos;
    });
}

TEST(SettingsCheck, ReadsValuesAndDefaults)
{
    const SettingsResult result = mergeSettings({{"00-base.json", baseFile}});
    ASSERT_TRUE(std::holds_alternative<LoadedSettings>(result)) << errorsOf(result).front();
    const Settings &settings = std::get<LoadedSettings>(result).settings;
    const ServiceSettings *service = settings.findService(ServiceName("stock"));
    ASSERT_NE(service, nullptr);
    EXPECT_EQ(service->targets.at(1).zone, ZoneId("b"));
    EXPECT_EQ(service->targets.at(0).connections, TargetSettings().connections);
    EXPECT_EQ(service->rules.at(1).deadline, std::chrono::microseconds(250500));
    EXPECT_EQ(service->rules.at(1).keyName, "X-Depot");
    EXPECT_EQ(service->rules.at(0).keySource, KeySource::PathSegment);
    EXPECT_TRUE(service->rules.at(0).repeatable);
}

TEST(SettingsCheck, LaterFileChangesOneFieldAndNullRemoves)
{
    const SettingsResult result =
        withChange(R"({"services":{"stock":{"targets":{"t1":{"slots":9},"t2":null}}}})");
    ASSERT_TRUE(std::holds_alternative<LoadedSettings>(result)) << errorsOf(result).front();
    const auto &targets = std::get<LoadedSettings>(result).settings.services.at(0).targets;
    ASSERT_EQ(targets.size(), 1U);
    EXPECT_EQ(targets.at(0).slots, 9U);
    EXPECT_EQ(targets.at(0).port, 9001);
}

TEST(SettingsCheck, ErrorNamesLastFileThatSetValue)
{
    const std::vector<Error> errors = errorsOf(withChange(R"({"services":{"stock":{
  "targets": {
    "t1": {"zone": "nowhere"}}}}})"));
    ASSERT_EQ(errors.size(), 1U);
    const SourcePlace expected{"90-change.json", "/services/stock/targets/t1/zone", 3, 12};
    EXPECT_EQ(errors.front().place, expected);
}

TEST(SettingsCheck, ReportsAllErrorsAtOnce)
{
    const std::vector<Error> errors = errorsOf(withChange(R"({"services":{"stock":{
        "whenCutOff":"maybe", "queueLimit":-1, "colour":"red", "size":1, "pathPrefix":null,
        "targets":{"t1":{"zone":"nowhere","slots":200}, "t2":{"port":"x"}}}}})"));
    const std::string stock = "/services/stock";
    EXPECT_TRUE(hasError(errors, stock + "/whenCutOff", "one of [\"move\",\"hold\"]"));
    EXPECT_TRUE(hasError(errors, stock + "/queueLimit", "an integer from 0 to 65536, found -1"));
    EXPECT_TRUE(hasError(errors, stock + "/colour", "unknown key"));
    EXPECT_TRUE(hasError(errors, stock + "/size", "unknown key"));
    EXPECT_TRUE(hasError(errors, stock + "/pathPrefix", "missing: expected a string"));
    EXPECT_TRUE(hasError(errors, stock + "/targets/t2/port", "found \"x\""));
    EXPECT_TRUE(hasError(errors, stock + "/targets/t1/zone", "unknown zone"));
    EXPECT_TRUE(hasError(errors, stock + "/targets/t1/connections", "cannot carry"));
    EXPECT_EQ(errors.size(), 8U);
}

struct RuleCase
{
    const char *name;
    const char *change;
    const char *pointer;
    const char *text;
};

class SettingsRules : public testing::TestWithParam<RuleCase>
{ };

TEST_P(SettingsRules, ReportsOneError)
{
    const std::vector<Error> errors = errorsOf(withChange(GetParam().change));
    EXPECT_EQ(errors.size(), 1U);
    EXPECT_TRUE(hasError(errors, GetParam().pointer, GetParam().text)) << errors.front();
}

constexpr const char *otherService =
    R"({"services":{"zeta":{"pathPrefix":"/stock","rules":{"1":{"kind":"k","keySource":
    "path-segment"}},"targets":{"z1":{"zone":"a","address":"::1","port":1,"slots":1}}}}})";

const RuleCase ruleCases[] = {
    {"NewerSchema", R"({"schema":2})", "/schema", "newer than this program supports"},
    {"DuplicateAddress", R"({"services":{"stock":{"targets":{"t2":{"port":9001}}}}})",
     "/services/stock/targets/t2/port", "already used by target \"t1\""},
    {"HostName", R"({"services":{"stock":{"targets":{"t2":{"address":"localhost"}}}}})",
     "/services/stock/targets/t2/address", "numeric IP address"},
    {"PathCollision", otherService, "/services/zeta/pathPrefix", "already selects"},
    {"HiddenPath",
     R"({"services":{"stock":{"rules":{"05":{"kind":"k","path":"/in","keySource":"path-segment","keySegment":1}}},
     "zeta":{"pathPrefix":"/stock/in","rules":{"1":{"kind":"k","keySource":"path-segment"}},
     "targets":{"z1":{"zone":"a","address":"::1","port":1,"slots":1}}}}})",
     "/services/stock/rules/05/path", "selects service \"zeta\""},
    {"Shadowed",
     R"({"services":{"stock":{"rules":{"15":{"kind":"k","method":"GET","path":"/x",
     "keySource":"path-segment","keySegment":1}}}}})",
     "/services/stock/rules/15", "rule \"10-look\" comes first"},
    {"NoRule", R"({"services":{"stock":{"rules":{"10-look":null,"20-order":null}}}})",
     "/services/stock/rules", "no rule"},
    {"NoKeyName", R"({"services":{"stock":{"rules":{"20-order":{"keyName":null}}}}})",
     "/services/stock/rules/20-order", "needs keyName"},
    {"KeySegment", R"({"services":{"stock":{"rules":{"10-look":{"path":"/x/y","keySegment":1}}}}})",
     "/services/stock/rules/10-look/keySegment", "expected at least 2"},
    {"Deadline", R"({"services":{"stock":{"rules":{"20-order":{"deadlineMs":0}}}}})",
     "/services/stock/rules/20-order/deadlineMs", "above 0"},
    {"TinyDeadline", R"({"services":{"stock":{"rules":{"20-order":{"deadlineMs":0.0001}}}}})",
     "/services/stock/rules/20-order/deadlineMs", "at least 0.001"},
    {"KindTwice", R"({"services":{"stock":{"rules":{"20-order":{"kind":"lookup"}}}}})",
     "/services/stock/rules/20-order/repeatable", "expected the same"},
    {"StoppedButIn", R"({"zones":{"a":{"stopped":true}}})", "/zones/a/stopped", "\"out\": true"},
    {"AllOut", R"({"zones":{"a":{"out":true},"b":{"out":true}}})", "/services/stock/targets",
     "every target"},
    {"TooManySlices", R"({"services":{"stock":{"slicesPerTarget":3,"maxSlicesPerCell":5}}})",
     "/services/stock/slicesPerTarget", "at most maxSlicesPerCell"},
    {"Connections", R"({"services":{"stock":{"targets":{"t1":{"connections":5}}}}})",
     "/services/stock/targets/t1/connections", "cannot carry 6 slots"},
    {"BadName", R"({"zones":{"a b":{"region":"r"}}})", "/zones/a b", "expected a name"},
};

INSTANTIATE_TEST_SUITE_P(All, SettingsRules, testing::ValuesIn(ruleCases),
                         [](const auto &info) { return info.param.name; });

TEST(SettingsCheck, ParseErrorsHaveLineAndColumn)
{
    const std::vector<Error> errors = errorsOf(mergeSettings({{"a.json", "{\n  \"zones\": }\n"},
                                                              {"b.json", "{\"x\":1,\n\"x\":2}"},
                                                              {"c.json", "[1]"},
                                                              {"d.json", ""}}));
    ASSERT_EQ(errors.size(), 4U);
    EXPECT_EQ(errors.at(0).place, (SourcePlace{"a.json", "", 2, 12}));
    EXPECT_EQ(errors.at(0).code, ErrorCode::ParseFailed);
    EXPECT_EQ(errors.at(1).place, (SourcePlace{"b.json", "/x", 2, 1}));
    EXPECT_EQ(errors.at(2).code, ErrorCode::SchemaViolation);
    EXPECT_EQ(errors.at(3).place.file, "d.json");
}

} // namespace
} // namespace yuccaspan
