#include "load/key_sampler.hpp"
#include "load/latency_histogram.hpp"
#include "load/load_report.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>

namespace yuccaspan::tests {
namespace {

using namespace load;

RC_GTEST_PROP(LatencyHistogram, QuantilesAgreeWithASortedVector, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 300);
    std::vector<std::int64_t> values;
    LatencyHistogram whole;
    LatencyHistogram other;
    for (std::size_t index = 0; index < count; ++index) {
        // Spread evenly over the orders of magnitude.
        const double exponent = *rc::gen::inRange(0, 8000) / 1000.0;
        values.push_back(std::llround(std::pow(10.0, exponent)));
        (index % 2 == 0 ? whole : other).add(Duration(values.back()));
    }
    whole.merge(other);
    std::sort(values.begin(), values.end());
    RC_ASSERT(whole.count() == count);
    RC_ASSERT(whole.max().count() == values.back());
    for (const double share : {0.0, 0.5, 0.9, 0.99, 0.999, 1.0}) {
        const auto exactRank = std::ceil(share * static_cast<double>(count));
        const auto rank = std::max<std::size_t>(1, static_cast<std::size_t>(exactRank));
        const auto exact = static_cast<double>(values[rank - 1]);
        const auto shown = static_cast<double>(whole.quantile(share).count());
        // Half a microsecond is lost to rounding.
        RC_ASSERT(std::abs(shown - exact) <= exact * maxQuantileError + 0.5);
    }
}

TEST(KeySampler, FavoursFewKeysByZipfAndAllAlikeWithoutIt)
{
    constexpr std::uint32_t keys = 100;
    constexpr int draws = 100000;
    for (const double exponent : {0.0, 1.0}) {
        const KeySampler sampler(keys, exponent, 7);
        std::mt19937_64 random(11);
        std::vector<int> counts(keys);
        for (int draw = 0; draw < draws; ++draw)
            ++counts[sampler.draw(random, 0)];
        const double top = *std::max_element(counts.begin(), counts.end());
        // The harmonic number of 100 is 5.187: the first key has a share of 0.193.
        const double expected = exponent == 0 ? 1.0 / keys : 1 / 5.187;
        EXPECT_NEAR(top / draws, expected, expected * 0.2);
    }
}

TEST(KeySampler, OtherKeysArePopularInAnotherEpoch)
{
    const KeySampler sampler(100, 2.0, 7);
    std::vector<std::vector<int>> counts(2, std::vector<int>(100));
    for (std::uint32_t epoch = 0; epoch < 2; ++epoch) {
        std::mt19937_64 random(11);
        for (int draw = 0; draw < 1000; ++draw)
            ++counts[epoch][sampler.draw(random, epoch)];
    }
    const auto top = [](const std::vector<int> &row) {
        return std::max_element(row.begin(), row.end()) - row.begin();
    };
    EXPECT_NE(top(counts[0]), top(counts[1]));
}

TEST(RequestMix, NamesThePlaceOfAnError)
{
    const auto wrong = parseRequestMix(R"({"kinds":[{"kind":"a","path":"/a","worth":"much"}]})");
    ASSERT_FALSE(wrong.hasValue());
    EXPECT_EQ(wrong.error().code, ErrorCode::SchemaViolation);
    EXPECT_EQ(wrong.error().place.pointer, "/kinds/0/worth");
    EXPECT_FALSE(parseRequestMix("{").hasValue());
    EXPECT_FALSE(parseRequestMix(R"({"kinds":[]})").hasValue());
}

TEST(LoadReport, WeighsServiceByWorthAndFindsUnavailableTime)
{
    const auto mix = parseRequestMix(R"({"kinds":[
        {"kind":"lookup","path":"/l/{key}","worth":1,"deadlineMs":100},
        {"kind":"order","path":"/o/{key}","worth":9}]})");
    ASSERT_TRUE(mix.hasValue());
    LoadReport first(*mix);
    LoadReport second(*mix);
    const Duration quick{1000};
    first.add({0, Duration(0), quick, CallResult::Done, "answered", false});
    first.add({0, Duration(1000), Duration(100001), CallResult::Done, "answered", false});
    second.add({1, Duration(1200000), quick, CallResult::Done, "answered", false});
    second.add({1, Duration(1201000), quick, CallResult::NotRun, "queue-full", true});
    first.merge(second);
    EXPECT_DOUBLE_EQ(first.weightedService(), 10.0 / 20.0);
    EXPECT_EQ(first.total(CallResult::Done), 3U);
    EXPECT_EQ(first.crossed(), 1U);
    EXPECT_NEAR(first.doneRate(), 3 / 1.202, 1e-9);
    EXPECT_EQ(first.kinds()[0].late, 1U);
    EXPECT_EQ(first.kinds()[1].reasons.at("queue-full"), 1U);
    const std::vector<Duration> expected{Duration(0), Duration(5000)};
    EXPECT_EQ(first.unavailable(), expected);
}

} // namespace
} // namespace yuccaspan::tests
