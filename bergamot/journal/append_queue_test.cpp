#include "bergamot/journal/append_queue.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

/// Drives a queue on a manual clock and keeps the outcomes by sequence.
class AppendQueueTest : public testing::Test
{
public:
    void add(const std::string &stream, std::uint64_t sequence)
    {
        queue.add(stream, Record{{"w", 1, sequence}, "k", "{}"}, nullptr, clock.now());
    }

    std::vector<AppendSend> sends()
    {
        std::vector<AppendSend> taken = queue.takeSends(clock.now());
        for (AppendSettled &settled : queue.takeSettled()) {
            outcomes[settled.id.sequence] = settled.outcome;
        }
        return taken;
    }

    void answer(const AppendSend &send, const Result<Offset> &result)
    {
        queue.answered(send.batch, result, clock.now());
    }

    std::vector<std::uint64_t> sequences(const AppendSend &send) const
    {
        std::vector<std::uint64_t> taken;
        taken.reserve(send.records.size());
        for (const Record &record : send.records) {
            taken.push_back(record.id.sequence);
        }
        return taken;
    }

    ManualClock clock;
    AppendQueue queue{AppendQueueOptions{.appendsPerSecond = 10, .burst = 3}};
    std::map<std::uint64_t, Result<Offset>> outcomes;
};

TEST_F(AppendQueueTest, gathersWhatArrivesWhileAnAppendIsInFlight)
{
    add("s", 1);
    const std::vector<AppendSend> first = sends();
    ASSERT_EQ(first.size(), 1U);
    add("s", 2);
    add("s", 3);
    EXPECT_TRUE(sends().empty());
    answer(first[0], Offset{7});
    const std::vector<AppendSend> second = sends();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(sequences(second[0]), (std::vector<std::uint64_t>{2, 3}));
    answer(second[0], Offset{8});
    sends();
    EXPECT_EQ(outcomes.at(1), Offset{7});
    EXPECT_EQ(outcomes.at(3), Offset{9});
    EXPECT_EQ(queue.queued(), 0U);
}

TEST_F(AppendQueueTest, keepsToTheBudgetAndServesStreamsInTurn)
{
    for (int i = 0; i < 5; ++i) {
        add("stream" + std::to_string(i), static_cast<std::uint64_t>(i) + 1);
    }
    EXPECT_EQ(sends().size(), 3U);
    EXPECT_EQ(queue.nextWake(clock.now()), clock.now() + 100ms);
    clock.advance(100ms);
    const std::vector<AppendSend> later = sends();
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later[0].stream, "stream3");
}

TEST_F(AppendQueueTest, sendsTheSameBatchAgainAfterALostAnswer)
{
    add("s", 1);
    const AppendSend first = sends().at(0);
    add("s", 2);
    answer(first, failure(ErrorCode::Unknown, "lost"));
    EXPECT_TRUE(sends().empty());
    clock.advance(50ms);
    const AppendSend again = sends().at(0);
    EXPECT_EQ(again.records, first.records);
    answer(again, Offset{4});
    EXPECT_EQ(sequences(sends().at(0)), (std::vector<std::uint64_t>{2}));
    EXPECT_EQ(outcomes.at(1), Offset{4});
}

struct LimitCase
{
    std::vector<ErrorCode> answers; // of one attempt each; the last one repeats
    ErrorCode outcome;
};

class AppendLimit : public AppendQueueTest, public testing::WithParamInterface<LimitCase>
{ };

TEST_P(AppendLimit, givesUpWithTheOutcomeThatIsProved)
{
    add("s", 1);
    std::size_t attempt = 0;
    while (!outcomes.contains(1)) {
        for (const AppendSend &send : sends()) {
            EXPECT_LE(send.timeout, 1000ms);
            answer(send, failure(GetParam().answers[std::min(attempt, GetParam().answers.size() - 1)], "x"));
            ++attempt;
        }
        clock.advance(10ms);
    }
    ASSERT_FALSE(outcomes.at(1));
    EXPECT_EQ(outcomes.at(1).error().code, GetParam().outcome);
    clock.advance(1h);
    EXPECT_TRUE(sends().empty());
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    AppendLimit,
    testing::Values(LimitCase{{ErrorCode::Unavailable}, ErrorCode::Unavailable},
                    LimitCase{{ErrorCode::Overloaded, ErrorCode::Unavailable}, ErrorCode::Unavailable},
                    LimitCase{{ErrorCode::Unknown, ErrorCode::Unavailable}, ErrorCode::Unknown},
                    LimitCase{{ErrorCode::Unavailable, ErrorCode::DeadlineExceeded}, ErrorCode::Unknown},
                    LimitCase{{ErrorCode::InvalidArgument}, ErrorCode::InvalidArgument},
                    LimitCase{{ErrorCode::Unknown, ErrorCode::InvalidArgument}, ErrorCode::Unknown}));

TEST_F(AppendQueueTest, refusesWhatWouldOverfillTheQueue)
{
    AppendQueue small(AppendQueueOptions{.maxQueuedRecords = 1});
    small.add("s", Record{{"w", 1, 1}, "k", ""}, nullptr, clock.now());
    small.add("s", Record{{"w", 1, 2}, "k", ""}, nullptr, clock.now());
    const std::vector<AppendSettled> settled = small.takeSettled();
    ASSERT_EQ(settled.size(), 1U);
    EXPECT_EQ(settled[0].outcome.error().code, ErrorCode::Overloaded);
}

} // namespace
} // namespace bergamot
