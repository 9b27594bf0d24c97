#include "fake_admin_source.hpp"
#include "fake_store.hpp"

#include "ctl/command.hpp"
#include "ctl/document_diff.hpp"
#include "yuccaspan/instance_status.hpp"
#include "yuccaspan/settings_io.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace yuccaspan {
namespace {

using nlohmann::json;

const char *const baseFile = R"({"schema": 1,
  "zones": {"a": {"region": "r"}, "b": {"region": "r"}},
  "services": {"stock": {"pathPrefix": "/stock",
    "targets": {"t1": {"zone": "a", "address": "127.0.0.1", "port": 9001, "slots": 6},
                "t2": {"zone": "b", "address": "127.0.0.1", "port": 9002, "slots": 6}},
    "rules": {"10": {"kind": "lookup", "keySource": "path-segment"}}}}})";

struct Outcome
{
    int exitCode;
    json output;
};

class Ctl : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto *test = testing::UnitTest::GetInstance()->current_test_info();
        m_folder = std::filesystem::temp_directory_path()
            / ("yuccaspan-ctl-" + std::to_string(getpid()) + '-' + test->name());
        std::filesystem::create_directory(m_folder);
        write("00-base.json", baseFile);
    }

    void TearDown() override { std::filesystem::remove_all(m_folder); }

    void write(const std::string &name, const std::string &text) const
    {
        std::ofstream(m_folder / name) << text;
    }

    /// Writes an instance's status record, replacing any earlier one.
    void report(const char *id, std::uint64_t version)
    {
        const InstanceStatusRecord record{InstanceId(id), ZoneId("a"), {version}, false};
        const std::string path = instanceStatusPath(record.id);
        const auto &history = store.objects[path];
        const ObjectVersion present = history.empty() ? ObjectVersion{} : history.back().version;
        ASSERT_TRUE(store.write(path, present, encodeInstanceStatus(record)));
    }

    Outcome run(std::vector<std::string> arguments)
    {
        for (std::string &argument : arguments) {
            if (argument == "DIR")
                argument = m_folder.string();
        }
        arguments.insert(arguments.end(), {"--json", "--store", "127.0.0.1:1"});
        return runPlain(arguments);
    }

    Outcome runPlain(const std::vector<std::string> &arguments)
    {
        const auto open = [this](const HostPort &) -> Result<std::shared_ptr<Store>> {
            return std::shared_ptr<Store>(&store, [](Store *) {});
        };
        std::ostringstream out;
        std::ostringstream err;
        const int code = impl::runCtl(
            arguments, open, [](Duration) {}, out, err);
        return {code, json::parse(out.str(), nullptr, false)};
    }

    json stored() { return json::parse(store.latest("settings").value); }

    /// Changes one value as another operator.
    void changeAsOtherOperator(const std::string &pointer, const json &value)
    {
        json document = stored();
        document[json::json_pointer(pointer)] = value;
        ASSERT_TRUE(store.write("settings", store.latest("settings").version, document.dump()));
    }

    FakeStore store;

private:
    std::filesystem::path m_folder;
};

TEST_F(Ctl, ChecksFolder)
{
    const Outcome good = run({"check", "DIR"});
    EXPECT_EQ(good.exitCode, 0);
    EXPECT_EQ(good.output["targets"], 2);
    write("90.json", R"({"services":{"stock":{"targets":{"t1":{"zone":"x"}}}}})");
    const Outcome bad = run({"check", "DIR"});
    EXPECT_EQ(bad.exitCode, 2);
    EXPECT_EQ(bad.output["errors"][0]["file"], "90.json");
    EXPECT_EQ(bad.output["errors"][0]["pointer"], "/services/stock/targets/t1/zone");
}

TEST_F(Ctl, DiffsAndAppliesFolder)
{
    EXPECT_EQ(run({"apply", "DIR"}).output["version"], 1);
    write("90.json", R"({"services":{"stock":{"targets":{"t1":{"slots":9},"t2":null}}}})");
    const json changes = run({"diff", "DIR"}).output["changes"];
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[0]["pointer"], "/services/stock/targets/t1/slots");
    EXPECT_EQ(changes[0]["after"], 9);
    EXPECT_EQ(changes[1]["after"], nullptr);
    EXPECT_EQ(store.revision, 1U);
    EXPECT_EQ(run({"apply", "DIR"}).output["version"], 2);
    EXPECT_EQ(run({"apply", "DIR"}).output["version"], 2);
    EXPECT_EQ(store.revision, 2U);
}

