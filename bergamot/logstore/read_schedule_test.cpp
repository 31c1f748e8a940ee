#include "bergamot/logstore/read_schedule.h"

#include <gtest/gtest.h>

namespace bergamot::logstore
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t Seed = 5;

class ReadScheduleTest : public testing::Test
{
protected:
    ReadScheduleTest()
    {
        m_schedule.start(10, m_now);
    }

    /// The read that is due after `delay`; fails the test if there is none.
    PlannedRead nextAfter(Duration delay)
    {
        m_now += delay;
        const std::optional<PlannedRead> read = m_schedule.next(m_now);
        EXPECT_TRUE(read);
        EXPECT_FALSE(m_schedule.next(m_now)) << "two reads at once";
        return read.value_or(PlannedRead());
    }

    NewRecords answer(const PlannedRead &read, std::size_t count, std::uint64_t end)
    {
        return m_schedule.onRecords(read.id, read.from, count, end, m_now);
    }

    TimePoint m_now{1h};
    ReadSchedule m_schedule{{}, Seed};
};

struct SizeCase
{
    const char *name;
    Duration took;
    std::uint32_t kilobytes; // of the next read
};

class SizeTest : public ReadScheduleTest, public testing::WithParamInterface<SizeCase>
{ };

TEST_P(SizeTest, FollowsTheDurationOfTheLastResponse)
{
    const PlannedRead first = nextAfter(0ms);
    EXPECT_EQ(first.kilobytes, 64U);
    m_now += GetParam().took;
    answer(first, 5, 100);
    EXPECT_EQ(nextAfter(0ms).kilobytes, GetParam().kilobytes);
}

INSTANTIATE_TEST_SUITE_P(Durations,
                         SizeTest,
                         testing::Values(SizeCase{"Fast", 20ms, 128},
                                         SizeCase{"Moderate", 300ms, 64},
                                         SizeCase{"Slow", 600ms, 32}),
                         [](const auto &test) {
                             return test.param.name;
                         });

// A large record is read by all instances at once: a response arrives long after the state that it shows.
TEST_F(ReadScheduleTest, TheViewIsAsOldAsTheReadThatConfirmedIt)
{
    const PlannedRead first = nextAfter(0ms);
    const TimePoint firstSentAt = m_now;
    m_now += 2000ms;
    answer(first, 5, 15);
    EXPECT_EQ(m_schedule.confirmedAt(), firstSentAt);
    const PlannedRead second = nextAfter(200ms);
    const TimePoint secondSentAt = m_now;
    m_now += 100ms;
    answer(second, 5, 30);
    EXPECT_EQ(m_schedule.confirmedAt(), firstSentAt) << "records are missing";
    const PlannedRead third = nextAfter(0ms);
    answer(third, 10, 30);
    EXPECT_EQ(m_schedule.confirmedAt(), secondSentAt + 100ms);
}

TEST_F(ReadScheduleTest, ALateReadIsHedgedWithASmallOneAndNotGivenUp)
{
    const PlannedRead first = nextAfter(0ms);
    const PlannedRead hedge = nextAfter(700ms);
    EXPECT_TRUE(hedge.hedge);
    EXPECT_EQ(hedge.from, 10U);
    EXPECT_EQ(hedge.kilobytes, 16U);
    m_now += 200ms;
    EXPECT_EQ(answer(first, 50, 100).count, 50U);
    EXPECT_EQ(answer(hedge, 20, 100).count, 0U) << "records were delivered twice";
    EXPECT_EQ(m_schedule.nextOffset(), 60U);
}

TEST_F(ReadScheduleTest, TheLateResponseAddsWhatTheHedgeDidNotReturn)
{
    const PlannedRead first = nextAfter(0ms);
    const PlannedRead hedge = nextAfter(700ms);
    EXPECT_EQ(answer(hedge, 20, 100).count, 20U);
    const NewRecords added = answer(first, 50, 100);
    EXPECT_EQ(added.first, 20U);
    EXPECT_EQ(added.count, 30U);
    EXPECT_EQ(m_schedule.nextOffset(), 60U);
}

TEST_F(ReadScheduleTest, ALongPollIsLateOnlyAfterItsWait)
{
    answer(nextAfter(0ms), 5, 15);
    const PlannedRead poll = nextAfter(200ms);
    EXPECT_EQ(poll.wait, 700ms);
    m_now += 1300ms;
    EXPECT_FALSE(m_schedule.next(m_now));
    EXPECT_TRUE(nextAfter(100ms).hedge);
}

TEST_F(ReadScheduleTest, OutageIsReportedAfterASecondWithoutResponse)
{
    nextAfter(0ms);
    nextAfter(700ms);
    EXPECT_FALSE(m_schedule.unavailable(m_now));
    const PlannedRead last = nextAfter(1000ms);
    EXPECT_TRUE(m_schedule.unavailable(m_now));
    answer(last, 0, 10);
    EXPECT_FALSE(m_schedule.unavailable(m_now));
    EXPECT_TRUE(m_schedule.caughtUp());
}

TEST_F(ReadScheduleTest, RefusedReadsAreRepeatedAfterABoundedDelay)
{
    Duration longest{};
    for (int failure = 0; failure < 20; ++failure) {
        m_schedule.onFailed(nextAfter(0ms).id, m_now);
        const Duration delay = m_schedule.wakeAt() - m_now;
        longest = std::max(longest, delay);
        m_now += delay;
    }
    EXPECT_LE(longest, 800ms);
    EXPECT_GT(longest, 200ms) << "the delay does not grow";
}

TEST_F(ReadScheduleTest, ARecordLargerThanTheReadRaisesItsSize)
{
    std::uint32_t kilobytes = 0;
    for (int read = 0; read < 8 && kilobytes < 300; ++read) {
        const PlannedRead planned = nextAfter(0ms);
        kilobytes = planned.kilobytes;
        answer(planned, kilobytes < 300 ? 0 : 1, 11);
    }
    EXPECT_GE(kilobytes, 300U);
    EXPECT_TRUE(m_schedule.caughtUp());
}

TEST_F(ReadScheduleTest, RestartIgnoresEarlierReads)
{
    const PlannedRead old = nextAfter(0ms);
    m_schedule.start(500, m_now);
    EXPECT_EQ(answer(old, 5, 1000).count, 0U);
    EXPECT_EQ(m_schedule.nextOffset(), 500U);
    EXPECT_EQ(nextAfter(0ms).from, 500U);
}

TEST_F(ReadScheduleTest, DeletedRecordsAreSkippedOnce)
{
    const PlannedRead read = nextAfter(0ms);
    EXPECT_TRUE(m_schedule.onTrimmed(read.id, 40, m_now));
    EXPECT_EQ(nextAfter(0ms).from, 40U);
    EXPECT_FALSE(m_schedule.onTrimmed(read.id, 30, m_now));
    EXPECT_EQ(m_schedule.nextOffset(), 40U);
}

TEST_F(ReadScheduleTest, TimeToCatchUpFollowsTheObservedRate)
{
    EXPECT_FALSE(m_schedule.timeToCatchUp(m_now));
    const PlannedRead read = nextAfter(0ms);
    m_now += 500ms;
    answer(read, 100, 410);
    ASSERT_TRUE(m_schedule.timeToCatchUp(m_now));
    EXPECT_EQ(std::chrono::round<std::chrono::milliseconds>(*m_schedule.timeToCatchUp(m_now)), 1500ms);
}

} // namespace
} // namespace bergamot::logstore
