#include "serving_instance.hpp"

#include <rapidcheck/gtest.h>

namespace yuccaspan::platform {

namespace {

using std::chrono::milliseconds;

/// Host of a route whose requests may run only once; those of "h" may be repeated.
constexpr const char *onceHost = "once";

struct Sent
{
    std::string id;
    int workMs = 0;
    bool once = false;
};

std::string textOf(const Sent &request)
{
    return std::string(request.once ? "POST" : "GET") + " /" + std::to_string(request.workMs)
        + " HTTP/1.1\r\nHost: " + (request.once ? onceHost : "h")
        + "\r\nX-Request-Id: " + request.id + "\r\nX-Deadline-Ms: 5000\r\n"
        + (request.once ? "Content-Length: 0\r\n\r\n" : "\r\n");
}

std::string textOfAll(const std::vector<Sent> &requests)
{
    std::string text;
    for (const Sent &request : requests)
        text += textOf(request);
    return text;
}

/// Ids of the received answers, in order.
std::vector<std::string> answeredIds(const std::string &received)
{
    constexpr std::string_view field = "X-Request-Id: ";
    std::vector<std::string> ids;
    for (std::size_t at = 0; (at = received.find(field, at)) != std::string::npos;) {
        at += field.size();
        ids.push_back(received.substr(at, received.find('\r', at) - at));
    }
    return ids;
}

class Pipelining : public ServingInstance
{
protected:
    static constexpr std::size_t depth = 4;

