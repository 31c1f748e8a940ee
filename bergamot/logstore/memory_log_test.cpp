#include "bergamot/logstore/memory_log.h"

#include <gtest/gtest.h>

namespace bergamot::logstore
{
namespace
{

struct AppendCase
{
    const char *name;
    std::optional<std::uint64_t> expectedEnd;
    std::optional<Producer> producer;
    AppendStatus status;
    std::uint64_t offset; // expected if the status is Appended
};

class AppendTest : public testing::TestWithParam<AppendCase>
{
protected:
    AppendTest()
    {
        m_log.append({.topic = "t", .records = {"a", "b"}});
        m_log.append({.topic = "t", .records = {"c"}, .producer = Producer{"p", 5, 7}});
    }

    MemoryLog m_log;
};

TEST_P(AppendTest, StatusDependsOnConditionAndProducer)
{
    const AppendOutcome outcome = m_log.append(
        {.topic = "t", .records = {"d"}, .expectedEnd = GetParam().expectedEnd, .producer = GetParam().producer});
    EXPECT_EQ(outcome.status, GetParam().status);
    if (outcome.status == AppendStatus::Appended) {
        EXPECT_EQ(outcome.offset, GetParam().offset);
    }
    if (outcome.status == AppendStatus::OutOfSequence) {
        EXPECT_EQ(outcome.expectedSequence, 8U);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Appends,
    AppendTest,
    testing::Values(AppendCase{"Plain", std::nullopt, std::nullopt, AppendStatus::Appended, 3},
                    AppendCase{"AtTheEnd", 3, std::nullopt, AppendStatus::Appended, 3},
                    AppendCase{"NotAtTheEnd", 2, std::nullopt, AppendStatus::Conflict, 0},
                    AppendCase{"NextInSequence", std::nullopt, Producer{"p", 5, 8}, AppendStatus::Appended, 3},
                    AppendCase{"Repeated", std::nullopt, Producer{"p", 5, 7}, AppendStatus::Appended, 2},
                    AppendCase{"Gap", std::nullopt, Producer{"p", 5, 10}, AppendStatus::OutOfSequence, 0},
                    AppendCase{"LowerEpoch", std::nullopt, Producer{"p", 4, 8}, AppendStatus::Fenced, 0},
                    AppendCase{"HigherEpoch", std::nullopt, Producer{"p", 6, 0}, AppendStatus::Appended, 3},
                    AppendCase{"OtherProducer", std::nullopt, Producer{"q", 1, 0}, AppendStatus::Appended, 3}),
    [](const auto &test) {
        return test.param.name;
    });

TEST(MemoryLogTest, TrimmedReadFailsAndNewestValuesRemain)
{
    MemoryLog log;
    log.put("keyed.k", "x", "1");
    log.put("keyed.k", "x", "2");
    log.put("keyed.k", "y", "3");
    log.put("keyed.k", "y", "");
    log.trim("keyed.k", 0, 2);
    EXPECT_EQ(log.read("keyed.k", 0, 1, 1024).status, ReadStatus::Trimmed);
    EXPECT_EQ(log.read("keyed.k", 0, 2, 1024).records.size(), 2U);
    const ReadNewestOutcome newest = log.readNewest("keyed.k");
    ASSERT_EQ(newest.records.size(), 1U);
    EXPECT_EQ(newest.records[0].value, "2");
    EXPECT_EQ(newest.end, 4U);
}

} // namespace
} // namespace bergamot::logstore
