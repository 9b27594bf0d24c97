#include "page_reader.hpp"

#include <gtest/gtest.h>

#include <string>

namespace yuccaspan::platform {

namespace {

using nlohmann::json;

constexpr const char *good =
    R"({"metadata":{"name":"a","revision":3},"spec":{"x":[1,{"y":"]}\""}]}})";

std::string page(const std::string &odd)
{
    return R"({"items":[)" + std::string(good) + "," + odd + "," + good
        + R"(],"has_more":false,"store_revision":530})";
}

TEST(PageReader, readsItemsAndOtherFields)
{
    const auto read = readPage(page(good), "items");
    ASSERT_TRUE(read) << read.error();
    EXPECT_EQ(read->items.size(), 3U);
    EXPECT_EQ(read->items[1], json::parse(good));
    EXPECT_EQ(read->rest, (json{{"has_more", false}, {"store_revision", 530}}));
    EXPECT_EQ(readPage(R"( {"items" : [ ] } )", "items")->items.size(), 0U);
}

/// Guards against a list that can't be followed any more because one entry has a number that no
/// type holds, or bytes that are no text.
TEST(PageReader, leavesOutItemsThatCannotBeRead)
{
    for (const char *odd : {R"({"n":1e999})", R"({"n":-1e999})", "{\"n\":\"\xff\xfe\"}",
                            "{\"n\":nope}", "[1 2]", "{\"a\":{\"b\":[01]}}"}) {
        const auto read = readPage(page(odd), "items");
        ASSERT_TRUE(read) << odd;
        EXPECT_EQ(read->items.size(), 2U) << odd;
        EXPECT_EQ(read->unreadable, 1U) << odd;
        EXPECT_EQ(read->rest, (json{{"has_more", false}, {"store_revision", 530}})) << odd;
    }
}

/// Guards against a stack overflow on an entry that is nested very deeply.
TEST(PageReader, readsItemsOfAnyDepth)
{
    constexpr std::size_t depth = 450'000;
    const std::string deep = R"({"d":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
    const auto read = readPage(page(deep), "items");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->items.size(), 3U);
    const auto damaged = readPage(page(deep + ",{\"n\":1e999}"), "items");
    ASSERT_TRUE(damaged);
    EXPECT_EQ(damaged->items.size(), 3U);
}

TEST(PageReader, rejectsWhatIsNoPage)
{
    for (const char *text : {"", "[]", "{}", "{\"items\":{}}", "{\"items\":[", "{\"items\":[1e999",
                             "{\"items\":[1e999]", "{\"items\":[1e999}", "{\"items\" [1e999]}",
                             "{\"items\":[1e999,,]}", "{\"items\":\"", "{\"", "\xff"})
        EXPECT_FALSE(readPage(text, "items")) << text;
}

} // namespace

} // namespace yuccaspan::platform