    Pipelining() : ServingInstance([](GatewayOptions &options) { options.pipelineDepth = depth; })
    {
        auto state = std::make_shared<DesiredState>(*m_gateway->desired);
        state->version = 2;
        state->routes.front().idempotent = true;
        Route once = state->routes.front();
        once.name = "once";
        once.host = onceHost;
        once.idempotent = false;
        state->routes.push_back(once);
        m_gateway->apply(state);
        TargetEntry entry = m_gateway->directory.find("t")->entry;
        entry.slots = 16;
        entry.sequence = 1;
        m_gateway->directory.put(entry, m_clock.now(), m_clock.now());
    }
    void runFor(milliseconds span)
    {
        const auto end = std::chrono::steady_clock::now() + span;
        runUntil([end] { return std::chrono::steady_clock::now() >= end; });
    }
};

/// A session read the next request only when the last was answered, so that four pipelined requests
/// took four times as long as one.
TEST_F(Pipelining, requestsOfOneConnectionRunSideBySide)
{
    const auto caller = connect();
    caller->send(textOfAll({{"a", 400}, {"b", 400}, {"c", 400}, {"d", 400}}));
    ASSERT_TRUE(runUntil([&] { return m_target.got("d"); }));
    EXPECT_EQ(caller->count(success), 0U);
    EXPECT_TRUE(runUntil([&] { return caller->count(success) == 4; }));
}

TEST_F(Pipelining, answersLeaveInTheOrderOfTheRequests)
{
    const auto caller = connect();
    caller->send(textOfAll({{"a", 200}, {"b", 0}, {"c", 100}, {"d", 0}}));
    ASSERT_TRUE(runUntil([&] { return caller->count(success) == 4; }));
    EXPECT_EQ(answeredIds(caller->received()), (std::vector<std::string>{"a", "b", "c", "d"}));
}

/// Behind an answer that closes the connection a caller sends all requests again.
TEST_F(Pipelining, aRequestThatMayRunOnceRunsAlone)
{
    const auto caller = connect();
    caller->send(textOfAll({{"a", 200}, {"b", 200, true}, {"c", 0}}));
    ASSERT_TRUE(runUntil([&] { return m_target.got("b"); }));
    EXPECT_EQ(caller->count(success), 1U);
    ASSERT_TRUE(runUntil([&] { return m_target.got("c"); }));
    EXPECT_EQ(caller->count(success), 2U);
    EXPECT_TRUE(runUntil([&] { return caller->count(success) == 3; }));
}

TEST_F(Pipelining, requestsBeyondTheDepthAreNotRead)
{
    const auto caller = connect();
    caller->send(textOfAll({{"a", 300}, {"b", 300}, {"c", 300}, {"d", 300}, {"e", 0}}));
    ASSERT_TRUE(runUntil([&] { return m_target.got("d"); }));
    runFor(milliseconds(100));
    EXPECT_FALSE(m_target.got("e"));
    EXPECT_TRUE(runUntil([&] { return caller->count(success) == 5; }));
}

TEST_F(Pipelining, aCallerThatLeavesTakesItsRequestsWithIt)
{
    const auto caller = connect();
    caller->send(textOfAll({{"a", 3000}, {"b", 3000}}));
    ASSERT_TRUE(runUntil([&] { return m_target.got("b"); }));
    EXPECT_EQ(m_gateway->active, 2U);
    caller->leave();
    EXPECT_TRUE(runUntil([&] { return m_gateway->active == 0; }));
    EXPECT_EQ(m_gateway->callers->open(), 0U);
}

/// Seen as GONE: the connection of a caller that says it closes was no longer watched.
TEST_F(Pipelining, aCallerThatClosesAfterItsRequestIsNoticedToo)
{
    const auto caller = connect();
    caller->send("GET /3000 HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Deadline-Ms: 5000\r\n"
                 "Connection: close\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_target.got("a"); }));
    caller->leave();
    const auto end = std::chrono::steady_clock::now() + milliseconds(1500);
    EXPECT_TRUE(runUntil(
        [&] { return m_gateway->active == 0 || std::chrono::steady_clock::now() >= end; }));
    EXPECT_EQ(m_gateway->active, 0U);
}

TEST_F(Pipelining, aMalformedRequestIsRejectedAfterTheAnswersBeforeIt)
{
    const auto caller = connect();
    caller->send(textOfAll({{"a", 200}}) + "no request\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return caller->ended(); }));
    const std::string &received = caller->received();
    EXPECT_LT(received.find(success), received.find("HTTP/1.1 400")) << received;
    EXPECT_NE(received.find("HTTP/1.1 400"), std::string::npos) << received;
}

/// The header timeout of a request that stalls must not cut the answers before it.
TEST_F(Pipelining, aStalledRequestDoesNotCutThoseBeforeIt)
{
    auto state = std::make_shared<DesiredState>(*m_gateway->desired);
    state->version = 3;
    state->limits.headerTimeout = milliseconds(100);
    m_gateway->apply(state);
    const auto caller = connect();
    caller->send(textOfAll({{"a", 400}}) + "GET /0 HT");
    ASSERT_TRUE(runUntil([&] { return caller->ended(); }));
    EXPECT_EQ(caller->count(success), 1U);
}

/// Whatever the mix of requests and the packets in which they arrive, each runs once and is
/// answered in its turn, and one that may run only once never runs beside another.
RC_GTEST_FIXTURE_PROP(Pipelining, answersAnyMixInOrder, ())
{
    const auto kinds = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    const auto cut = *rc::gen::inRange<std::size_t>(0, 400);
    static int batch = 0;
    const std::string prefix = "q" + std::to_string(++batch) + "-";
    std::vector<Sent> requests;
    std::vector<std::string> ids;
    for (std::size_t index = 0; index < std::min<std::size_t>(kinds.size(), 9); ++index) {
        const int kind = kinds[index];
        requests.push_back({prefix + std::to_string(index), kind % 3 * 5, kind == 3});
        ids.push_back(requests.back().id);
    }
    const std::string text = textOfAll(requests);
    const auto caller = connect();
    const std::size_t first = std::min(cut, text.size());
    caller->send(text.substr(0, first));
    runFor(milliseconds(2));
    caller->send(text.substr(first));
    RC_ASSERT(runUntil([&] { return caller->count(success) == requests.size(); }));
    RC_ASSERT(answeredIds(caller->received()) == ids);
}

} // namespace

} // namespace yuccaspan::platform
