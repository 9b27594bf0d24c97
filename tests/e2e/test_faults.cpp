// Injects faults between processes under load and compares the callers' outcomes with the requests
// and grants that the targets recorded.
#include "cluster.hpp"
#include "http_fetch.hpp"
#include "run_check.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <set>

namespace yuccaspan::tests {
namespace {

using namespace standins;
using Json = nlohmann::json;
using namespace std::chrono_literals;

/// Upper bound of any wait, generous for busy machines; tests do not depend on its value.
constexpr std::chrono::seconds waitLimit{90};

class Faults : public testing::Test
{
protected:
    void SetUp() override
    {
        ClusterOptions options;
        options.services.resize(2);
        options.services[0].name = "depot-stock";
        options.services[1].name = "flood-dispatch";
        options.services[1].targetsPerZone = 1;
        options.services[1].checksGrants = false;
        auto cluster = Cluster::start(options);
        ASSERT_TRUE(cluster.hasValue()) << cluster.error();
        m_cluster = std::move(*cluster);
    }

    void startLoad(const std::string &seconds, const std::string &rate = "300")
    {
        auto load = m_cluster->startLoad(
            {"--rate", rate, "--seconds", seconds, "--keys", "500", "--zipf", "0.9"});
        ASSERT_TRUE(load.hasValue()) << load.error();
        m_load = std::move(*load);
        pause(2s);
    }

    /// Waits until the load ends, then compares the ledgers.
    void finish()
    {
        EXPECT_EQ(m_load->wait(waitLimit), 0) << readFile(m_cluster->folder() + "/load.out.err");
        const auto record = collect(*m_cluster);
        ASSERT_TRUE(record.hasValue()) << record.error();
        m_record = *record;
        const RunFindings findings = check(m_record);
        const std::vector<std::string> none;
        EXPECT_GT(m_record.calls.size(), 500U);
        EXPECT_EQ(findings.ordersRunTwice, none);
        EXPECT_EQ(findings.notRunButRun, none);
        EXPECT_EQ(findings.doneButNotRun, none);
        EXPECT_EQ(findings.heldTwice, none);
        EXPECT_EQ(findings.ranAtFormerOwner, none);
        EXPECT_FALSE(m_record.holds.empty());
    }

    [[nodiscard]] std::size_t count(const std::string &result) const
    {
        const auto matches = [&](const auto &entry) { return entry.second.result == result; };
        return static_cast<std::size_t>(
            std::count_if(m_record.calls.begin(), m_record.calls.end(), matches));
    }

    [[nodiscard]] Json get(const std::string &address, const std::string &path) const
    {
        const auto answer = fetch({address, "GET", path, {}, {}});
        return answer ? Json::parse(answer->body, nullptr, false) : Json();
    }

    /// Targets that own a slice according to one instance; a moving slice counts for both owners.
    [[nodiscard]] std::set<std::string> owners(const Member &instance) const
    {
        std::set<std::string> found;
        const Json assignment = get(instance.admin, "/v1/assignment");
        for (const Json &cell : assignment.value("cells", Json::array())) {
            for (const Json &slice : cell.value("slices", Json::array())) {
                found.insert(slice.value("owner", ""));
                found.insert(slice.value("nextOwner", slice.value("owner", "")));
            }
        }
        return found;
    }

    [[nodiscard]] std::uint64_t runCount(const Member &target) const
    {
        return get(target.address, "/control/summary").value("runCount", std::uint64_t{0});
    }

    [[nodiscard]] Member &placer()
    {
        for (Member &instance : m_cluster->instances()) {
            const Json assignment = get(instance.admin, "/v1/assignment");
            for (const Json &cell : assignment.value("cells", Json::array())) {
                if (cell.value("isPlacer", false))
                    return instance;
            }
        }
        return m_cluster->instances().front();
    }

    void killInstance(Member &instance)
    {
        instance.process->signal(SIGKILL);
        EXPECT_EQ(instance.process->wait(waitLimit), 128 + SIGKILL);
    }

    void expectServedByAll()
    {
        for (const Member &instance : m_cluster->instances())
            EXPECT_TRUE(m_cluster->serves(instance, waitLimit)) << instance.id;
    }

