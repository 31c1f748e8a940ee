#include <gtest/gtest.h>

#include "bergamot/membership/digest_schedule.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

constexpr Duration Period = 1s;
constexpr Duration Patience = 500ms;
constexpr std::uint64_t ReportTick = 7;

/// What happens after a digest is sent, and how the schedule stands a while later.
struct ScheduleCase
{
    std::string name;
    std::function<void(DigestSchedule &schedule)> happens;
    Duration later;
    bool isDue;
    bool isLate;
    std::uint64_t reportsKnown;
};

void nothing(DigestSchedule &)
{ }

void answered(DigestSchedule &schedule)
{
    schedule.answered("relay");
}

void failed(DigestSchedule &schedule)
{
    schedule.failed("relay");
}

void hurried(DigestSchedule &schedule)
{
    schedule.hurry("relay");
}

void answeredAndAllHurried(DigestSchedule &schedule)
{
    schedule.answered("relay");
    schedule.hurryAll();
}

void answeredAndFailedLater(DigestSchedule &schedule)
{
    schedule.answered("relay");
    schedule.failed("relay");
}

class DigestScheduleTable : public testing::TestWithParam<ScheduleCase>
{ };

TEST_P(DigestScheduleTable, afterADigest)
{
    const TimePoint start{std::chrono::hours(1)};
    DigestSchedule schedule;
    EXPECT_TRUE(schedule.isDue("relay", start));
    schedule.reportsKnownBy("relay", start);
    schedule.sent("relay", ReportTick, Period, start);
    GetParam().happens(schedule);
    const TimePoint now = start + GetParam().later;
    EXPECT_EQ(schedule.isDue("relay", now), GetParam().isDue);
    EXPECT_EQ(schedule.isLate("relay", Patience, now), GetParam().isLate);
    EXPECT_EQ(schedule.reportsKnownBy("relay", now), GetParam().reportsKnown);
    EXPECT_FALSE(schedule.isLate("stranger", Patience, now));
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    DigestScheduleTable,
    testing::Values(ScheduleCase{"inFlight", nothing, 499ms, false, false, 0},
                    ScheduleCase{"inFlightForLong", nothing, 500ms, false, true, 0},
                    ScheduleCase{"inFlightPastItsPeriod", nothing, 2999ms, false, true, 0},
                    ScheduleCase{"givenUp", nothing, 3s, true, true, 0},
                    ScheduleCase{"hurriedInFlight", hurried, 600ms, false, true, 0},
                    ScheduleCase{"answered", answered, 999ms, false, false, ReportTick},
                    ScheduleCase{"answeredAndDue", answered, 1s, true, false, ReportTick},
                    ScheduleCase{"answeredAndHurried", answeredAndAllHurried, 1ms, true, false, ReportTick},
                    ScheduleCase{"failedGetsAllReportsAgain", failed, 1s, true, false, 0},
                    ScheduleCase{"failedAfterAnAnswer", answeredAndFailedLater, 999ms, false, false, 0},
                    ScheduleCase{"allReportsAgainOnceInAWhile", answered, 30s, true, false, 0}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

TEST(DigestSchedule, forgetsPeersThatGetNothing)
{
    const TimePoint start{std::chrono::hours(1)};
    DigestSchedule schedule;
    schedule.sent("relay", ReportTick, Period, start);
    schedule.expire(10s, start + 11s);
    EXPECT_TRUE(schedule.isDue("relay", start + 11s));
    EXPECT_EQ(schedule.reportsKnownBy("relay", start + 11s), 0U);
}

} // namespace
} // namespace bergamot
