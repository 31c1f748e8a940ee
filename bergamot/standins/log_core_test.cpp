#include "bergamot/standins/log_core.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

const TimePoint Start{1h};

std::vector<Record> batch(std::size_t size, std::uint64_t firstSequence = 1)
{
    std::vector<Record> records;
    for (std::size_t i = 0; i < size; ++i) {
        records.push_back({{"writer", 1, firstSequence + i}, "kind", "{}"});
    }
    return records;
}

std::optional<ErrorCode> codeOf(const auto &answer)
{
    return answer.result ? std::nullopt : std::optional(answer.result.error().code);
}

TEST(LogCore, numbersEachStreamFromOneWithoutGaps)
{
    LogCore log;
    EXPECT_EQ(log.append("a", batch(3), Start).result, 1U);
    EXPECT_EQ(log.append("a", batch(2), Start).result, 4U);
    EXPECT_EQ(log.append("b", batch(1), Start).result, 1U);
    const LogPage page = log.read("a", 2, 3, Start).result.value();
    ASSERT_EQ(page.records.size(), 3U);
    EXPECT_EQ(page.records.front().offset, 2U);
    EXPECT_EQ(page.records.back().offset, 4U);
    EXPECT_EQ(page.end, 6U);
    EXPECT_TRUE(log.read("a", 6, 10, Start).result.value().records.empty());
}

struct RetentionCase
{
    LogCoreOptions options;
    Duration age;
    Offset firstRetained;
};

class Retention : public testing::TestWithParam<RetentionCase>
{ };

TEST_P(Retention, dropsTheOldestAndSaysSo)
{
    LogCore log(GetParam().options);
    log.append("a", batch(4), Start);
    log.append("a", batch(4, 5), Start + 5s);
    const TimePoint now = Start + GetParam().age;
    const LogPage page = log.read("a", GetParam().firstRetained, 100, now).result.value();
    EXPECT_EQ(page.firstRetained, GetParam().firstRetained);
    EXPECT_EQ(page.records.size(), 9 - GetParam().firstRetained);
    EXPECT_EQ(codeOf(log.read("a", GetParam().firstRetained - 1, 100, now)), ErrorCode::Expired);
    EXPECT_EQ(log.append("a", batch(1), now).result, 9U) << "offsets go on";
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Retention,
                         testing::Values(RetentionCase{{}, 5s, 1},
                                         RetentionCase{{.retainedRecords = 3}, 5s, 6},
                                         RetentionCase{{.retainedFor = 10s}, 10s, 1},
                                         RetentionCase{{.retainedFor = 10s}, 11s, 5},
                                         RetentionCase{{.retainedFor = 10s}, 1h, 9}));

TEST(LogCore, limitsAppendsASecondWhateverTheirSize)
{
    LogCore log({.appendsPerSecond = 10});
    for (int i = 0; i < 10; ++i) {
        ASSERT_TRUE(log.append("a", batch(100), Start).result) << i;
    }
    const Answer<Offset> refused = log.append("a", batch(1), Start);
    ASSERT_EQ(codeOf(refused), ErrorCode::Overloaded);
    EXPECT_EQ(refused.result.error().retryAfter, 100ms);
    EXPECT_EQ(log.appendCount(), 10U);
    EXPECT_TRUE(log.append("a", batch(1), Start + 100ms).result);
    EXPECT_FALSE(log.append("a", batch(1), Start + 100ms).result);
}

TEST(LogCore, refusesABatchThatIsEmptyOrTooLarge)
{
    LogCore log({.recordsPerAppend = 2});
    EXPECT_EQ(codeOf(log.append("a", {}, Start)), ErrorCode::InvalidArgument);
    EXPECT_EQ(codeOf(log.append("a", batch(3), Start)), ErrorCode::InvalidArgument);
    EXPECT_TRUE(log.records("a").empty());
}

struct FaultCase
{
    FaultCommand command;
    std::optional<ErrorCode> appendError;
    AnswerFate fate;
    Duration delay;
    std::size_t kept; // records after one append
};

class LogFaults : public testing::TestWithParam<FaultCase>
{ };

TEST_P(LogFaults, showOnAnAppend)
{
    LogCore log;
    ASSERT_TRUE(log.apply(GetParam().command));
    const Answer<Offset> answer = log.append("a", batch(1), Start);
    EXPECT_EQ(codeOf(answer), GetParam().appendError);
    EXPECT_EQ(answer.fate, GetParam().fate);
    EXPECT_EQ(answer.delay, GetParam().delay);
    EXPECT_EQ(log.records("a").size(), GetParam().kept);
    ASSERT_TRUE(log.apply({.fault = "clear"}));
    EXPECT_EQ(log.append("a", batch(1), Start).fate, AnswerFate::Whole);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LogFaults,
    testing::Values(FaultCase{{.fault = "out"}, ErrorCode::Unavailable, AnswerFate::Whole, 0s, 0},
                    FaultCase{{.fault = "refuse"}, ErrorCode::Unavailable, AnswerFate::Whole, 0s, 0},
                    FaultCase{{.fault = "close"}, std::nullopt, AnswerFate::Closed, 0s, 1},
                    FaultCase{{.fault = "half"}, std::nullopt, AnswerFate::Half, 0s, 1},
                    FaultCase{{.fault = "silent"}, std::nullopt, AnswerFate::Silent, 0s, 1},
                    FaultCase{{.fault = "delay", .duration = 2s}, std::nullopt, AnswerFate::Whole, 2s, 1},
                    FaultCase{{.fault = "close", .call = "read"}, std::nullopt, AnswerFate::Whole, 0s, 1}));

TEST(FaultTable, namesWhatItDoesNotKnow)
{
    LogCore log;
    EXPECT_NE(log.apply({.fault = "melt"}).error().message.find("melt"), std::string::npos);
    EXPECT_NE(log.apply({.fault = "out", .call = "push"}).error().message.find("append"), std::string::npos);
}

} // namespace
} // namespace bergamot
