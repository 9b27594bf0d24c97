#include "fuzz/generators.hpp"

#include "yuccaspan/settings_io.hpp"

namespace yuccaspan {
namespace {

constexpr std::string_view smallDocument = R"({
  "schema": 1,
  "zones": {"a": {"region": "r"}, "b": {"region": "r"}},
  "services": {"stock": {"pathPrefix": "/stock", "cellsPerZone": 2,
    "targets": {
      "t1": {"zone": "a", "address": "127.0.0.1", "port": 9001, "slots": 6},
      "t2": {"zone": "b", "address": "127.0.0.1", "port": 9002, "slots": 6}},
    "rules": {"10-look": {"kind": "lookup", "method": "GET", "repeatable": true,
      "keySource": "header", "keyName": "X-Depot"}}}}
})";

/// Checks for either settings that survive a round trip, or errors with a code and a text.
void expectSettingsOrErrors(const SettingsResult &result)
{
    if (const auto *errors = std::get_if<std::vector<Error>>(&result)) {
        RC_ASSERT(!errors->empty());
        for (const Error &error : *errors)
            RC_ASSERT(error.code != ErrorCode::Internal && !error.text.empty());
        return;
    }
    const auto &loaded = std::get<LoadedSettings>(result);
    const auto again = parseSettings(writeSettings(loaded.settings));
    RC_ASSERT(again.hasValue());
    RC_ASSERT(*again == loaded.settings);
}

RC_GTEST_PROP(SettingsFuzz, CorruptedDocumentsGiveErrors, ())
{
    for (int i = 0; i < fuzz::corruptionsPerCase; ++i)
        expectSettingsOrErrors(checkSettings(fuzz::corrupted(std::string(smallDocument))));
}

RC_GTEST_PROP(SettingsFuzz, RandomTextGivesErrors, ())
{
    expectSettingsOrErrors(checkSettings(fuzz::any<std::string>()));
}

RC_GTEST_PROP(SettingsFuzz, CorruptedPatchesGiveErrors, ())
{
    const std::string patch = R"({"services":{"stock":{"targets":{"t1":{"slots":7}}}}})";
    expectSettingsOrErrors(mergeSettings(
        {{"10.json", std::string(smallDocument)}, {"20.json", fuzz::corrupted(patch)}}));
}

TEST(SettingsFuzz, ValidDocumentIsAccepted)
{
    const auto settings = parseSettings(smallDocument);
    ASSERT_TRUE(settings.hasValue()) << settings.error();
    EXPECT_EQ(settings->services.size(), 1U);
}

/// Inputs that have broken parsers: deep nesting, huge numbers, invalid UTF-8, duplicate keys.
TEST(SettingsFuzz, CorpusIsRejected)
{
    const std::vector<std::string> corpus{
        "",
        "null",
        "[]",
        "{}",
        std::string(100000, '['),
        R"({"schema":1e999})",
        R"({"schema":99999999999999999999999})",
        R"({"schema":2})",
        "{\"schema\":1,\"zones\":{\"\xff\xfe\":{}}}",
        R"({"schema":1,"zones":{"a":{"region":"r"},"a":{"region":"s"}},"unknown":{}})",
    };
    for (const std::string &text : corpus) {
        const auto result = checkSettings(text);
        const auto *errors = std::get_if<std::vector<Error>>(&result);
        ASSERT_NE(errors, nullptr) << text.substr(0, 60);
        EXPECT_FALSE(errors->empty());
    }
}

} // namespace
} // namespace yuccaspan
