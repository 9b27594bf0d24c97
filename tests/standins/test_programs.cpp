// The stand-ins and the load generator as processes.
#include "cluster.hpp"
#include "http_fetch.hpp"
#include "run_check.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>

namespace yuccaspan::tests {
namespace {

using namespace standins;
using Json = nlohmann::json;

constexpr std::chrono::seconds patience{60};

class Programs : public testing::Test
{
protected:
    void SetUp() override
    {
        std::string name = (std::filesystem::temp_directory_path() / "yuccaspan-XXXXXX").string();
        ASSERT_NE(mkdtemp(name.data()), nullptr);
        m_folder = name;
    }
    void TearDown() override { std::filesystem::remove_all(m_folder); }

    /// Starts a stand-in and learns its address.
    void startStandin(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), programFolder() + "/yuccaspan-standin");
        auto process = Process::start(arguments, m_folder + "/standin.out");
        ASSERT_TRUE(process.hasValue());
        m_standin = std::move(*process);
        const auto lines = m_standin->lines(1, patience);
        ASSERT_TRUE(lines.hasValue());
        m_address = lines->front().substr(lines->front().rfind(' ') + 1);
    }
    [[nodiscard]] Fetched call(const std::string &method, const std::string &path,
                               const std::string &body = {},
                               std::vector<std::pair<std::string, std::string>> headers = {}) const
    {
        const auto answer = fetch({m_address, method, path, body, std::move(headers)});
        return answer ? *answer : Fetched{};
    }
    /// Runs the load generator against the stand-in and compares the ledgers.
    RunRecord runLoad(const std::string &name)
    {
        const auto load = Process::start(
            {programFolder() + "/yuccaspan-load", "--url", "http://" + m_address, "--rate", "400",
             "--seconds", "1", "--ledger", m_folder + '/' + name, "--run-id", name, "--json", "-"},
            m_folder + "/load.out");
        EXPECT_TRUE(load.hasValue());
        m_loadExit = (*load)->wait(patience);
        RunRecord record;
        record.calls = readCallerLedger(readFile(m_folder + '/' + name));
        EXPECT_TRUE(addTarget(record, call("GET", "/control/ledger").body,
                              call("GET", "/control/grants").body));
        return record;
    }

    std::string m_folder;
    std::unique_ptr<Process> m_standin;
    std::string m_address;
    std::optional<int> m_loadExit;
};

std::size_t count(const RunRecord &record, const std::string &result)
{
    return static_cast<std::size_t>(
        std::count_if(record.calls.begin(), record.calls.end(),
                      [&](const auto &entry) { return entry.second.result == result; }));
}

TEST_F(Programs, CallersAndLedgerOfATargetAgree)
{
    startStandin({"target", "--checks-grants", "false", "--service-us", "500"});
    const RunRecord calm = runLoad("calm");
    EXPECT_EQ(m_loadExit, 0);
    EXPECT_GT(calm.calls.size(), 100U);
    EXPECT_EQ(count(calm, "done"), calm.calls.size());
    EXPECT_TRUE(check(calm).doneButNotRun.empty());

    ASSERT_EQ(call("PUT", "/control/faults", R"({"dropAnswers":7})").status, 200U);
    const RunRecord lossy = runLoad("lossy");
    EXPECT_EQ(count(lossy, "unknown"), 7U);
    for (const auto &[id, row] : lossy.calls)
        EXPECT_EQ(lossy.runs.at(id), 1U) << id << ' ' << row.result;

    ASSERT_EQ(call("PUT", "/control/faults", R"({"drain":true})").status, 200U);
    const RunRecord drained = runLoad("drained");
    EXPECT_EQ(m_loadExit, 1);
    EXPECT_EQ(count(drained, "not-run"), drained.calls.size());
    EXPECT_TRUE(check(drained).notRunButRun.empty());

    m_standin->signal(SIGTERM);
    EXPECT_EQ(m_standin->wait(patience), 0);
}

TEST_F(Programs, ATargetThatWasStoppedDropsRequestsWhoseCallerLeft)
{
    startStandin({"target", "--checks-grants", "false"});
    m_standin->freeze();
    FetchCall call{m_address, "POST", "/orders/1", {}, {{"Yuccaspan-Request-Id", "left"}}};
    call.timeout = std::chrono::milliseconds(200);
    EXPECT_FALSE(fetch(call).hasValue());
    m_standin->resume();
    const auto dropped = [&] {
        return Json::parse(Programs::call("GET", "/control/summary").body)["dropped"] == 1;
    };
    EXPECT_TRUE(waitUntil(dropped, patience));
    EXPECT_EQ(Json::parse(Programs::call("GET", "/control/ledger").body)["runs"], Json::array());
}

TEST_F(Programs, AWriteWhoseAnswerIsLostTakesEffect)
{
    startStandin({"store"});
    EXPECT_EQ(call("PUT", "/v1/objects/a", "1", {{"If-None-Match", "*"}}).status, 200U);
    EXPECT_EQ(call("PUT", "/v1/objects/a", "2").status, 428U);
    ASSERT_EQ(call("PUT", "/control/faults", R"({"loseAnswers":1})").status, 200U);
    EXPECT_EQ(call("PUT", "/v1/objects/a", "2", {{"If-Match", "\"1\""}}).status, 0U);
    const Fetched changed = call("GET", "/v1/objects/a");
    EXPECT_EQ(changed.body, "2");
    EXPECT_EQ(changed.headers.at("etag"), "\"2\"");
    EXPECT_EQ(call("PUT", "/v1/objects/a", "3", {{"If-Match", "\"1\""}}).status, 412U);

    ASSERT_EQ(call("PUT", "/control/faults", R"({"down":true})").status, 200U);
    EXPECT_EQ(call("PUT", "/v1/objects/a", "4", {{"If-Match", "\"2\""}}).status, 503U);
    ASSERT_EQ(call("PUT", "/control/faults", R"({"down":false,"cutOff":["i"]})").status, 200U);
    EXPECT_EQ(call("GET", "/v1/objects/a", {}, {{"X-Instance", "i"}}).status, 0U);
    EXPECT_EQ(call("GET", "/v1/objects/a", {}, {{"X-Instance", "j"}}).body, "2");
    const Json counts = Json::parse(call("GET", "/control/counts").body);
    EXPECT_EQ(counts["writes"], 5);
}

TEST_F(Programs, AWatchResumesAfterTheRevisionItSaw)
{
    startStandin({"store"});
    ASSERT_EQ(call("PUT", "/v1/objects/p/a", "1", {{"If-None-Match", "*"}}).status, 200U);
    const Json all = Json::parse(call("GET", "/v1/watch?prefix=p/&after=0&waitMs=0").body);
    EXPECT_TRUE(all["complete"]);
    EXPECT_EQ(all["revision"], 1);
    const Json none = Json::parse(call("GET", "/v1/watch?prefix=p/&after=1&waitMs=50").body);
    EXPECT_TRUE(none["objects"].empty());
    ASSERT_EQ(call("PUT", "/v1/objects/q/b", "1", {{"If-None-Match", "*"}}).status, 200U);
    ASSERT_EQ(call("DELETE", "/v1/objects/p/a", {}, {{"If-Match", "\"1\""}}).status, 204U);
    const Json gone = Json::parse(call("GET", "/v1/watch?prefix=p/&after=1&waitMs=60000").body);
    ASSERT_EQ(gone["objects"].size(), 1U);
    EXPECT_EQ(gone["objects"][0]["path"], "p/a");
    EXPECT_EQ(gone["objects"][0]["version"], 0);
}

} // namespace
} // namespace yuccaspan::tests
