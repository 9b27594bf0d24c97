#include "state_command.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace yuccaspan::platform {

namespace {

/// A file that is removed at the end of the test.
class TextFile
{
public:
    TextFile(const char *name, const std::string &text) : m_path(::testing::TempDir() + name)
    {
        std::ofstream(m_path) << text;
    }
    TextFile(const TextFile &) = delete;
    TextFile &operator=(const TextFile &) = delete;
    ~TextFile() { std::remove(m_path.c_str()); }
    [[nodiscard]] const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

std::string stateText(const char *version, const char *service, const char *timeout)
{
    return std::string(R"({"version":")") + version
        + R"(","routes":[{"name":"r","host":"h","path_prefix":"/","route_type":"idempotent",)"
          R"("timeout_s":)"
        + timeout + R"(,"service":")" + service
        + R"(","max_attempts":1}],"services":[{"name":"s"}],"tenants":[]})";
}

TEST(StateCommand, printsFindingsAndChanges)
{
    const TextFile inForce("in-force.json", stateText("00000009", "s", "1"));
    const TextFile next("next.json", stateText("00000009", "t", "2"));
    std::ostringstream out;
    const auto findings = checkStateFile({next.path(), inForce.path(), false}, out);
    ASSERT_TRUE(findings) << findings.error();
    EXPECT_EQ(*findings, 3U);
    EXPECT_EQ(out.str(),
              "invalid: route h/: service \"t\" is not among the services\n"
              "never-matches: service s: no route leads to it\n"
              "invalid: version: 9 is not above 9, which is in force\n"
              "change: route h/: services s -> t\n"
              "change: route h/: timeout 1 s -> 2 s\n");
}

TEST(StateCommand, readsTheStoresObjectAndPrintsJson)
{
    const TextFile stored("stored.json", R"({"spec":)" + stateText("0000000a", "s", "1") + "}");
    std::ostringstream out;
    const auto findings = checkStateFile({stored.path(), {}, true}, out);
    ASSERT_TRUE(findings) << findings.error();
    EXPECT_EQ(*findings, 0U);
    EXPECT_EQ(out.str(), "{\n  \"changes\": [],\n  \"findings\": []\n}\n");
}

TEST(StateCommand, namesThePlaceOfAnError)
{
    std::string text = stateText("0000000a", "s", "1");
    text.replace(text.find("\"host\""), 6, "\"hots\"");
    const TextFile damaged("damaged.json", text);
    std::ostringstream out;
    const auto findings = checkStateFile({damaged.path(), {}, false}, out);
    ASSERT_FALSE(findings);
    EXPECT_EQ(findings.error().place.file, damaged.path());
    EXPECT_EQ(findings.error().place.pointer, "/routes/0");
    EXPECT_EQ(checkStateFile({"/nowhere.json", {}, false}, out).error().code, ErrorCode::NotFound);
    const TextFile noJson("no.json", "{");
    EXPECT_EQ(checkStateFile({noJson.path(), {}, false}, out).error().code, ErrorCode::ParseFailed);
}

} // namespace

} // namespace yuccaspan::platform
