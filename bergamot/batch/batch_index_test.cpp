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
        return m_index.apply(m_offset++, *parseRecord(bytes), m_now);
    }

    std::vector<std::string> submission(std::uint64_t number)
    {
        Batch batch{.id = "b"};
        for (const char *id : {"i0", "i1", "i2"}) {
            batch.items.push_back({.id = id, .path = "/p", .body = std::string(600, 'x')});
        }
        return *acceptanceRecords(batch, number, {.recordBytes = 2048});
    }

    BatchIndex m_index;
    std::uint64_t m_offset = 100;
    TimePoint m_now{1h};
};

TEST_F(BatchIndexTest, ABatchCountsOnceItsLastPartIsThere)
{
    const std::vector<std::string> parts = submission(1);
    ASSERT_GT(parts.size(), 1U);
    for (std::size_t part = 0; part + 1 < parts.size(); ++part) {
        EXPECT_EQ(apply(parts[part]), BatchChange::Nothing);
        EXPECT_EQ(m_index.find("b"), nullptr);
    }
    EXPECT_EQ(apply(parts.back()), BatchChange::Accepted);
    EXPECT_EQ(m_index.find("b")->totalItems, 3U);
    EXPECT_EQ(m_index.find("b")->partOffsets.size(), parts.size());
}

TEST_F(BatchIndexTest, ASecondSubmissionOfABatchChangesNothing)
{
    for (const std::string &part : submission(1)) {
        apply(part);
    }
    const std::vector<std::uint64_t> offsets = m_index.find("b")->partOffsets;
    for (const std::string &part : submission(2)) {
        EXPECT_EQ(apply(part), BatchChange::Nothing);
    }
    EXPECT_EQ(m_index.find("b")->partOffsets, offsets);
}

TEST_F(BatchIndexTest, PartsOfTwoSubmissionsAreNotMixed)
{
    const std::vector<std::string> first = submission(1);
    const std::vector<std::string> second = submission(2);
    apply(first.front());
    for (std::size_t part = 1; part < second.size(); ++part) {
        EXPECT_EQ(apply(second[part]), BatchChange::Nothing);
    }
    EXPECT_EQ(apply(second.front()), BatchChange::Accepted);
}

TEST_F(BatchIndexTest, TheFirstResultOfAnItemTakesItsPosition)
{
    for (const std::string &part : submission(1)) {
        apply(part);
    }
    const std::uint64_t offset = m_offset;
    EXPECT_EQ(apply(resultRecord({.batch = "b", .item = 2, .id = "i2"})), BatchChange::ResultListed);
    EXPECT_EQ(apply(resultRecord({.batch = "b", .item = 2, .id = "i2", .completed = true})), BatchChange::Nothing);
    EXPECT_EQ(apply(resultRecord({.batch = "b", .item = 0, .id = "i0"})), BatchChange::ResultListed);
    EXPECT_EQ(apply(resultRecord({.batch = "b", .item = 3, .id = "?"})), BatchChange::Nothing);
    EXPECT_EQ(apply(resultRecord({.batch = "other", .item = 0, .id = "?"})), BatchChange::Nothing);
    ASSERT_EQ(m_index.find("b")->results.size(), 2U);
    EXPECT_EQ(m_index.find("b")->results[0].item, 2U);
    EXPECT_EQ(m_index.find("b")->results[0].offset, offset);
}

TEST_F(BatchIndexTest, AnEndCountsOnceAndResultsStayReadable)
{
    for (const std::string &part : submission(1)) {
        apply(part);
    }
    apply(resultRecord({.batch = "b", .item = 0, .id = "i0"}));
    EXPECT_EQ(apply(endRecord("b")), BatchChange::Ended);
    EXPECT_EQ(apply(endRecord("b")), BatchChange::Nothing);
    m_index.expire(m_now + 119s);
    ASSERT_NE(m_index.find("b"), nullptr);
    EXPECT_EQ(m_index.find("b")->results.size(), 1U);
    m_index.expire(m_now + 121s);
    EXPECT_EQ(m_index.find("b"), nullptr);
}

} // namespace
} // namespace bergamot::batch
