#include "bergamot/batch/batch_index.h"

#include <gtest/gtest.h>

namespace bergamot::batch
{
namespace
{

using namespace std::chrono_literals;

class BatchIndexTest : public testing::Test
{
protected:
    BatchChange apply(const std::string &bytes)
    {
        return m_index.apply(*parseRecord(bytes), m_now);
    }

    static std::string accepted(std::uint32_t partition)
    {
        Batch batch{.id = "b", .host = "h", .model = "m", .minVersion = 3};
        batch.items.resize(3);
        return batchAcceptedRecord(batch, partition, {40, 41});
    }

    BatchIndex m_index;
    TimePoint m_now{1h};
};

TEST_F(BatchIndexTest, TheFirstAcceptanceOfABatchCounts)
{
    EXPECT_EQ(apply(accepted(1)), BatchChange::Accepted);
    EXPECT_EQ(apply(accepted(2)), BatchChange::Nothing);
    const BatchEntry *entry = m_index.find("b");
    ASSERT_NE(entry, nullptr);
    EXPECT_EQ(entry->partition, 1U);
    EXPECT_EQ(entry->totalItems, 3U);
    EXPECT_EQ(entry->minVersion, 3U);
    EXPECT_EQ(entry->parts, (std::vector<std::uint64_t>{40, 41}));
}

struct CommitCase
{
    const char *name;
    const char *batch;
    std::uint32_t item;
    BatchChange change;
};

class CommitTest : public BatchIndexTest, public testing::WithParamInterface<CommitCase>
{ };

TEST_P(CommitTest, TheFirstResultOfAnItemTakesTheNextPosition)
{
    apply(accepted(1));
    apply(resultCommittedRecord("b", 2, 70));
    EXPECT_EQ(apply(resultCommittedRecord(GetParam().batch, GetParam().item, 71)), GetParam().change);
    const std::vector<ResultLocation> &results = m_index.find("b")->results;
    EXPECT_EQ(results.front().item, 2U);
    EXPECT_EQ(results.front().payload, 70U);
    EXPECT_EQ(results.size(), GetParam().change == BatchChange::ResultCommitted ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(Results,
                         CommitTest,
                         testing::Values(CommitCase{"Another", "b", 0, BatchChange::ResultCommitted},
                                         CommitCase{"SameItem", "b", 2, BatchChange::Nothing},
                                         CommitCase{"NoSuchItem", "b", 3, BatchChange::Nothing},
                                         CommitCase{"NoSuchBatch", "c", 0, BatchChange::Nothing}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST_F(BatchIndexTest, ProgressIsKeptUntilTheItemHasItsResult)
{
    apply(accepted(1));
    apply(progressSavedRecord("b", 1, 50));
    apply(progressSavedRecord("b", 1, 52));
    apply(progressSavedRecord("b", 9, 53));
    EXPECT_EQ(m_index.find("b")->savedProgress.at(1), (std::vector<std::uint64_t>{50, 52}));
    EXPECT_EQ(m_index.find("b")->savedProgress.size(), 1U);
    apply(resultCommittedRecord("b", 1, 60));
    apply(progressSavedRecord("b", 1, 61));
    EXPECT_TRUE(m_index.find("b")->savedProgress.empty());
}

TEST_F(BatchIndexTest, AnEndCountsOnceAndResultsStayReadable)
{
    apply(accepted(1));
    apply(resultCommittedRecord("b", 0, 70));
    EXPECT_EQ(apply(batchEndRecord("b")), BatchChange::Ended);
    EXPECT_EQ(apply(batchEndRecord("b")), BatchChange::Nothing);
    EXPECT_EQ(apply(batchEndRecord("c")), BatchChange::Nothing);
    m_index.expire(m_now + 119s);
    ASSERT_NE(m_index.find("b"), nullptr);
    EXPECT_EQ(m_index.find("b")->results.size(), 1U);
    m_index.expire(m_now + 121s);
    EXPECT_EQ(m_index.find("b"), nullptr);
}

} // namespace
} // namespace bergamot::batch
