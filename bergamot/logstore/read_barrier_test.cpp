#include "bergamot/logstore/read_barrier.h"

#include <gtest/gtest.h>

namespace bergamot::logstore
{
namespace
{

using namespace std::chrono_literals;

class ReadBarrierTest : public testing::Test
{
protected:
    /// The read that is due; fails the test if there is none.
    ReadBarrier::ReadId beginRead()
    {
        const std::optional<ReadBarrier::ReadId> read = m_barrier.beginRead(m_now);
        EXPECT_TRUE(read);
        return read.value_or(0);
    }

    /// The outcome of the only question that is decided; nothing if none is.
    std::optional<bool> outcome(std::uint64_t nextOffset)
    {
        const std::vector<BarrierOutcome> outcomes = m_barrier.takeOutcomes(nextOffset, m_now);
        EXPECT_LE(outcomes.size(), 1U);
        return outcomes.empty() ? std::nullopt : std::optional(outcomes.front().confirmed);
    }

    TimePoint m_now{1h};
    ReadBarrier m_barrier;
};

struct OutcomeCase
{
    const char *name;
    std::optional<std::uint64_t> end; // named by the read; nothing: the read fails
    std::uint64_t nextOffset; // of the view
    Duration elapsed;
    std::optional<bool> outcome;
};

class OutcomeTest : public ReadBarrierTest, public testing::WithParamInterface<OutcomeCase>
{ };

TEST_P(OutcomeTest, FollowsTheEndThatWasReadAfterTheQuestion)
{
    m_barrier.ask(m_now);
    const ReadBarrier::ReadId read = beginRead();
    if (GetParam().end) {
        m_barrier.onEnd(read, *GetParam().end);
    } else {
        m_barrier.onReadFailed(read);
    }
    m_now += GetParam().elapsed;
    EXPECT_EQ(outcome(GetParam().nextOffset), GetParam().outcome);
}

INSTANTIATE_TEST_SUITE_P(Views,
                         OutcomeTest,
                         testing::Values(OutcomeCase{"AtTheEnd", 10, 10, 4ms, true},
                                         OutcomeCase{"PastTheEnd", 10, 12, 4ms, true},
                                         OutcomeCase{"Behind", 10, 9, 4ms, std::nullopt},
                                         OutcomeCase{"BehindForTooLong", 10, 9, 1000ms, false},
                                         OutcomeCase{"AtTheEndLate", 10, 10, 1000ms, true},
                                         OutcomeCase{"ReadFailed", std::nullopt, 10, 4ms, false}),
                         [](const auto &test) {
                             return test.param.name;
                         });

// A long poll that was sent before the acceptance of a batch is answered after it, with the state before.
TEST_F(ReadBarrierTest, AReadThatWasSentBeforeTheQuestionDecidesNothing)
{
    m_barrier.ask(m_now);
    const ReadBarrier::ReadId first = beginRead();
    m_barrier.ask(m_now);
    m_barrier.onEnd(first, 10);
    EXPECT_EQ(outcome(10), true);
    EXPECT_EQ(outcome(10), std::nullopt) << "the second question was decided by the first read";
    m_now += 50ms;
    m_barrier.onEnd(beginRead(), 11);
    EXPECT_EQ(outcome(10), std::nullopt);
    EXPECT_EQ(outcome(11), true);
}

TEST_F(ReadBarrierTest, ALateReadDoesNotHoldUpLaterQuestions)
{
    m_barrier.ask(m_now);
    const ReadBarrier::ReadId late = beginRead();
    m_now += 500ms;
    m_barrier.ask(m_now);
    m_barrier.onEnd(beginRead(), 10);
    EXPECT_EQ(outcome(10), true);
    m_now += 400ms;
    m_barrier.onEnd(late, 10);
    EXPECT_EQ(outcome(10), true);
}

TEST_F(ReadBarrierTest, AFloodOfQuestionsCostsFewReads)
{
    constexpr int Questions = 1000; // one each millisecond
    int reads = 0;
    for (int question = 0; question < Questions; ++question) {
        m_now += 1ms;
        m_barrier.ask(m_now);
        if (const std::optional<ReadBarrier::ReadId> read = m_barrier.beginRead(m_now)) {
            ++reads;
            m_barrier.onEnd(*read, 5);
        }
        m_barrier.takeOutcomes(5, m_now);
    }
    EXPECT_LE(reads, 20);
    m_now += 50ms;
    m_barrier.onEnd(beginRead(), 5);
    m_barrier.takeOutcomes(5, m_now);
    m_now += 50ms;
    EXPECT_FALSE(m_barrier.beginRead(m_now)) << "nobody asks";
}

TEST_F(ReadBarrierTest, AQuestionFailsAtItsDeadlineWithoutARead)
{
    m_barrier.ask(m_now);
    const ReadBarrier::ReadId read = beginRead();
    m_now += 999ms;
    EXPECT_EQ(outcome(10), std::nullopt);
    m_now += 1ms;
    EXPECT_EQ(outcome(10), false);
    m_barrier.onEnd(read, 10);
    EXPECT_EQ(outcome(10), std::nullopt) << "two outcomes for one question";
}

} // namespace
} // namespace bergamot::logstore
