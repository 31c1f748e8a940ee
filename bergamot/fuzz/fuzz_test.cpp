// The short run of every fuzz target. The long one is `bergamot-fuzz --seed N --count N`.

#include <gtest/gtest.h>

#include "bergamot/fuzz/targets.h"

namespace bergamot
{
namespace
{

constexpr std::uint64_t ShortRun = 1500;

class Fuzz : public testing::TestWithParam<FuzzTarget>
{ };

TEST_P(Fuzz, acceptsEachValidInput)
{
    for (const std::string &valid : GetParam().valid) {
        EXPECT_EQ(GetParam().judge(valid), FuzzVerdict::Accepted) << valid;
    }
}

TEST_P(Fuzz, refusesDamageOrTakesItWithoutHarm)
{
    for (const std::uint64_t seed : {1, 2}) {
        const FuzzReport report = fuzz(GetParam(), {.seed = seed, .count = ShortRun});
        EXPECT_TRUE(report.broken.empty()) << report.broken.size() << " inputs, the first: " << report.broken.front();
        EXPECT_GT(report.refused, 0U);
        EXPECT_EQ(report.refused + report.accepted + report.broken.size(), ShortRun);
    }
}

TEST_P(Fuzz, givesTheSameForTheSameSeed)
{
    const FuzzReport first = fuzz(GetParam(), {.seed = 3, .count = 100});
    const FuzzReport second = fuzz(GetParam(), {.seed = 3, .count = 100});
    EXPECT_EQ(first.refused, second.refused);
    EXPECT_EQ(first.accepted, second.accepted);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Fuzz,
                         testing::ValuesIn(fuzzTargets()),
                         [](const testing::TestParamInfo<FuzzTarget> &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot
