#include "fake_http_server.hpp"

#include "yuccaspan/store_http.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>

namespace yuccaspan {
namespace {

/// Waits for the result of one asynchronous call.
template <typename T, typename Start>
Result<T> await(Start start)
{
    std::promise<Result<T>> promise;
    start([&](Result<T> result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

class HttpStoreTest : public testing::Test
{
protected:
    void serve(FakeHttpServer::Script script)
    {
        m_server = std::make_unique<FakeHttpServer>([this, script](const SeenRequest &request) {
            {
                const std::lock_guard lock(m_mutex);
                m_seen.push_back(request);
            }
            return script(request);
        });
        options.address = "127.0.0.1";
        options.port = m_server->port();
        options.instance = "entry-1#7";
        open();
    }

    void open()
    {
        Result<std::unique_ptr<HttpStore>> made = makeHttpStore(options, clock);
        ASSERT_TRUE(made) << made.error();
        store = std::move(*made);
    }

    Result<StoreObject> get(const std::string &path)
    {
        return await<StoreObject>([&](auto done) { store->get(path, done); });
    }
    Result<ObjectVersion> put(const std::string &path, std::uint64_t expected, std::string value)
    {
        return await<ObjectVersion>(
            [&](auto done) { store->put(path, {expected}, std::move(value), done); });
    }

    std::vector<SeenRequest> seen()
    {
        const std::lock_guard lock(m_mutex);
        return m_seen;
    }

    StoreOptions options;
    ManualClock clock;
    std::unique_ptr<HttpStore> store;

    std::unique_ptr<FakeHttpServer> m_server;

private:
    std::mutex m_mutex;
    std::vector<SeenRequest> m_seen;
};

TEST_F(HttpStoreTest, ReadsAnObjectWithItsVersion)
{
    serve([](const SeenRequest &) { return FakeAnswer{200, "\"17\"", "value"}; });
    const Result<StoreObject> object = get("placement/s/a/0 x");
    ASSERT_TRUE(object) << object.error();
    EXPECT_EQ(object->version, ObjectVersion{17});
    EXPECT_EQ(object->value, "value");
    EXPECT_EQ(seen().at(0).target, "/v1/objects/placement/s/a/0%20x");
    EXPECT_EQ(seen().at(0).instance, "entry-1#7");
}

TEST_F(HttpStoreTest, SendsTheConditionOfAnUpdate)
{
    serve([](const SeenRequest &) { return FakeAnswer{200, "\"8\"", ""}; });
    EXPECT_EQ(*put("a", 0, "1"), ObjectVersion{8});
    EXPECT_EQ(*put("a", 7, "2"), ObjectVersion{8});
    EXPECT_EQ(seen().at(0).condition, "*");
    EXPECT_EQ(seen().at(1).condition, "\"7\"");
    EXPECT_EQ(seen().at(1).body, "2");
    EXPECT_EQ(store->counters().writes, 2U);
    EXPECT_EQ(store->counters().connects, 1U);
}

struct StatusCase
{
    unsigned status;
    ErrorCode ofGet;
    ErrorCode ofPut;
};

class HttpStoreStatus : public HttpStoreTest, public testing::WithParamInterface<StatusCase>
{ };

TEST_P(HttpStoreStatus, HasItsErrorCode)
{
    serve([](const SeenRequest &) { return FakeAnswer{GetParam().status, "", ""}; });
    EXPECT_EQ(get("a").error().code, GetParam().ofGet);
    EXPECT_EQ(put("a", 1, "x").error().code, GetParam().ofPut);
}

INSTANTIATE_TEST_SUITE_P(
    All, HttpStoreStatus,
    testing::Values(StatusCase{404, ErrorCode::NotFound, ErrorCode::Internal},
                    StatusCase{412, ErrorCode::Unavailable, ErrorCode::Conflict},
                    StatusCase{413, ErrorCode::Unavailable, ErrorCode::LimitExceeded},
                    StatusCase{429, ErrorCode::Unavailable, ErrorCode::Unavailable},
                    StatusCase{500, ErrorCode::Unavailable, ErrorCode::UnknownResult},
                    StatusCase{503, ErrorCode::Unavailable, ErrorCode::Unavailable},
                    StatusCase{200, ErrorCode::Unavailable, ErrorCode::UnknownResult}));

TEST_F(HttpStoreTest, AnUpdateWhoseAnswerIsLostIsUnknown)
{
    serve([](const SeenRequest &) { return std::optional<FakeAnswer>(); });
    EXPECT_EQ(put("a", 1, "x").error().code, ErrorCode::UnknownResult);
    EXPECT_EQ(get("a").error().code, ErrorCode::Unavailable);
    EXPECT_EQ(store->counters().unknownResults, 1U);
    EXPECT_EQ(store->counters().unavailable, 1U);
}

TEST_F(HttpStoreTest, AnUpdateThatCouldNotBeSentTookNoEffect)
{
    serve([](const SeenRequest &) { return FakeAnswer{}; });
    options.port = 1; // no server listens there
    open();
    EXPECT_EQ(put("a", 1, "x").error().code, ErrorCode::Unavailable);
}

TEST_F(HttpStoreTest, AnUpdateWithoutAnswerInTimeIsUnknown)
{
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    options.callTimeout = std::chrono::milliseconds(50);
    serve([released](const SeenRequest &) {
        released.wait();
        return FakeAnswer{200, "\"1\"", ""};
    });
    EXPECT_EQ(put("a", 1, "x").error().code, ErrorCode::UnknownResult);
    release.set_value();
}

TEST_F(HttpStoreTest, AConnectionThatThePeerClosedIsNotReused)
{
    options.connections = 1;
    serve([](const SeenRequest &) { return FakeAnswer{200, "\"1\"", "", true}; });
    for (int call = 1; call <= 5; ++call) {
        EXPECT_TRUE(put("a", 1, "x"));
        m_server->awaitClosed(call);
    }
}

TEST_F(HttpStoreTest, TheBudgetCountsEachKindApart)
{
    options.budget = {2, 1, 1, 1};
    serve([](const SeenRequest &) { return FakeAnswer{200, "\"1\"", ""}; });
    EXPECT_TRUE(get("a"));
    EXPECT_TRUE(get("a"));
    EXPECT_EQ(get("a").error().code, ErrorCode::LimitExceeded);
    EXPECT_TRUE(put("a", 1, "x"));
    EXPECT_EQ(put("a", 1, "x").error().code, ErrorCode::LimitExceeded);
    clock.advance(std::chrono::milliseconds(500));
    EXPECT_TRUE(get("a"));
    EXPECT_EQ(get("a").error().code, ErrorCode::LimitExceeded);
    EXPECT_EQ(store->counters().limited, 3U);
    EXPECT_EQ(seen().size(), 4U);
}

TEST_F(HttpStoreTest, AValueThatIsTooLongIsNotSent)
{
    serve([](const SeenRequest &) { return FakeAnswer{200, "\"1\"", ""}; });
    EXPECT_EQ(put("a", 1, std::string(1000001, 'x')).error().code, ErrorCode::LimitExceeded);
    EXPECT_TRUE(seen().empty());
}

TEST_F(HttpStoreTest, AWatchDoesNotHoldUpReads)
{
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    options.connections = 1;
    serve([released](const SeenRequest &request) {
        if (request.target.starts_with("/v1/watch"))
            released.wait();
        return FakeAnswer{200, "\"1\"", R"({"revision":4,"complete":false,"objects":[]})"};
    });
    std::promise<Result<StoreChanges>> changes;
    store->watch("placement/", 3, [&](auto result) { changes.set_value(std::move(result)); });
    EXPECT_TRUE(get("a"));
    release.set_value();
    const Result<StoreChanges> seenChanges = changes.get_future().get();
    ASSERT_TRUE(seenChanges) << seenChanges.error();
    EXPECT_EQ(seenChanges->revision, 4U);
}

TEST_F(HttpStoreTest, FollowResumesAfterFailures)
{
    options.retryInitial = std::chrono::milliseconds(1);
    std::atomic<int> calls{0};
    serve([&calls](const SeenRequest &) -> std::optional<FakeAnswer> {
        switch (++calls) {
        case 1:
            return FakeAnswer{200, "", R"({"revision":5,"complete":true,"objects":[]})"};
        case 2:
            return FakeAnswer{503, "", ""};
        case 3:
            return FakeAnswer{200, "", R"({"revision":9,"complete":false,
                "objects":[{"path":"p/x","version":9,"value":"v"}]})"};
        default:
            return FakeAnswer{200, "", "not JSON"};
        }
    });
    std::mutex mutex;
    std::vector<Result<StoreChanges>> results;
    std::promise<void> enough;
    store->follow("p/", [&](Result<StoreChanges> result) {
        const std::lock_guard lock(mutex);
        results.push_back(std::move(result));
        if (results.size() == 4)
            enough.set_value();
    });
    enough.get_future().wait();
    store->stop();
    EXPECT_TRUE(results.at(0)->complete);
    EXPECT_EQ(results.at(1).error().code, ErrorCode::Unavailable);
    EXPECT_EQ(results.at(2)->objects.at(0).value, "v");
    EXPECT_EQ(results.at(3).error().code, ErrorCode::Unavailable);
    EXPECT_NE(seen().at(0).target.find("after=0&"), std::string::npos);
    EXPECT_NE(seen().at(1).target.find("after=5&"), std::string::npos);
    EXPECT_NE(seen().at(2).target.find("after=5&"), std::string::npos);
    EXPECT_NE(seen().at(3).target.find("after=9&"), std::string::npos);
}

TEST_F(HttpStoreTest, StopEndsCallsThatWait)
{
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    serve([released](const SeenRequest &) {
        released.wait();
        return FakeAnswer{200, "\"1\"", ""};
    });
    std::promise<ErrorCode> watchEnded;
    store->watch("p", 1, [&](auto result) { watchEnded.set_value(result.error().code); });
    store->stop();
    EXPECT_EQ(watchEnded.get_future().get(), ErrorCode::Unavailable);
    EXPECT_EQ(get("a").error().code, ErrorCode::Unavailable);
    release.set_value();
}

TEST(HostPort, ReadsUrlsAndRefusesNames)
{
    EXPECT_EQ(*parseHostPort("http://127.0.0.1:80/"), (HostPort{"127.0.0.1", 80}));
    EXPECT_EQ(*parseHostPort("[::1]:9"), (HostPort{"::1", 9}));
    for (const char *wrong : {"", "127.0.0.1", "store:80", "127.0.0.1:0", "127.0.0.1:70000"})
        EXPECT_FALSE(parseHostPort(wrong)) << wrong;
}

} // namespace
} // namespace yuccaspan
