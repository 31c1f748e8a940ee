// Bursts of crashes in which no sample may be given up.

#include <gtest/gtest.h>

#include "bergamot/samples/internal/crash_bursts.h"

namespace bergamot
{
namespace
{

class CrashBursts : public testing::TestWithParam<unsigned>
{ };

TEST_P(CrashBursts, loseNoSample)
{
    const CrashBurstOutcome outcome = runCrashBursts(GetParam());
    EXPECT_TRUE(outcome.finished);
    EXPECT_EQ(outcome.violations, 0U);
    EXPECT_EQ(outcome.failures, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CrashBursts, testing::Range(0U, 100U));
// A suspect was blamed while another one that proved to be sound was probed on engines that crashed.
INSTANTIATE_TEST_SUITE_P(FailedOnce, CrashBursts, testing::Values(1125U));

} // namespace
} // namespace bergamot
