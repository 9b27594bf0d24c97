#include "serving_instance.hpp"

namespace yuccaspan::platform {

namespace {

using std::chrono::milliseconds;

/// An instance that lacks a proof that it knows the newest settings; the store is not away.
class UnprovenSettings : public ServingInstance
{
protected:
    UnprovenSettings() : ServingInstance([](GatewayOptions & /*options*/) {}) { }

    void SetUp() override
    {
        ServingInstance::SetUp();
        m_gateway->storeAway = false;
        m_gateway->evidence.proven(ObjectKind::Targets, m_clock.now());
        m_gateway->evidence.proven(ObjectKind::Evacuations, m_clock.now());
        // Older than the users allow for a desired state to be in force.
        m_gateway->evidence.proven(ObjectKind::Settings, m_clock.now() - milliseconds(3000));
    }
};

TEST_F(UnprovenSettings, aRequestIsntRunByARouteThatMayBeGone)
{
    const auto caller = connect();
    caller->send(request("q", 1, 1000));
    ASSERT_TRUE(runUntil([&] { return caller->count("HTTP/1.1 ") == 1; }));
    EXPECT_FALSE(m_target.got("q"));
    EXPECT_EQ(caller->count(rejected), 1U);
}

TEST_F(UnprovenSettings, aRouteThatMayHaveBeenAddedIsntRefusedAsUnknown)
{
    const auto caller = connect();
    caller->send(
        "GET /1 HTTP/1.1\r\nHost: other\r\nX-Request-Id: q\r\nX-Deadline-Ms: 1000\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return caller->count("HTTP/1.1 ") == 1; }));
    EXPECT_EQ(caller->count(rejected), 1U);
}

TEST_F(UnprovenSettings, aRequestIsntHeldBeyondItsDeadline)
{
    const auto caller = connect();
    caller->send(request("q", 1, 100));
    ASSERT_TRUE(runUntil([&] { return caller->count("HTTP/1.1 ") == 1; }));
    EXPECT_EQ(caller->count(rejected), 1U);
    // Every 20 ms; a busy machine looks less often.
    std::size_t looks = 0;
    for (std::size_t most = 1; most <= 5; ++most)
        looks += std::size_t(m_gateway->metrics.text().find("label=\"settings-unproven\"} "
                                                            + std::to_string(most) + "\n")
                             != std::string::npos);
    EXPECT_EQ(looks, 1U);
}

TEST_F(UnprovenSettings, aWaitingRequestIsRoutedByTheSettingsThatArrive)
{
    const auto caller = connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: new\r\nX-Request-Id: q\r\nX-Deadline-Ms: 2000\r\n\r\n");
    ASSERT_TRUE(runUntil(
        [&] { return m_gateway->metrics.text().find("settings-unproven") != std::string::npos; }));
    auto state = std::make_shared<DesiredState>(*m_gateway->desired);
    ++state->version;
    state->routes.front().host = "new";
    m_gateway->apply(state);
    m_gateway->evidence.proven(ObjectKind::Settings, m_clock.now());
    ASSERT_TRUE(runUntil([&] { return caller->count("HTTP/1.1 ") == 1; }));
    EXPECT_EQ(caller->count(success), 1U);
}

TEST_F(UnprovenSettings, requestsRunWhileTheStoreIsAwayForAll)
{
    m_gateway->storeAway = true;
    const auto caller = connect();
    caller->send(request("q", 1, 1000));
    ASSERT_TRUE(runUntil([&] { return caller->count("HTTP/1.1 ") == 1; }));
    EXPECT_EQ(caller->count(success), 1U);
}

TEST_F(UnprovenSettings, aRouteMayHaveBeenAddedBeforeTheStoreWasAway)
{
    m_gateway->storeAway = true;
    const auto caller = connect();
    caller->send(
        "GET /1 HTTP/1.1\r\nHost: other\r\nX-Request-Id: q\r\nX-Deadline-Ms: 1000\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return caller->count("HTTP/1.1 ") == 1; }));
    EXPECT_EQ(caller->count(rejected), 1U);
}

TEST_F(UnprovenSettings, knownNewerSettingsAreWaitedForAlsoWhileTheStoreIsAway)
{
    const StoreRevision inForce{0, 1};
    const StoreRevision newer{0, 2};
    m_gateway->storeAway = true;
    m_gateway->evidence.applied(ObjectKind::Settings, inForce, inForce);
    m_gateway->evidence.told(ObjectKind::Settings, newer, m_clock.now());
    const auto caller = connect();
    caller->send(request("q", 1, 1000));
    ASSERT_TRUE(runUntil([&] { return caller->count("HTTP/1.1 ") == 1; }));
    EXPECT_FALSE(m_target.got("q"));
    EXPECT_EQ(caller->count(rejected), 1U);
}

} // namespace

} // namespace yuccaspan::platform
