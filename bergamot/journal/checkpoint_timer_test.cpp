#include "bergamot/journal/checkpoint_timer.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

struct DueCase
{
    std::string name;
    StreamGrowth growth;
    Duration age; // time since the newest checkpoint was read
    bool due;
};

class CheckpointDue : public testing::TestWithParam<DueCase>
{ };

TEST_P(CheckpointDue, dependsOnAgeAndBytesOfLaterRecords)
{
    const TimePoint begin(1h);
    CheckpointTimer timer({.maxAge = 60s, .minBytes = 100, .minGap = 5s}, begin);
    timer.seen(begin);
    EXPECT_EQ(timer.due(GetParam().growth, begin + GetParam().age), GetParam().due);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CheckpointDue,
    testing::Values(
        DueCase{"emptyStream", {.applied = 0, .bytesSince = 1000}, 1h, false},
        DueCase{"fewBytes", {.applied = 9, .bytesSince = 99}, 59s, false},
        DueCase{"enoughBytes", {.applied = 9, .bytesSince = 100}, 0s, true},
        DueCase{"fewerBytesThanLastCheckpoint", {.applied = 9, .bytesSince = 999, .lastBytes = 1000}, 59s, false},
        DueCase{"asManyBytesAsLastCheckpoint", {.applied = 9, .bytesSince = 1000, .lastBytes = 1000}, 0s, true},
        DueCase{"old", {.applied = 9, .bytesSince = 0, .lastBytes = 1000}, 60s, true}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

TEST(CheckpointTimer, limitsTheRateOfAttempts)
{
    const TimePoint begin(1h);
    CheckpointTimer timer({.maxAge = 60s, .minBytes = 100, .minGap = 5s}, begin);
    const StreamGrowth growth{.applied = 9, .bytesSince = 100};
    EXPECT_TRUE(timer.due(growth, begin));
    timer.appended(begin);
    EXPECT_FALSE(timer.due(growth, begin + 4s));
    EXPECT_TRUE(timer.due(growth, begin + 5s));
}

} // namespace
} // namespace bergamot
