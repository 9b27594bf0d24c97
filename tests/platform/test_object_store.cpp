#include "../../platform/object_store.hpp"
#include "entry_codec.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/src.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan::platform {

namespace {

namespace asio = gateway::asio;
namespace http = gateway::http;
using gateway::asTuple;
using gateway::ObjectKind;
using gateway::StoredObjects;
using gateway::StoreRevision;
using gateway::tcp;

/// A store that answers each call with the same body.
class FixedStore
{
public:
    FixedStore(asio::io_context &loop, std::string body)
        : m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          m_body(std::move(body))
    {
        asio::co_spawn(loop, serve(), asio::detached);
    }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    asio::awaitable<void> serve()
    {
        auto [failure, socket] = co_await m_acceptor.async_accept(asTuple);
        if (failure)
            co_return;
        gateway::beast::flat_buffer buffer;
        gateway::HttpRequest request;
        co_await http::async_read(socket, buffer, request, asTuple);
        gateway::HttpResponse response(http::status::ok, gateway::httpVersion11);
        response.body() = m_body;
        response.prepare_payload();
        co_await http::async_write(socket, response, asTuple);
    }

    tcp::acceptor m_acceptor;
    std::string m_body;
};

std::optional<Result<StoredObjects>> listOf(const std::string &body)
{
    asio::io_context loop;
    FixedStore server(loop, body);
    ObjectStore store(loop, server.address());
    std::optional<Result<StoredObjects>> result;
    asio::co_spawn(
        loop,
        [&]() -> asio::awaitable<void> {
            result = co_await store.list(ObjectKind::Targets);
            loop.stop();
        },
        asio::detached);
    loop.run_for(std::chrono::seconds(20));
    return result;
}

std::string entry(const std::string &name, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":3},"spec":)" + spec + "}";
}

std::string pageWith(const std::string &odd)
{
    const std::string good =
        R"({"born":5,"address":"10.0.0.1:80","info":{"service":"s","zone":"z","max_concurrency":2},)"
        R"("status":{"state":"ready","sequence":1,"warmup_left_s":0}})";
    return R"({"items":[)" + entry("a", good) + "," + entry("odd", odd) + "," + entry("b", good)
        + R"(],"has_more":false,"store_revision":9})";
}

/// Guards against instances that end, or stop following the targets, because of one entry that
/// another writer left among them.
TEST(ObjectStore, listsTheOtherTargetsBesideAnOddEntry)
{
    constexpr std::size_t depth = 400'000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    for (const std::string &odd : {deep, std::string(R"({"born":1e999})"), std::string("\"\xff\""),
                                   std::string("[]"), std::string("null")}) {
        const auto listed = listOf(pageWith(odd));
        ASSERT_TRUE(listed && *listed) << odd.substr(0, 20);
        EXPECT_EQ((*listed)->revision, (StoreRevision{0, 9}));
        std::size_t usable = 0;
        for (const gateway::StoredObject &object : (*listed)->objects)
            usable += EntryCodec().target(object) ? 1 : 0;
        EXPECT_EQ(usable, 2U) << odd.substr(0, 20);
    }
}

/// A store that lists its objects in pages of two, by the names in the queries.
class PagedStore
{
public:
    PagedStore(asio::io_context &loop, std::vector<std::string> names)
        : m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          m_names(std::move(names))
    {
        std::ranges::sort(m_names);
        asio::co_spawn(loop, serve(), asio::detached);
    }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    static constexpr std::size_t pageSize = 2;

    /// The name that a query asks to continue from, as a store reads it.
    static std::string nameAfter(std::string_view target)
    {
        constexpr std::string_view field = "?after=";
        const std::size_t at = target.find(field);
        if (at == std::string_view::npos)
            return {};
        std::string_view text = target.substr(at + field.size());
        text = text.substr(0, text.find_first_of("&#"));
        const auto encoded = boost::urls::make_pct_string_view(text);
        boost::urls::encoding_opts options;
        options.space_as_plus = true;
        return encoded ? encoded->decode(options) : std::string();
    }

    asio::awaitable<void> serve()
    {
        auto [failure, socket] = co_await m_acceptor.async_accept(asTuple);
        gateway::beast::flat_buffer buffer;
        while (!failure) {
            gateway::HttpRequest request;
            const auto [unread, count] =
                co_await http::async_read(socket, buffer, request, asTuple);
            if (unread)
                co_return;
            const std::string_view target(request.target().data(), request.target().size());
            auto next = std::ranges::upper_bound(m_names, nameAfter(target));
            nlohmann::json items = nlohmann::json::array();
            for (; next != m_names.end() && items.size() < pageSize; ++next)
                items.push_back({{"metadata", {{"name", *next}, {"revision", 3}}}});
            gateway::HttpResponse response(http::status::ok, gateway::httpVersion11);
            response.body() = nlohmann::json{
                {"items", items},
                {"has_more", next != m_names.end()},
                {"store_revision",
                 9}}.dump();
            response.prepare_payload();
            co_await http::async_write(socket, response, asTuple);
        }
    }

    tcp::acceptor m_acceptor;
    std::vector<std::string> m_names;
};

/// A name at the end of a page was sent as it is in the query for the next one (RECOVER).
TEST(ObjectStore, listsAllPagesWhateverCharactersAreInTheNames)
{
    for (const std::string &odd : {"b&x", "b+", "b#", "b%41", "b %", "b=?", "b/\\"}) {
        asio::io_context loop;
        const std::vector<std::string> names{"a", odd, "c", "d", "e"};
        PagedStore server(loop, names);
        ObjectStore store(loop, server.address());
        std::optional<Result<StoredObjects>> listed;
        asio::co_spawn(
            loop,
            [&]() -> asio::awaitable<void> {
                listed = co_await store.list(ObjectKind::Targets);
                loop.stop();
            },
            asio::detached);
        loop.run_for(std::chrono::seconds(20));
        ASSERT_TRUE(listed && *listed) << odd;
        std::vector<std::string> found;
        for (const gateway::StoredObject &object : (*listed)->objects)
            found.push_back(object.name);
        EXPECT_EQ(found, names) << odd;
    }
}

/// Guards against listing the same page for ever.
TEST(ObjectStore, failsOnAPageWithoutAnyReadableObject)
{
    const auto listed = listOf(R"({"items":[{"n":1e999}],"has_more":true,"store_revision":9})");
    ASSERT_TRUE(listed);
    EXPECT_EQ((*listed).error().code, ErrorCode::ParseFailed);
}

} // namespace

} // namespace yuccaspan::platform