TEST_F(Ctl, ApplyConflictChangesNothing)
{
    ASSERT_EQ(run({"apply", "DIR"}).exitCode, 0);
    write("90.json", R"({"services":{"stock":{"queueLimit":9}}})");
    store.beforeWrite = [this] { changeAsOtherOperator("/services/stock/queueLimit", 5); };
    const Outcome loser = run({"apply", "DIR"});
    EXPECT_EQ(loser.exitCode, 1);
    EXPECT_EQ(loser.output["errors"][0]["code"], "conflict");
    EXPECT_EQ(stored()["services"]["stock"]["queueLimit"], 5);
}

TEST_F(Ctl, ApplyRejectsOutdatedExpectedVersion)
{
    ASSERT_EQ(run({"apply", "DIR"}).exitCode, 0);
    changeAsOtherOperator("/services/stock/queueLimit", 5);
    EXPECT_EQ(run({"apply", "DIR", "--expect", "1"}).exitCode, 1);
    EXPECT_EQ(stored()["services"]["stock"]["queueLimit"], 5);
    EXPECT_EQ(run({"apply", "DIR", "--expect", "2"}).output["version"], 3);
}

TEST_F(Ctl, ApplyRetriesStaleReads)
{
    ASSERT_EQ(run({"apply", "DIR"}).exitCode, 0);
    changeAsOtherOperator("/services/stock/queueLimit", 5);
    store.staleReads = 5;
    EXPECT_EQ(run({"apply", "DIR", "--expect", "2"}).exitCode, 0);
}

TEST_F(Ctl, ApplyRetriesAfterLostAnswer)
{
    store.loseAnswers = 2;
    const Outcome written = run({"apply", "DIR"});
    EXPECT_EQ(written.exitCode, 0);
    EXPECT_EQ(written.output["version"], 1);
    write("90.json", R"({"services":{"stock":{"queueLimit":9}}})");
    store.loseRequests = 2;
    EXPECT_EQ(run({"apply", "DIR"}).output["version"], 2);
}

TEST_F(Ctl, ReportsUnknownResultWhenStoreFailsAfterLostAnswer)
{
    store.loseAnswers = 1;
    store.downAfterLoss = true;
    const Outcome unknown = run({"apply", "DIR"});
    EXPECT_EQ(unknown.exitCode, 1);
    EXPECT_EQ(unknown.output["errors"][0]["code"], "unknown-result");
}

TEST_F(Ctl, ReportsUnavailableStore)
{
    store.down = true;
    const Outcome outcome = run({"apply", "DIR"});
    EXPECT_EQ(outcome.exitCode, 1);
    EXPECT_EQ(outcome.output["errors"][0]["code"], "unavailable");
}

TEST_F(Ctl, ReportsConflictAfterLostRequestAndConcurrentChange)
{
    ASSERT_EQ(run({"apply", "DIR"}).exitCode, 0);
    write("90.json", R"({"services":{"stock":{"queueLimit":9}}})");
    store.loseRequests = 1;
    store.beforeWrite = [this] { changeAsOtherOperator("/services/stock/queueLimit", 5); };
    EXPECT_EQ(run({"apply", "DIR"}).exitCode, 1);
    EXPECT_EQ(stored()["services"]["stock"]["queueLimit"], 5);
}

TEST_F(Ctl, ZoneCommandsRetryAfterUnrelatedChanges)
{
    ASSERT_EQ(run({"apply", "DIR"}).exitCode, 0);
    store.beforeWrite = [this] { changeAsOtherOperator("/services/stock/queueLimit", 5); };
    const Outcome out = run({"zone", "out", "a", "--stopped"});
    EXPECT_EQ(out.exitCode, 0) << out.output;
    EXPECT_EQ(stored()["services"]["stock"]["queueLimit"], 5);
    EXPECT_EQ(stored()["zones"]["a"]["out"], true);
    EXPECT_EQ(stored()["zones"]["a"]["stopped"], true);
    EXPECT_EQ(run({"zone", "in", "a"}).output["changed"], true);
    EXPECT_EQ(stored()["zones"]["a"]["stopped"], false);
    EXPECT_EQ(run({"zone", "in", "a"}).output["changed"], false);
}

