// Bursts of crashes in which sound samples are still given up.

#include <gtest/gtest.h>

#include "bergamot/samples/internal/crash_bursts.h"

namespace bergamot
{
namespace
{

class OpenCrashBursts : public testing::TestWithParam<unsigned>
{ };

TEST_P(OpenCrashBursts, loseNoSample)
{
    const CrashBurstOutcome outcome = runCrashBursts(GetParam());
    EXPECT_TRUE(outcome.finished);
    EXPECT_EQ(outcome.violations, 0U);
    EXPECT_EQ(outcome.failures, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, OpenCrashBursts, testing::Values(45U));

} // namespace
} // namespace bergamot
