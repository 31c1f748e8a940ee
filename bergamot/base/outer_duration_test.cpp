#include "bergamot/base/outer_duration.h"

#include <limits>

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using std::chrono::milliseconds;

struct DurationCase
{
    const char *name;
    double milliseconds;
    Duration expected;
};

class OuterDurationTest : public testing::TestWithParam<DurationCase>
{ };

TEST_P(OuterDurationTest, IsLimitedToItsRange)
{
    EXPECT_EQ(durationOf(std::chrono::duration<double, std::milli>(GetParam().milliseconds)), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Numbers,
    OuterDurationTest,
    testing::Values(DurationCase{"Usual", 250, milliseconds(250)},
                    DurationCase{"Fraction", 0.5, std::chrono::microseconds(500)},
                    DurationCase{"Negative", -1, Duration::zero()},
                    DurationCase{"TooLarge", 1e308, MaxOuterDuration},
                    DurationCase{"TooSmall", -1e308, Duration::zero()},
                    DurationCase{"Infinite", std::numeric_limits<double>::infinity(), MaxOuterDuration},
                    DurationCase{"NotANumber", std::numeric_limits<double>::quiet_NaN(), Duration::zero()}),
    [](const auto &test) {
        return test.param.name;
    });

TEST(OuterDuration, WholeNumbersAreLimitedToo)
{
    EXPECT_EQ(durationOf(milliseconds::max()), MaxOuterDuration);
    EXPECT_EQ(durationOf(milliseconds::min()), Duration::zero());
    EXPECT_EQ(durationOf(milliseconds(7)), milliseconds(7));
}

} // namespace
} // namespace bergamot
