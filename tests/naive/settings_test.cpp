#include "settings_generators.hpp"
#include "settings_naive.hpp"

#include "settings/merge.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace yuccaspan {
namespace {

using nlohmann::json;

RC_GTEST_PROP(SettingsDifferential, MergeAndLocationsMatchReference, ())
{
    std::vector<json> documents;
    impl::MergedJson merged;
    json expected = json::object();
    const std::size_t files = between<std::size_t>(1, 5);
    for (std::size_t index = 0; index < files; ++index) {
        json document = anyJson(4);
        if (!document.is_object())
            document = json{{"a", document}};
        const std::string text = document.dump(between(-1, 2));
        const impl::ParsedJson parsed = impl::parseJson(std::to_string(index), text);
        RC_ASSERT(parsed.errors.empty());
        RC_ASSERT(parsed.value == document);
        impl::applyPatch(merged, parsed);
        expected = naive::mergePatch(expected, document);
        documents.push_back(std::move(document));
    }
    RC_ASSERT(merged.value == expected);
    for (const auto &[pointer, place] : merged.places) {
        const json::json_pointer member(pointer);
        RC_ASSERT(expected.contains(member));
        if (pointer.empty())
            continue;
        const auto setter = naive::lastSetter(documents, member);
        RC_ASSERT(setter.has_value());
        RC_ASSERT(place.file == std::to_string(*setter));
        RC_ASSERT(place.pointer == pointer);
    }
}

RC_GTEST_PROP(SettingsDifferential, RecordsLocationOfMembersOutsideArrays, ())
{
    json document = anyJson(4);
    if (!document.is_object())
        document = json::object();
    const impl::ParsedJson parsed = impl::parseJson("f", document.dump());
    const json flat = document.flatten();
    for (const auto &[pointer, value] : flat.items()) {
        std::string member = pointer;
        while (!member.empty() && !parsed.places.contains(member)) {
            member.erase(member.rfind('/'));
            const bool isArray = document.contains(json::json_pointer(member))
                && document[json::json_pointer(member)].is_array();
            RC_ASSERT(isArray);
        }
    }
}

RC_GTEST_PROP(SettingsDifferential, ReadingMatchesReference, ())
{
    const Settings settings = anySettings();
    const json document = json::parse(writeSettings(settings));
    std::vector<SettingsFile> files{{"00.json", document.dump()}};
    json expected = document;
    json patch = json::object();
    for (const ServiceSettings &service : settings.services) {
        json &changes = patch["services"][service.name.text()];
        for (const char *optional : {"queueLimit", "repeatBudget", "whenCutOff"}) {
            if (*rc::gen::arbitrary<bool>())
                changes[optional] = nullptr;
        }
        changes["targets"][service.targets.front().id.text()]["checksGrants"] =
            *rc::gen::arbitrary<bool>();
        changes["rules"]["0000"]["worth"] = between(0, 100);
    }
    files.push_back({"10.json", patch.dump()});
    expected = naive::mergePatch(expected, patch);
    const SettingsResult merged = mergeSettings(files);
    RC_ASSERT(std::holds_alternative<LoadedSettings>(merged));
    const LoadedSettings &loaded = std::get<LoadedSettings>(merged);
    RC_ASSERT(json::parse(loaded.document) == expected);
    RC_ASSERT(loaded.settings == naive::readSettings(expected));
}

RC_GTEST_PROP(SettingsRoundTrip, WrittenSettingsParseToSameSettings, ())
{
    const Settings settings = anySettings();
    const Result<Settings> parsed = parseSettings(writeSettings(settings));
    RC_ASSERT(parsed.hasValue());
    RC_ASSERT(*parsed == settings);
}

/// A service whose rules often shadow each other.
ServiceSettings anyShadowingService()
{
    ServiceSettings service;
    const std::size_t rules = between<std::size_t>(1, 5);
    for (std::size_t index = 0; index < rules; ++index) {
        RequestRule rule = anyRule(index);
        rule.path = pick<std::string>({"", "/a", "/a/b", "/ab", "/a/b/c"});
        service.rules.push_back(rule);
    }
    return service;
}

RC_GTEST_PROP(SettingsDifferential, FirstMatchingRuleMatchesReference, ())
{
    const ServiceSettings service = anyShadowingService();
    const std::string method = pick<std::string>({"GET", "POST", "PUT"});
    const std::string path =
        pick<std::string>({"", "/a", "/ab", "/a/b", "/a/bc", "/a/b/c/d", "/x"});
    const RequestRule *found = service.findRule(method, path);
    const auto expected = naive::findRule(service, method, path);
    RC_ASSERT((found != nullptr) == expected.has_value());
    if (expected)
        RC_ASSERT(found == &service.rules[*expected]);
}

RC_GTEST_PROP(SettingsDifferential, ReportsExactlyTheRulesThatNeverMatch, ())
{
    Settings settings = anySettings();
    ServiceSettings &service = settings.services.front();
    service.rules = anyShadowingService().rules;
    const SettingsResult checked = checkSettings(writeSettings(settings));
    std::vector<std::string> reported;
    if (const auto *errors = std::get_if<std::vector<Error>>(&checked)) {
        for (const Error &error : *errors)
            reported.push_back(error.place.pointer);
    }
    for (std::size_t index = 0; index < service.rules.size(); ++index) {
        const RequestRule &rule = service.rules[index];
        const std::string method = rule.method.empty() ? "UNUSUAL" : rule.method;
        const bool matchesNothing = naive::findRule(service, method, rule.path) != index;
        const std::string pointer =
            "/services/" + service.name.text() + "/rules/000" + std::to_string(index);
        const bool isReported = std::ranges::find(reported, pointer) != reported.end();
        RC_ASSERT(isReported == matchesNothing);
    }
}

RC_GTEST_PROP(SettingsFuzz, RejectsInvalidTextWithLocation, (const std::string &text))
{
    const SettingsResult result = mergeSettings({{"f.json", text}});
    const auto *errors = std::get_if<std::vector<Error>>(&result);
    RC_ASSERT(errors != nullptr);
    RC_ASSERT(!errors->empty());
    RC_ASSERT(errors->front().place.file == "f.json");
}

RC_GTEST_PROP(SettingsFuzz, CorruptedDocumentsGiveSettingsOrErrors, ())
{
    std::string text = writeSettings(anySettings());
    const int corruptions = between(1, 6);
    for (int corruption = 0; corruption < corruptions; ++corruption) {
        const std::size_t at = between<std::size_t>(0, text.size() - 1);
        const std::size_t length = between<std::size_t>(0, 8);
        text.replace(at, length,
                     pick<std::string>({"", "null", "{}", "[", "\"", "-1", "1e99", "\xff", "}"}));
    }
    const SettingsResult result = checkSettings(text);
    const auto *errors = std::get_if<std::vector<Error>>(&result);
    if (errors != nullptr) {
        RC_ASSERT(!errors->empty());
        return;
    }
    const LoadedSettings &loaded = std::get<LoadedSettings>(result);
    RC_ASSERT(parseSettings(writeSettings(loaded.settings)).hasValue());
}

RC_GTEST_PROP(SettingsFuzz, ReportsReplacedValuesAtTheirLocation, ())
{
    json document = json::parse(writeSettings(anySettings()));
    const json flat = document.flatten();
    const std::size_t at = between<std::size_t>(0, flat.size() - 1);
    const std::string pointer = std::next(flat.begin(), static_cast<std::ptrdiff_t>(at)).key();
    const json::json_pointer leaf(pointer);
    document[leaf] = json::object({{"unexpected", anyJson(2)}});
    const SettingsResult result = checkSettings(document.dump());
    const auto *errors = std::get_if<std::vector<Error>>(&result);
    RC_ASSERT(errors != nullptr);
    const bool named = std::ranges::any_of(
        *errors, [&](const Error &error) { return error.place.pointer == pointer; });
    RC_ASSERT(named);
}

TEST(SettingsFuzz, RejectsOversizedAndDeepDocuments)
{
    const std::string deep(100000, '[');
    EXPECT_TRUE(std::holds_alternative<std::vector<Error>>(checkSettings(deep)));
    const std::string members = "{\"a\":" + std::string(40, '{');
    EXPECT_TRUE(std::holds_alternative<std::vector<Error>>(checkSettings(members)));
    const std::string longString = "{\"schema\":\"" + std::string(900000, 'x') + "\"}";
    const SettingsResult result = checkSettings(longString);
    ASSERT_TRUE(std::holds_alternative<std::vector<Error>>(result));
    EXPECT_EQ(std::get<std::vector<Error>>(result).front().code, ErrorCode::LimitExceeded);
    const SettingsResult tooLong = checkSettings(std::string(1000001, ' '));
    ASSERT_TRUE(std::holds_alternative<std::vector<Error>>(tooLong));
    EXPECT_EQ(std::get<std::vector<Error>>(tooLong).front().code, ErrorCode::LimitExceeded);
}

} // namespace
} // namespace yuccaspan
