#include "gateway/workspaces/key_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace yuccaspan::gateway {

namespace {

DesiredState stateOf(std::vector<std::vector<std::string>> keysOfWorkspaces)
{
    DesiredState state;
    for (std::vector<std::string> &keys : keysOfWorkspaces)
        state.workspaces.push_back(
            {"w" + std::to_string(state.workspaces.size()), std::move(keys), {}, 0, 0});
    return state;
}

TEST(KeyTable, findsTheWorkspaceThatHoldsAKey)
{
    const DesiredState state = stateOf({{"alpha", "beta"}, {"gamma"}});
    const KeyTable table = KeyTable::create(state, 1);
    ASSERT_NE(table.find("beta"), nullptr);
    EXPECT_EQ(table.find("beta")->name, "w0");
    EXPECT_EQ(table.find("gamma")->name, "w1");
}

TEST(KeyTable, knowsNoOtherKey)
{
    const DesiredState state = stateOf({{"alpha"}});
    const KeyTable table = KeyTable::create(state, 1);
    for (const char *key : {"", "alph", "alphaa", "Alpha", "alphb"})
        EXPECT_EQ(table.find(key), nullptr) << key;
    EXPECT_EQ(KeyTable().find("alpha"), nullptr);
}

/// The seed only hides the order of the table.
RC_GTEST_PROP(KeyTable, answersAsAPlainSearch,
              (const std::vector<std::string> &keys, const std::string &asked, std::uint64_t seed))
{
    const DesiredState state = stateOf({keys});
    const KeyTable table = KeyTable::create(state, seed);
    const bool known = std::ranges::find(keys, asked) != keys.end();
    RC_ASSERT((table.find(asked) != nullptr) == known);
    for (const std::string &key : keys)
        RC_ASSERT(table.find(key) == &state.workspaces.front());
}

} // namespace

} // namespace yuccaspan::gateway
