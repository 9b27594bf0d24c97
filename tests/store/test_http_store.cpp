#include "fake_http_server.hpp"

#include "yuccaspan/store_http.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>

namespace yuccaspan {
namespace {

/// Starts an asynchronous call and waits for its result.
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
        m_server = std::make_unique<FakeHttpServer>([this, script](const ReceivedRequest &request) {
            {
                const std::lock_guard lock(m_mutex);
                m_requests.push_back(request);
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
        Result<std::unique_ptr<HttpStore>> created = makeHttpStore(options, clock);
        ASSERT_TRUE(created) << created.error();
        store = std::move(*created);
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

    std::vector<ReceivedRequest> requests()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

    StoreOptions options;
    ManualClock clock;
    std::unique_ptr<HttpStore> store;

    std::unique_ptr<FakeHttpServer> m_server;

private:
    std::mutex m_mutex;
    std::vector<ReceivedRequest> m_requests;
};

TEST_F(HttpStoreTest, GetReturnsValueAndVersion)
{
    serve([](const ReceivedRequest &) { return FakeResponse{200, "\"17\"", "value"}; });
    const Result<StoreObject> object = get("placement/s/a/0 x");
    ASSERT_TRUE(object) << object.error();
    EXPECT_EQ(object->version, ObjectVersion{17});
    EXPECT_EQ(object->value, "value");
    EXPECT_EQ(requests().at(0).target, "/v1/objects/placement/s/a/0%20x");
    EXPECT_EQ(requests().at(0).instance, "entry-1#7");
}

TEST_F(HttpStoreTest, PutSendsVersionCondition)
{
    serve([](const ReceivedRequest &) { return FakeResponse{200, "\"8\"", ""}; });
    EXPECT_EQ(*put("a", 0, "1"), ObjectVersion{8});
    EXPECT_EQ(*put("a", 7, "2"), ObjectVersion{8});
    EXPECT_EQ(requests().at(0).condition, "*");
    EXPECT_EQ(requests().at(1).condition, "\"7\"");
    EXPECT_EQ(requests().at(1).body, "2");
    EXPECT_EQ(store->counters().writes, 2U);
    EXPECT_EQ(store->counters().connects, 1U);
}

struct StatusCase
{
    unsigned status;
    ErrorCode getError;
    ErrorCode putError;
};

class HttpStoreStatus : public HttpStoreTest, public testing::WithParamInterface<StatusCase>
{ };

TEST_P(HttpStoreStatus, StatusMapsToErrorCode)
{
    serve([](const ReceivedRequest &) { return FakeResponse{GetParam().status, "", ""}; });
    EXPECT_EQ(get("a").error().code, GetParam().getError);
    EXPECT_EQ(put("a", 1, "x").error().code, GetParam().putError);
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

TEST_F(HttpStoreTest, PutWithLostResponseIsUnknownResult)
{
    serve([](const ReceivedRequest &) { return std::optional<FakeResponse>(); });
    EXPECT_EQ(put("a", 1, "x").error().code, ErrorCode::UnknownResult);
    EXPECT_EQ(get("a").error().code, ErrorCode::Unavailable);
    EXPECT_EQ(store->counters().unknownResults, 1U);
    EXPECT_EQ(store->counters().unavailable, 1U);
}

TEST_F(HttpStoreTest, PutThatWasNotSentIsUnavailable)
{
    serve([](const ReceivedRequest &) { return FakeResponse{}; });
    options.port = 1; // no server listens on this port
    open();
    EXPECT_EQ(put("a", 1, "x").error().code, ErrorCode::Unavailable);
}

TEST_F(HttpStoreTest, PutTimeoutAfterSendIsUnknownResult)
{
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    options.callTimeout = std::chrono::milliseconds(50);
    serve([released](const ReceivedRequest &) {
        released.wait();
        return FakeResponse{200, "\"1\"", ""};
    });
    EXPECT_EQ(put("a", 1, "x").error().code, ErrorCode::UnknownResult);
    release.set_value();
}

TEST_F(HttpStoreTest, ConnectionClosedByPeerIsNotReused)
{
    options.connections = 1;
    serve([](const ReceivedRequest &) { return FakeResponse{200, "\"1\"", "", true}; });
    for (int call = 1; call <= 5; ++call) {
        EXPECT_TRUE(put("a", 1, "x"));
        m_server->awaitClosed(call);
    }
}

TEST_F(HttpStoreTest, ReadAndWriteRateLimitsAreSeparate)
{
    options.budget = {2, 1, 1, 1};
    serve([](const ReceivedRequest &) { return FakeResponse{200, "\"1\"", ""}; });
    EXPECT_TRUE(get("a"));
    EXPECT_TRUE(get("a"));
    EXPECT_EQ(get("a").error().code, ErrorCode::LimitExceeded);
    EXPECT_TRUE(put("a", 1, "x"));
    EXPECT_EQ(put("a", 1, "x").error().code, ErrorCode::LimitExceeded);
    clock.advance(std::chrono::milliseconds(500));
    EXPECT_TRUE(get("a"));
    EXPECT_EQ(get("a").error().code, ErrorCode::LimitExceeded);
    EXPECT_EQ(store->counters().limited, 3U);
    EXPECT_EQ(requests().size(), 4U);
}

TEST_F(HttpStoreTest, TooLongValueIsNotSent)
{
    serve([](const ReceivedRequest &) { return FakeResponse{200, "\"1\"", ""}; });
    EXPECT_EQ(put("a", 1, std::string(1000001, 'x')).error().code, ErrorCode::LimitExceeded);
    EXPECT_TRUE(requests().empty());
}

TEST_F(HttpStoreTest, PendingWatchDoesNotBlockReads)
{
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    options.connections = 1;
    serve([released](const ReceivedRequest &request) {
        if (request.target.starts_with("/v1/watch"))
            released.wait();
        return FakeResponse{200, "\"1\"", R"({"revision":4,"complete":false,"objects":[]})"};
    });
    std::promise<Result<StoreChanges>> changes;
    store->watch("placement/", 3, [&](auto result) { changes.set_value(std::move(result)); });
    EXPECT_TRUE(get("a"));
    release.set_value();
    const Result<StoreChanges> watchResult = changes.get_future().get();
    ASSERT_TRUE(watchResult) << watchResult.error();
    EXPECT_EQ(watchResult->revision, 4U);
}

TEST_F(HttpStoreTest, FollowResumesAfterFailures)
{
    options.retryInitial = std::chrono::milliseconds(1);
    std::atomic<int> calls{0};
    serve([&calls](const ReceivedRequest &) -> std::optional<FakeResponse> {
        switch (++calls) {
        case 1:
            return FakeResponse{200, "", R"({"revision":5,"complete":true,"objects":[]})"};
        case 2:
            return FakeResponse{503, "", ""};
        case 3:
            return FakeResponse{200, "", R"({"revision":9,"complete":false,
                "objects":[{"path":"p/x","version":9,"value":"v"}]})"};
        default:
            return FakeResponse{200, "", "not JSON"};
        }
    });
    std::mutex mutex;
    std::vector<Result<StoreChanges>> results;
    std::promise<void> allReceived;
    store->follow("p/", [&](Result<StoreChanges> result) {
        const std::lock_guard lock(mutex);
        results.push_back(std::move(result));
        if (results.size() == 4)
            allReceived.set_value();
    });
    allReceived.get_future().wait();
    store->stop();
    EXPECT_TRUE(results.at(0)->complete);
    EXPECT_EQ(results.at(1).error().code, ErrorCode::Unavailable);
    EXPECT_EQ(results.at(2)->objects.at(0).value, "v");
    EXPECT_EQ(results.at(3).error().code, ErrorCode::Unavailable);
    EXPECT_NE(requests().at(0).target.find("after=0&"), std::string::npos);
    EXPECT_NE(requests().at(1).target.find("after=5&"), std::string::npos);
    EXPECT_NE(requests().at(2).target.find("after=5&"), std::string::npos);
    EXPECT_NE(requests().at(3).target.find("after=9&"), std::string::npos);
}

TEST_F(HttpStoreTest, StopFailsPendingCalls)
{
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    serve([released](const ReceivedRequest &) {
        released.wait();
        return FakeResponse{200, "\"1\"", ""};
    });
    std::promise<ErrorCode> watchEnded;
    store->watch("p", 1, [&](auto result) { watchEnded.set_value(result.error().code); });
    store->stop();
    EXPECT_EQ(watchEnded.get_future().get(), ErrorCode::Unavailable);
    EXPECT_EQ(get("a").error().code, ErrorCode::Unavailable);
    release.set_value();
}

TEST(HostPort, ParsesUrlsAndRejectsHostNames)
{
    EXPECT_EQ(*parseHostPort("http://127.0.0.1:80/"), (HostPort{"127.0.0.1", 80}));
    EXPECT_EQ(*parseHostPort("[::1]:9"), (HostPort{"::1", 9}));
    for (const char *invalid : {"", "127.0.0.1", "store:80", "127.0.0.1:0", "127.0.0.1:70000"})
        EXPECT_FALSE(parseHostPort(invalid)) << invalid;
}

} // namespace
} // namespace yuccaspan
