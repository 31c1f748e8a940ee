#include "bergamot/logstore/topic_tail.h"

#include <gtest/gtest.h>

#include "bergamot/logstore/fake_log_store.h"

namespace bergamot::logstore
{
namespace
{

using namespace std::chrono_literals;

class TopicTailTest : public testing::Test
{
protected:
    template<typename Condition>
    void runUntil(Condition condition)
    {
        for (int iteration = 0; iteration < 5000 && !condition(); ++iteration) {
            m_loop.run_one_for(20ms);
        }
        ASSERT_TRUE(condition());
    }

    TopicTailEvents events()
    {
        return {.onRecord =
                    [this](std::uint64_t offset, const std::string &record) {
                        m_records.emplace_back(offset, record);
                        m_appendedAfter.push_back(m_tail.recordsAppendedAfter());
                    },
                .onGap =
                    [this](std::uint64_t first) {
                        m_gaps.push_back(first);
                    },
                .onUnavailable =
                    [this](const TailOutage &outage) {
                        ++m_outages;
                        m_lastOutage = outage;
                    },
                .onRecovered =
                    [this](Duration) {
                        ++m_recoveries;
                    }};
    }

    boost::asio::io_context m_loop;
    MemoryLog m_log;
    FakeLogStore m_store{m_loop, m_log};
    TopicTail m_tail{
        m_loop,
        m_store,
        {.topic = "t",
         .reads = {.readPause = 1ms, .unavailableAfter = 30ms, .backoff = {.initial = 5ms, .maximum = 5ms}}},
        events(),
        1};
    std::vector<std::pair<std::uint64_t, std::string>> m_records;
    std::vector<TimePoint> m_appendedAfter; // the lower bound of the time of each record
    std::vector<std::uint64_t> m_gaps;
    TailOutage m_lastOutage;
    int m_outages = 0;
    int m_recoveries = 0;
};

TEST_F(TopicTailTest, RecordsAreDeliveredOnceAndInOrder)
{
    m_log.append({.topic = "t", .records = {"a", "b"}});
    m_tail.start(0);
    runUntil([this] {
        return m_tail.caughtUp();
    });
    m_log.append({.topic = "t", .records = {"c"}});
    runUntil([this] {
        return m_records.size() == 3;
    });
    m_loop.run_for(30ms);
    EXPECT_EQ(m_records, (std::vector<std::pair<std::uint64_t, std::string>>{{0, "a"}, {1, "b"}, {2, "c"}}));
}

// A record that was appended before a read may arrive with that read's response, however late.
TEST_F(TopicTailTest, RecordsAreNotTakenForYoungerThanTheyAre)
{
    m_log.append({.topic = "t", .records = {"before the start"}});
    m_tail.start(0);
    runUntil([this] {
        return m_tail.caughtUp();
    });
    EXPECT_EQ(m_appendedAfter, (std::vector<TimePoint>{TimePoint()}));
    m_store.faults.down = true;
    m_loop.run_for(20ms);
    const TimePoint appendedAt = BootClock::now();
    m_log.append({.topic = "t", .records = {"in the outage"}});
    m_loop.run_for(20ms);
    m_store.faults.down = false;
    runUntil([this] {
        return m_records.size() == 2;
    });
    EXPECT_LE(m_appendedAfter.back(), appendedAt);
    EXPECT_GT(m_appendedAfter.back(), TimePoint());
}

TEST_F(TopicTailTest, OutageIsReportedAndNoRecordIsMissed)
{
    m_tail.start(0);
    m_store.faults.down = true;
    runUntil([this] {
        return m_outages == 1;
    });
    EXPECT_TRUE(m_tail.unavailable());
    EXPECT_EQ(m_lastOutage.nextOffset, 0U);
    EXPECT_GT(m_lastOutage.tries, 0U);
    m_log.append({.topic = "t", .records = {"a"}});
    m_store.faults.down = false;
    runUntil([this] {
        return m_records.size() == 1;
    });
    EXPECT_EQ(m_recoveries, 1);
    EXPECT_FALSE(m_tail.unavailable());
}

TEST_F(TopicTailTest, TrimmedRecordsAreReportedAsGap)
{
    m_log.append({.topic = "t", .records = {"a", "b", "c"}});
    m_log.trim("t", 0, 2);
    m_tail.start(0);
    runUntil([this] {
        return m_records.size() == 1;
    });
    EXPECT_EQ(m_gaps, (std::vector<std::uint64_t>{2}));
    EXPECT_EQ(m_records[0].first, 2U);
}

} // namespace
} // namespace bergamot::logstore
