// Instances that lack any proof that they know the newest settings.

#include "gateway/store_fleet.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The least time of the users' deployments until a desired state must be in force.
constexpr Duration applyWithin = seconds(2);
constexpr Duration requestInterval = milliseconds(50);

/// Requests to one instance for a route, one after the other.
class RouteCaller
{
public:
    RouteCaller(StoreFleet &fleet, const Instance &instance, std::string path)
        : m_fleet(fleet),
          m_path(std::move(path)),
          m_pool(ClientPool::create(fleet.loop, instance.gateway.options.callerAddress, {}))
    { }

    asio::awaitable<void> run(Duration span)
    {
        const TimePoint end = m_fleet.now() + span;
        asio::steady_timer timer(m_fleet.loop);
        while (m_fleet.now() < end) {
            HttpRequest request(http::verb::get, m_path, httpVersion11);
            request.set(http::field::host, "h");
            CallOptions options;
            options.timeout = seconds(6);
            const TimePoint sentAt = m_fleet.now();
            const CallResult result = co_await m_pool->call(std::move(request), std::move(options));
            EXPECT_EQ(result.end, CallEnd::Answered);
            if (result.response.result() == http::status::not_found)
                m_lastNotFound = sentAt;
            timer.expires_after(requestInterval);
            co_await timer.async_wait(asTuple);
        }
        m_done = true;
    }
    /// When the last request was sent that was refused for lack of a route.
    [[nodiscard]] TimePoint lastNotFound() const noexcept { return m_lastNotFound; }
    [[nodiscard]] bool done() const noexcept { return m_done; }

private:
    StoreFleet &m_fleet;
    const std::string m_path;
    const std::shared_ptr<ClientPool> m_pool;
    TimePoint m_lastNotFound{};
    bool m_done = false;
};

std::vector<std::string> namesOf(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < count; ++index)
        names.push_back("i" + std::to_string(index));
    return names;
}

/// The store is silent to three of four instances from shortly before a route is added.
TEST(UnprovenSettings, aNewRouteIsntRefusedWhileTheStoreIsSilentToMost)
{
    constexpr std::size_t instances = 36;
    constexpr std::uint32_t withNews = 30;
    StoreFleet fleet(namesOf(instances), withNews);
    fleet.start();
    std::size_t silent = 0;
    for (Instance *reader : fleet.readers)
        reader->store.cutOff = ++silent != 0;
    for (Instance *child : fleet.children)
        child->store.cutOff = silent++ < instances * 3 / 4;
    fleet.loop.run_for(milliseconds(300));
    fleet.shared.set(ObjectKind::Settings, "main", "2");
    const TimePoint added = fleet.now();
    std::vector<std::unique_ptr<RouteCaller>> callers;
    for (const auto &instance : fleet.all) {
        callers.push_back(std::make_unique<RouteCaller>(fleet, *instance, "/2/"));
        asio::co_spawn(fleet.loop, callers.back()->run(seconds(5)), asio::detached);
    }
    fleet.loop.run_for(seconds(7));
    std::size_t late = 0;
    Duration longest{};
    for (const auto &caller : callers) {
        EXPECT_TRUE(caller->done());
        longest = std::max(longest, caller->lastNotFound() - added);
        late += std::size_t(caller->lastNotFound() > added + applyWithin);
    }
    EXPECT_EQ(late, 0U) << "the last after "
                        << std::chrono::duration_cast<milliseconds>(longest).count() << " ms";
}

/// Its source of news says nothing, and the store doesn't answer it.
TEST(UnprovenSettings, areFetchedByAnInstanceThatKnowsThatItLacksThem)
{
    constexpr std::uint32_t withoutNews = 0;
    Fleet3 fleet(withoutNews);
    fleet.start();
    const auto away = std::ranges::find_if(
        fleet.all, [](const auto &instance) { return !instance->control.placing(); });
    (*away)->store.cutOff = true;
    fleet.loop.run_for(seconds(1));
    fleet.shared.set(ObjectKind::Settings, "main", "2");
    fleet.loop.run_for(applyWithin);
    EXPECT_EQ((*away)->version(), 2U);
    EXPECT_TRUE((*away)->gateway.settingsProven(fleet.now()));
}

TEST(UnprovenSettings, areFetchedByAnInstanceThatCouldNeverListThem)
{
    constexpr std::uint32_t withoutNews = 0;
    Fleet3 fleet(withoutNews);
    Instance &late = *fleet.children.front();
    late.store.unanswered.insert(ObjectKind::Settings);
    fleet.start();
    fleet.shared.set(ObjectKind::Settings, "main", "2");
    fleet.loop.run_for(applyWithin);
    EXPECT_EQ(late.version(), 2U);
    EXPECT_TRUE(late.gateway.settingsProven(fleet.now()));
}

} // namespace

} // namespace yuccaspan::gateway
