#include "http/classify.hpp"

#include <gtest/gtest.h>

#include <map>

namespace yuccaspan::impl {
namespace {

using Headers = std::map<std::string, std::string, std::less<>>;

Settings makeSettings()
{
    ServiceSettings service;
    service.name = ServiceName("stock");
    service.pathPrefix = "/stock";
    RequestRule byHeader;
    byHeader.kind = "order";
    byHeader.method = "POST";
    byHeader.keySource = KeySource::Header;
    byHeader.keyName = "X-Key";
    RequestRule byPath;
    byPath.kind = "lookup";
    byPath.method = "GET";
    byPath.path = "/items";
    byPath.keySource = KeySource::PathSegment;
    byPath.keySegment = 1;
    RequestRule byQuery;
    byQuery.kind = "search";
    byQuery.method = "GET";
    byQuery.keySource = KeySource::Query;
    byQuery.keyName = "key";
    service.rules = {byHeader, byPath, byQuery};
    Settings settings;
    settings.services = {service};
    return settings;
}

std::variant<Classified, Reason> classifyWith(const Settings &settings, std::string_view method,
                                              std::string_view target, const Headers &headers = {})
{
    const RequestHead head{method, target, [&](std::string_view name) {
                               const auto found = headers.find(name);
                               return found == headers.end() ? std::string_view()
                                                             : std::string_view(found->second);
                           }};
    return classify(settings, head);
}

TEST(Classify, readsTheKeyFromTheSourceInTheRule)
{
    const Settings settings = makeSettings();
    const auto order = classifyWith(settings, "POST", "/stock/orders", {{"X-Key", "k1"}});
    const auto lookup = classifyWith(settings, "GET", "/stock/items/k%202?x=1");
    const auto search = classifyWith(settings, "GET", "/stock/search?a=b&key=k3");
    ASSERT_TRUE(std::holds_alternative<Classified>(order));
    ASSERT_TRUE(std::holds_alternative<Classified>(lookup));
    ASSERT_TRUE(std::holds_alternative<Classified>(search));
    EXPECT_EQ(std::get<Classified>(order).key, "k1");
    EXPECT_EQ(std::get<Classified>(lookup).key, "k 2");
    EXPECT_EQ(std::get<Classified>(lookup).rule->kind, "lookup");
    EXPECT_EQ(std::get<Classified>(search).key, "k3");
    EXPECT_EQ(std::get<Classified>(search).hash, hashKey("k3"));
}

TEST(Classify, returnsTheReasonForUnroutableRequests)
{
    const Settings settings = makeSettings();
    EXPECT_EQ(std::get<Reason>(classifyWith(settings, "GET", "/other")), Reason::NoRule);
    EXPECT_EQ(std::get<Reason>(classifyWith(settings, "GET", "/stocks/items/k")), Reason::NoRule);
    EXPECT_EQ(std::get<Reason>(classifyWith(settings, "PUT", "/stock/x")), Reason::NoRule);
    EXPECT_EQ(std::get<Reason>(classifyWith(settings, "POST", "/stock/x")), Reason::KeyMissing);
    EXPECT_EQ(std::get<Reason>(classifyWith(settings, "GET", "/stock/items")), Reason::KeyMissing);
    EXPECT_EQ(std::get<Reason>(classifyWith(settings, "GET", "/stock/items/%zz")),
              Reason::BadRequest);
    EXPECT_EQ(std::get<Reason>(classifyWith(settings, "GET", "*")), Reason::BadRequest);
}

TEST(Classify, matchesARulesPathOnlyAtSegmentBoundaries)
{
    const Settings settings = makeSettings();
    const auto other = classifyWith(settings, "GET", "/stock/itemsets/k?key=q");
    ASSERT_TRUE(std::holds_alternative<Classified>(other));
    EXPECT_EQ(std::get<Classified>(other).rule->kind, "search");
}

} // namespace
} // namespace yuccaspan::impl
