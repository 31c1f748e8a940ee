#include "bergamot/membership/log_tail.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

class NumberFold final : public StreamFold
{
public:
    void apply(const StoredRecord &stored) override
    {
        m_applied = stored.offset;
    }
    Offset applied() const override
    {
        return m_applied;
    }
    std::string checkpoint() const override
    {
        return "state";
    }
    Result<void> restore(const std::string &, Offset offset) override
    {
        m_applied = offset;
        return {};
    }

private:
    Offset m_applied = 0;
};

class LogTailTest : public testing::Test
{
protected:
    static StoredRecord record(Offset offset, std::string kind = "k", std::string payload = "{}")
    {
        return {offset, {{"w", 1, offset}, std::move(kind), std::move(payload)}};
    }

    NumberFold m_fold;
    StreamReplica m_replica{"s", m_fold};
    LogTail m_tail{m_replica, {}, 0s};
    TimePoint m_now{1h};
};

TEST_F(LogTailTest, readsWithoutDelayUntilTheEndAndThenPeriodically)
{
    ASSERT_EQ(m_tail.nextRead(m_now)->from, 1U);
    EXPECT_FALSE(m_tail.nextRead(m_now)) << "one read at a time";
    m_tail.pageRead(LogPage{{record(1), record(2)}, 1, 4}, m_now);
    EXPECT_FALSE(m_tail.isCurrent(m_now));
    ASSERT_EQ(m_tail.nextRead(m_now)->from, 3U);
    m_tail.pageRead(LogPage{{record(3)}, 1, 4}, m_now);
    EXPECT_TRUE(m_tail.isCurrent(m_now));
    EXPECT_FALSE(m_tail.nextRead(m_now));
    EXPECT_TRUE(m_tail.nextRead(m_now + 500ms));
    EXPECT_FALSE(m_tail.isCurrent(m_now + 11s));
}

TEST_F(LogTailTest, readsLessOftenWhileTheLogIsUnavailable)
{
    int reads = 0;
    for (Duration passed = 0s; passed < 60s; passed += 100ms) {
        if (m_tail.nextRead(m_now + passed)) {
            ++reads;
            m_tail.pageRead(failure(ErrorCode::Unavailable, "unavailable"), m_now + passed);
        }
    }
    EXPECT_LE(reads, 33);
    EXPECT_GE(reads, 29) << "the end of an outage must be noticed within 2 s";
}

TEST_F(LogTailTest, aReadWithoutAnswerTimesOut)
{
    ASSERT_TRUE(m_tail.nextRead(m_now));
    EXPECT_FALSE(m_tail.nextRead(m_now + 2s));
    m_tail.nextRead(m_now + 3s);
    EXPECT_TRUE(m_tail.nextRead(m_now + 4s));
}

TEST_F(LogTailTest, withoutACheckpointItContinuesAfterAPeerSuppliedOne)
{
    m_tail.nextRead(m_now);
    m_tail.pageRead(failure(ErrorCode::Expired, "expired"), m_now);
    m_tail.nextRead(m_now);
    m_tail.pageRead(LogPage{{}, 10, 11}, m_now);
    ASSERT_EQ(m_tail.nextRead(m_now)->from, 10U);
    m_tail.pageRead(LogPage{{record(10)}, 10, 11}, m_now);
    EXPECT_EQ(m_replica.applied(), 0U);
    EXPECT_FALSE(m_tail.nextRead(m_now));
    ASSERT_TRUE(m_replica.restore("from a peer", 10));
    ASSERT_EQ(m_tail.nextRead(m_now + 1s)->from, 11U);
    m_tail.pageRead(LogPage{{}, 10, 11}, m_now + 1s);
    EXPECT_TRUE(m_tail.isCurrent(m_now + 1s));
}

TEST_F(LogTailTest, checkpointIsDueOncePerPeriodUnlessAnotherInstanceAppendedOne)
{
    m_tail.nextRead(m_now);
    m_tail.pageRead(LogPage{{record(1)}, 1, 2}, m_now);
    EXPECT_FALSE(m_tail.dueCheckpointPart(m_now));
    const TimePoint later = m_now + 5min;
    m_tail.nextRead(later);
    m_tail.pageRead(LogPage{{}, 1, 2}, later);
    ASSERT_TRUE(m_tail.dueCheckpointPart(later));
    EXPECT_FALSE(m_tail.dueCheckpointPart(later));
    m_tail.nextRead(later + 1s);
    const std::string payload = checkpointPayloads({1, "state"}).front();
    m_tail.pageRead(LogPage{{record(2, std::string(CheckpointKind), payload)}, 1, 3}, later + 4min);
    EXPECT_FALSE(m_tail.dueCheckpointPart(later + 4min));
    m_tail.nextRead(later + 5min);
    m_tail.pageRead(LogPage{{}, 1, 3}, later + 5min);
    EXPECT_FALSE(m_tail.dueCheckpointPart(later + 5min)) << "another one was seen a minute ago";
}

} // namespace
} // namespace bergamot
