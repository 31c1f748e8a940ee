#include "bergamot/journal/checkpoint_timer.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

TEST(CheckpointTimer, isDueByAgeOrByRecordsAndNotTwiceInARow)
{
    ManualClock clock;
    CheckpointTimer timer({.maxAge = 60s, .maxRecords = 10, .minGap = 5s}, clock.now());
    EXPECT_FALSE(timer.due(9, clock.now()));
    EXPECT_TRUE(timer.due(10, clock.now()));
    timer.appended(clock.now());
    EXPECT_FALSE(timer.due(10, clock.now()));
    clock.advance(5s);
    EXPECT_TRUE(timer.due(10, clock.now()));
    timer.seen(11, clock.now());
    EXPECT_FALSE(timer.due(11, clock.now()));
    clock.advance(60s);
    EXPECT_TRUE(timer.due(11, clock.now()));
    EXPECT_FALSE(timer.due(0, clock.now()));
}

} // namespace
} // namespace bergamot
