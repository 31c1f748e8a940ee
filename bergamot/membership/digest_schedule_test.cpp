#include <gtest/gtest.h>

#include "bergamot/membership/digest_schedule.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

constexpr Duration Period = 1s;
constexpr Duration LateAfter = 500ms;
constexpr std::uint64_t ReportTick = 7;

/// An event after a digest was sent, and the expected schedule at the time `later` after sending.
struct ScheduleCase
{
    std::string name;
    std::function<void(DigestSchedule &schedule)> event;
    Duration later;
    bool isDue;
    bool isLate;
    std::uint64_t acknowledgedTick;
};

void nothing(DigestSchedule &)
{ }

void answered(DigestSchedule &schedule)
{
    schedule.recordAnswer("relay");
}

void failed(DigestSchedule &schedule)
{
    schedule.recordFailure("relay");
}

void madeDue(DigestSchedule &schedule)
{
    schedule.makeDue("relay");
}

void answeredAndAllMadeDue(DigestSchedule &schedule)
{
    schedule.recordAnswer("relay");
    schedule.makeAllDue();
}

void answeredAndFailedLater(DigestSchedule &schedule)
{
    schedule.recordAnswer("relay");
    schedule.recordFailure("relay");
}

class DigestScheduleTable : public testing::TestWithParam<ScheduleCase>
{ };

TEST_P(DigestScheduleTable, afterADigest)
{
    const TimePoint start{std::chrono::hours(1)};
    DigestSchedule schedule;
    EXPECT_TRUE(schedule.isDue("relay", start));
    schedule.acknowledgedReportTick("relay", start);
    schedule.recordSent("relay", ReportTick, Period, start);
    GetParam().event(schedule);
    const TimePoint now = start + GetParam().later;
    EXPECT_EQ(schedule.isDue("relay", now), GetParam().isDue);
    EXPECT_EQ(schedule.isLate("relay", LateAfter, now), GetParam().isLate);
    EXPECT_EQ(schedule.acknowledgedReportTick("relay", now), GetParam().acknowledgedTick);
    EXPECT_FALSE(schedule.isLate("unknown", LateAfter, now));
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    DigestScheduleTable,
    testing::Values(ScheduleCase{"inFlight", nothing, 499ms, false, false, 0},
                    ScheduleCase{"inFlightAndLate", nothing, 500ms, false, true, 0},
                    ScheduleCase{"inFlightPastItsPeriod", nothing, 2999ms, false, true, 0},
                    ScheduleCase{"timedOut", nothing, 3s, true, true, 0},
                    ScheduleCase{"madeDueInFlight", madeDue, 600ms, false, true, 0},
                    ScheduleCase{"answered", answered, 999ms, false, false, ReportTick},
                    ScheduleCase{"answeredAndDue", answered, 1s, true, false, ReportTick},
                    ScheduleCase{"answeredAndMadeDue", answeredAndAllMadeDue, 1ms, true, false, ReportTick},
                    ScheduleCase{"failedGetsAllReportsAgain", failed, 1s, true, false, 0},
                    ScheduleCase{"failedAfterAnAnswer", answeredAndFailedLater, 999ms, false, false, 0},
                    ScheduleCase{"allReportsAgainAfterRefreshPeriod", answered, 30s, true, false, 0}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

TEST(DigestSchedule, removesPeersWithoutRecentDigests)
{
    const TimePoint start{std::chrono::hours(1)};
    DigestSchedule schedule;
    schedule.recordSent("relay", ReportTick, Period, start);
    schedule.expire(10s, start + 11s);
    EXPECT_TRUE(schedule.isDue("relay", start + 11s));
    EXPECT_EQ(schedule.acknowledgedReportTick("relay", start + 11s), 0U);
}

} // namespace
} // namespace bergamot
