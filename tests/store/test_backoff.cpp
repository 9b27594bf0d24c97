#include "yuccaspan/backoff.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace yuccaspan {
namespace {

constexpr Duration initial = std::chrono::milliseconds(100);
constexpr Duration limit = std::chrono::seconds(5);

RC_GTEST_PROP(Backoff, DelayNeverExceedsDoublingBound, (std::uint64_t seed))
{
    Backoff backoff(initial, limit, seed);
    Duration bound = initial;
    for (int failure = 0; failure < 12; ++failure) {
        const Duration delay = backoff.failed();
        RC_ASSERT(delay >= Duration::zero());
        RC_ASSERT(delay <= bound);
        bound = std::min(limit, bound * 2);
    }
    backoff.succeeded();
    RC_ASSERT(backoff.failed() <= initial);
}

TEST(Backoff, DifferentSeedsSpreadDelaysEvenly)
{
    constexpr std::size_t callers = 1000;
    constexpr std::size_t windows = 10;
    std::vector<std::size_t> perWindow(windows);
    for (std::uint64_t seed = 0; seed < callers; ++seed) {
        Backoff backoff(limit, limit, seed);
        const auto window =
            static_cast<std::size_t>(backoff.failed() * windows / (limit + Duration(1)));
        ++perWindow.at(window);
    }
    EXPECT_LE(*std::ranges::max_element(perWindow), 2 * callers / windows);
}

} // namespace
} // namespace yuccaspan