TEST_F(Ctl, ZoneOutFindsZoneDespiteStaleRead)
{
    ASSERT_EQ(run({"apply", "DIR"}).exitCode, 0);
    store.staleReads = 1;
    EXPECT_EQ(run({"zone", "out", "a"}).exitCode, 0);
}

TEST_F(Ctl, ZoneOutRetriesStaleReadsAfterConflict)
{
    ASSERT_EQ(run({"apply", "DIR"}).exitCode, 0);
    store.beforeWrite = [this] {
        changeAsOtherOperator("/services/stock/queueLimit", 5);
        store.staleReads = 5;
    };
    EXPECT_EQ(run({"zone", "out", "a"}).exitCode, 0);
    EXPECT_EQ(stored()["services"]["stock"]["queueLimit"], 5);
}

TEST_F(Ctl, ApplyRetriesStaleReadsAfterLostAnswer)
{
    ASSERT_EQ(run({"apply", "DIR"}).exitCode, 0);
    write("90.json", R"({"services":{"stock":{"queueLimit":9}}})");
    store.loseAnswers = 1;
    store.beforeWrite = [this] { store.staleReads = 5; };
    const Outcome outcome = run({"apply", "DIR"});
    EXPECT_EQ(outcome.exitCode, 0) << outcome.output;
    EXPECT_EQ(outcome.output["version"], 2);
}

TEST_F(Ctl, ZoneCommandsReportConflictingChangesOfSameZone)
{
    ASSERT_EQ(run({"apply", "DIR"}).exitCode, 0);
    store.beforeWrite = [this] { changeAsOtherOperator("/zones/a/region", "elsewhere"); };
    const Outcome out = run({"zone", "out", "a"});
    EXPECT_EQ(out.exitCode, 1);
    EXPECT_EQ(out.output["errors"][0]["code"], "conflict");
    EXPECT_FALSE(stored()["zones"]["a"].value("out", false));
}

TEST_F(Ctl, ConcurrentZoneOutOfSameZoneSucceeds)
{
    ASSERT_EQ(run({"apply", "DIR"}).exitCode, 0);
    store.beforeWrite = [this] { changeAsOtherOperator("/zones/a/out", true); };
    const Outcome out = run({"zone", "out", "a"});
    EXPECT_EQ(out.exitCode, 0);
    EXPECT_EQ(out.output["changed"], false);
}

TEST_F(Ctl, RejectsZoneOutOfLastZoneOfService)
{
    ASSERT_EQ(run({"apply", "DIR"}).exitCode, 0);
    EXPECT_EQ(run({"zone", "out", "a"}).exitCode, 0);
    EXPECT_EQ(run({"zone", "out", "b"}).exitCode, 2);
    EXPECT_EQ(run({"zone", "out", "nowhere"}).exitCode, 1);
    EXPECT_EQ(run({"zone", "in", "a", "--stopped"}).exitCode, 2);
}

TEST_F(Ctl, ApplyKeepsDrainUnlessFolderSetsIt)
{
    ASSERT_EQ(run({"apply", "DIR"}).exitCode, 0);
    ASSERT_EQ(run({"zone", "out", "a"}).exitCode, 0);
    ASSERT_EQ(run({"zone", "in", "a"}).exitCode, 0);
    ASSERT_EQ(run({"drain", "t1"}).exitCode, 0);
    write("90.json", R"({"services":{"stock":{"queueLimit":9}}})");
    ASSERT_EQ(run({"apply", "DIR"}).exitCode, 0);
    EXPECT_EQ(stored()["services"]["stock"]["targets"]["t1"]["drain"], true);
    write("91.json", R"({"services":{"stock":{"targets":{"t1":{"drain":false}}}}})");
    ASSERT_EQ(run({"apply", "DIR"}).exitCode, 0);
    EXPECT_EQ(stored()["services"]["stock"]["targets"]["t1"]["drain"], false);
    EXPECT_EQ(run({"drain", "t9"}).exitCode, 1);
}

