#include "bergamot/journal/append_queue.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

/// Drives a queue on a manual clock and stores outcomes by sequence number.
class AppendQueueTest : public testing::Test
{
public:
    void add(const std::string &stream, std::uint64_t sequence)
    {
        queue.add(stream, Record{{"w", 1, sequence}, "k", "{}"}, nullptr, clock.now());
    }

    std::vector<AppendRequest> pollRequests()
    {
        std::vector<AppendRequest> requests = queue.takeRequests(clock.now());
        for (AppendCompletion &completion : queue.takeCompletions()) {
            outcomes[completion.id.sequence] = completion.outcome;
        }
        return requests;
    }

    void answer(const AppendRequest &request, const Result<Offset> &result)
    {
        queue.handleAnswer(request.batch, result, clock.now());
    }

    std::vector<std::uint64_t> sequences(const AppendRequest &request) const
    {
        std::vector<std::uint64_t> numbers;
        numbers.reserve(request.records.size());
        for (const Record &record : request.records) {
            numbers.push_back(record.id.sequence);
        }
        return numbers;
    }

    ManualClock clock;
    AppendQueue queue{AppendQueueOptions{.appendsPerSecond = 10, .burst = 3}};
    std::map<std::uint64_t, Result<Offset>> outcomes;
};

TEST_F(AppendQueueTest, batchesRecordsAddedWhileAnAppendIsInFlight)
{
    add("s", 1);
    const std::vector<AppendRequest> first = pollRequests();
    ASSERT_EQ(first.size(), 1U);
    add("s", 2);
    add("s", 3);
    EXPECT_TRUE(pollRequests().empty());
    answer(first[0], Offset{7});
    const std::vector<AppendRequest> second = pollRequests();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(sequences(second[0]), (std::vector<std::uint64_t>{2, 3}));
    answer(second[0], Offset{8});
    pollRequests();
    EXPECT_EQ(outcomes.at(1), Offset{7});
    EXPECT_EQ(outcomes.at(3), Offset{9});
    EXPECT_EQ(queue.queued(), 0U);
}

TEST_F(AppendQueueTest, limitsAppendRateAndServesStreamsRoundRobin)
{
    for (int i = 0; i < 5; ++i) {
        add("stream" + std::to_string(i), static_cast<std::uint64_t>(i) + 1);
    }
    EXPECT_EQ(pollRequests().size(), 3U);
    EXPECT_EQ(queue.nextWake(clock.now()), clock.now() + 100ms);
    clock.advance(100ms);
    const std::vector<AppendRequest> later = pollRequests();
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later[0].stream, "stream3");
}

TEST_F(AppendQueueTest, resendsTheSameBatchAfterALostAnswer)
{
    add("s", 1);
    const AppendRequest first = pollRequests().at(0);
    add("s", 2);
    answer(first, failure(ErrorCode::Unknown, "lost"));
    EXPECT_TRUE(pollRequests().empty());
    clock.advance(50ms);
    const AppendRequest resent = pollRequests().at(0);
    EXPECT_EQ(resent.records, first.records);
    answer(resent, Offset{4});
    EXPECT_EQ(sequences(pollRequests().at(0)), (std::vector<std::uint64_t>{2}));
    EXPECT_EQ(outcomes.at(1), Offset{4});
}

struct DeadlineCase
{
    std::vector<ErrorCode> answers; // one answer per attempt; the last one repeats
    ErrorCode outcome;
};

class AppendDeadline : public AppendQueueTest, public testing::WithParamInterface<DeadlineCase>
{ };

TEST_P(AppendDeadline, reportsAbsenceOnlyIfNoAttemptMayHaveSucceeded)
{
    add("s", 1);
    std::size_t attempt = 0;
    while (!outcomes.contains(1)) {
        for (const AppendRequest &request : pollRequests()) {
            EXPECT_LE(request.timeout, 1000ms);
            answer(request, failure(GetParam().answers[std::min(attempt, GetParam().answers.size() - 1)], "x"));
            ++attempt;
        }
        clock.advance(10ms);
    }
    ASSERT_FALSE(outcomes.at(1));
    EXPECT_EQ(outcomes.at(1).error().code, GetParam().outcome);
    clock.advance(1h);
    EXPECT_TRUE(pollRequests().empty());
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    AppendDeadline,
    testing::Values(DeadlineCase{{ErrorCode::Unavailable}, ErrorCode::Unavailable},
                    DeadlineCase{{ErrorCode::Overloaded, ErrorCode::Unavailable}, ErrorCode::Unavailable},
                    DeadlineCase{{ErrorCode::Unknown, ErrorCode::Unavailable}, ErrorCode::Unknown},
                    DeadlineCase{{ErrorCode::Unavailable, ErrorCode::DeadlineExceeded}, ErrorCode::Unknown},
                    DeadlineCase{{ErrorCode::InvalidArgument}, ErrorCode::InvalidArgument},
                    DeadlineCase{{ErrorCode::Unknown, ErrorCode::InvalidArgument}, ErrorCode::Unknown}));

TEST_F(AppendQueueTest, rejectsRecordsWhenTheQueueIsFull)
{
    AppendQueue small(AppendQueueOptions{.maxQueuedRecords = 1});
    small.add("s", Record{{"w", 1, 1}, "k", ""}, nullptr, clock.now());
    small.add("s", Record{{"w", 1, 2}, "k", ""}, nullptr, clock.now());
    const std::vector<AppendCompletion> completions = small.takeCompletions();
    ASSERT_EQ(completions.size(), 1U);
    EXPECT_EQ(completions[0].outcome.error().code, ErrorCode::Overloaded);
}

} // namespace
} // namespace bergamot