    std::unique_ptr<Cluster> m_cluster;
    std::unique_ptr<Process> m_load;
    RunRecord m_record;
};

TEST_F(Faults, noRequestFailsWithoutFaults)
{
    startLoad("4");
    finish();
    EXPECT_EQ(count("unknown"), 0U);
    EXPECT_EQ(count("error"), 0U);
    EXPECT_GE(count("done") * 100, m_record.calls.size() * 99);
}

TEST_F(Faults, recoversFromAKilledPlacer)
{
    startLoad("10");
    Member &victim = placer();
    killInstance(victim);
    pause(3s);
    ASSERT_TRUE(m_cluster->startInstance(victim).hasValue());
    finish();
    expectServedByAll();
}

TEST_F(Faults, recoversFromAFrozenInstance)
{
    startLoad("10");
    Member &frozen = placer();
    frozen.process->freeze();
    pause(4s);
    frozen.process->resume();
    finish();
    expectServedByAll();
}

TEST_F(Faults, recoversFromAFrozenTarget)
{
    startLoad("10");
    Member &frozen = m_cluster->targets().front();
    frozen.process->freeze();
    pause(4s);
    frozen.process->resume();
    finish();
    expectServedByAll();
}

TEST_F(Faults, targetRestartsWhileItsPlacerIsDown)
{
    startLoad("10");
    killInstance(placer());
    ASSERT_TRUE(m_cluster->setFaults(m_cluster->targets().front().address, R"({"restart":true})")
                    .hasValue());
    finish();
}

TEST_F(Faults, servesKeysDuringAStoreOutage)
{
    startLoad("10");
    ASSERT_TRUE(m_cluster->setFaults(m_cluster->store(), R"({"down":true})").hasValue());
    pause(5s);
    ASSERT_TRUE(m_cluster->setFaults(m_cluster->store(), R"({"down":false})").hasValue());
    finish();
    // Keys stay available during an outage of the store.
    EXPECT_GE(count("done") * 100, m_record.calls.size() * 95);
    expectServedByAll();
}

TEST_F(Faults, toleratesLostAndSlowStoreAnswers)
{
    startLoad("10");
    ASSERT_TRUE(
        m_cluster->setFaults(m_cluster->store(), R"({"loseAnswers":20,"delayMs":100})").hasValue());
    killInstance(placer());
    finish();
}

TEST_F(Faults, drainedTargetGetsNoNewRequestsAndLosesNone)
{
    startLoad("12");
    const Member &drained = m_cluster->targets().front();
    Json settings = m_cluster->settings();
    settings["services"][drained.service]["targets"][drained.id]["drain"] = true;
    ASSERT_TRUE(m_cluster->publish(settings).hasValue());
    const auto moved = [&] {
        for (const Member &instance : m_cluster->instances()) {
            if (!m_cluster->inForce(instance, waitLimit) || owners(instance).contains(drained.id))
                return false;
        }
        return true;
    };
    EXPECT_TRUE(waitUntil(moved, waitLimit));
    const std::uint64_t before = runCount(drained);
    finish();
    EXPECT_EQ(runCount(drained), before);
    EXPECT_GT(before, 0U);
    EXPECT_EQ(count("unknown"), 0U);
}

TEST_F(Faults, evacuatesAZoneAndUsesItAgain)
{
    startLoad("16");
    Json settings = m_cluster->settings();
    settings["zones"]["a"]["out"] = true;
    ASSERT_TRUE(m_cluster->publish(settings).hasValue());
    std::set<std::string> zoneTargets;
    for (const Member &target : m_cluster->targets()) {
        if (target.zone == "a")
            zoneTargets.insert(target.id);
    }
    const auto ownedInZone = [&] {
        std::size_t owned = 0;
        for (const Member &instance : m_cluster->instances()) {
            for (const std::string &owner : owners(instance))
                owned += zoneTargets.count(owner);
        }
        return owned;
    };
    EXPECT_TRUE(waitUntil([&] { return ownedInZone() == 0; }, waitLimit));
    settings["zones"]["a"]["out"] = false;
    ASSERT_TRUE(m_cluster->publish(settings).hasValue());
    EXPECT_TRUE(waitUntil([&] { return ownedInZone() > 0; }, waitLimit));
    finish();
    EXPECT_EQ(count("unknown"), 0U);
    expectServedByAll();
}

TEST_F(Faults, gracefulRestartsOfInstancesLoseNoRequests)
{
    startLoad("12", "1500");
    for (Member &stopped : m_cluster->instances()) {
        stopped.process->signal(SIGTERM);
        EXPECT_EQ(stopped.process->wait(waitLimit), 0);
        ASSERT_TRUE(m_cluster->startInstance(stopped).hasValue());
        EXPECT_TRUE(m_cluster->serves(stopped, waitLimit));
    }
    finish();
    EXPECT_EQ(count("unknown"), 0U);
}

// Guards against callers that send their next request on a connection that is being closed.
TEST(PlannedStop, announcesTheEndOfConnectionsBeforeClosingThem)
{
    ClusterOptions options;
    options.zones = {"a"};
    options.services.resize(1);
    options.services[0].name = "depot-stock";
    options.balancerWaitMs = 10000;
    auto cluster = Cluster::start(options);
    ASSERT_TRUE(cluster.hasValue()) << cluster.error();
    const Member &instance = (*cluster)->instances().front();
    instance.process->signal(SIGTERM);
    const auto unready = [&] {
        const auto answer = fetch({instance.admin, "GET", "/readyz", {}, {}});
        return answer && answer->status == 503;
    };
    ASSERT_TRUE(waitUntil(unready, waitLimit));
    const auto answer = fetch({instance.address, "GET", "/depot-stock/lookups/key-1", {}, {}});
    ASSERT_TRUE(answer.hasValue()) << answer.error();
    EXPECT_EQ(answer->headers.at("yuccaspan-outcome"), "done");
    ASSERT_TRUE(answer->headers.contains("connection"));
    EXPECT_EQ(answer->headers.at("connection"), "close");
}

} // namespace
} // namespace yuccaspan::tests