TEST_F(Ctl, WaitReportsLaggingInstances)
{
    store.instances = {{"e1#1", "entry", ZoneId("a"), "127.0.0.1:1", false},
                       {"e2#1", "entry", ZoneId("a"), "127.0.0.1:2", false},
                       {"e3#1", "entry", ZoneId("a"), "127.0.0.1:3", true},
                       {"t1", "target", ZoneId("a"), "127.0.0.1:4", false}};
    report("e1#1", 100);
    const Outcome late = run({"apply", "DIR", "--wait", "--timeout-ms", "0"});
    EXPECT_EQ(late.exitCode, 1);
    EXPECT_EQ(late.output["lagging"], json::array({"e2#1"}));
    report("e2#1", 100);
    const Outcome there = run({"apply", "DIR", "--wait", "--timeout-ms", "0"});
    EXPECT_EQ(there.exitCode, 0);
    EXPECT_EQ(there.output["inForce"], true);
    EXPECT_EQ(run({"status"}).output["storeVersion"], there.output["version"]);
}

TEST_F(Ctl, WaitUsesLatestStartWhenListHasNoStartIds)
{
    store.instances = {{"e1", "entry", ZoneId("a"), "127.0.0.1:1", false}};
    report("e1#9", 100);
    report("e1#10", 0);
    const Outcome late = run({"apply", "DIR", "--wait", "--timeout-ms", "0"});
    EXPECT_EQ(late.output["lagging"], json::array({"e1"}));
    report("e1#11", 100);
    EXPECT_EQ(run({"apply", "DIR", "--wait", "--timeout-ms", "0"}).exitCode, 0);
}

TEST_F(Ctl, QueriesInstancesThroughAdminApi)
{
    FakeAdminSource source;
    const Result<std::unique_ptr<AdminServer>> server = makeAdminServer({}, source);
    ASSERT_TRUE(server);
    const std::string url = "http://127.0.0.1:" + std::to_string((*server)->port());
    const auto ask = [&](std::vector<std::string> arguments) {
        arguments.insert(arguments.end(), {"--json", "--admin", url});
        return runPlain(arguments);
    };
    EXPECT_EQ(ask({"status"}).output["instances"][0]["settingsVersion"], 7);
    EXPECT_EQ(ask({"assignment"}).output["cells"][0]["slices"][0]["owner"], "t1");
    EXPECT_EQ(ask({"explain", "--service", "stock", "--key", "a b"}).output["key"], "a b");
    EXPECT_EQ(ask({"explain", "--service", "other", "--key", "x"}).exitCode, 1);
    const std::vector<std::string> move{"move", "--service", "stock", "--key", "k", "--to"};
    const auto moveTo = [&](const char *target) {
        std::vector<std::string> arguments = move;
        arguments.emplace_back(target);
        return ask(arguments).exitCode;
    };
    EXPECT_EQ(moveTo("t2"), 0);
    EXPECT_EQ(moveTo("t1"), 1);
    const Outcome mixed = ask({"status", "--admin", "127.0.0.1:1"});
    EXPECT_EQ(mixed.exitCode, 1);
}

TEST_F(Ctl, InvalidUsageHasExitCodeTwo)
{
    const std::vector<std::vector<std::string>> wrong{
        {},
        {"unknown"},
        {"check"},
        {"apply", "x"},
        {"zone", "out", "--store", "127.0.0.1:1"},
        {"zone", "up", "a", "--store", "127.0.0.1:1"},
        {"status"},
        {"status", "--store", "store:80"},
        {"explain", "--service", "s"},
        {"move", "--service", "s"},
        {"check", "--no-such-option"},
        {"apply", "x", "--store", "127.0.0.1:1", "--expect", "many"},
        {"check", "/no/such/folder"}};
    for (const auto &arguments : wrong)
        EXPECT_EQ(runPlain(arguments).exitCode, 2) << json(arguments);
    EXPECT_EQ(runPlain({"--help"}).exitCode, 0);
    EXPECT_EQ(runPlain({"--version"}).exitCode, 0);
}

TEST_F(Ctl, RejectsStoredValueOfOtherFormat)
{
    ASSERT_TRUE(store.write("settings", {}, "not JSON"));
    EXPECT_EQ(run({"apply", "DIR"}).output["errors"][0]["code"], "parse-failed");
    ASSERT_TRUE(store.write("settings", {1}, R"({"schema":2})"));
    EXPECT_EQ(run({"zone", "out", "a"}).output["errors"][0]["code"], "unsupported-schema");
    EXPECT_EQ(store.revision, 2U);
}

} // namespace
} // namespace yuccaspan
