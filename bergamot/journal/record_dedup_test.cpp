#include "bergamot/journal/record_dedup.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

StoredRecord makeRecord(Offset offset, const std::string &writer, std::uint64_t incarnation, std::uint64_t sequence)
{
    return {offset, {{writer, incarnation, sequence}, "k", "{}"}};
}

TEST(RecordDedup, admitsFirstCopiesOnly)
{
    RecordDedup dedup;
    EXPECT_TRUE(dedup.admit(makeRecord(1, "a", 1, 1)));
    EXPECT_TRUE(dedup.admit(makeRecord(2, "b", 1, 1)));
    EXPECT_TRUE(dedup.admit(makeRecord(3, "a", 2, 1)));
    EXPECT_FALSE(dedup.admit(makeRecord(4, "a", 1, 1)));
    EXPECT_TRUE(dedup.admit(makeRecord(5, "a", 1, 4)));
    EXPECT_FALSE(dedup.admit(makeRecord(6, "a", 1, 4)));
}

TEST(RecordDedup, dropsACopyThatFollowsLaterRecordsOfItsWriter)
{
    RecordDedup dedup;
    EXPECT_TRUE(dedup.admit(makeRecord(1, "a", 1, 5)));
    EXPECT_TRUE(dedup.admit(makeRecord(2, "a", 1, 7)));
    EXPECT_FALSE(dedup.admit(makeRecord(3, "a", 1, 5)));
    EXPECT_FALSE(dedup.admit(makeRecord(4, "a", 1, 6)));
    EXPECT_TRUE(dedup.admit(makeRecord(5, "a", 1, 8)));
}

TEST(RecordDedup, isBoundedAndEvictsTheLeastRecentlyActiveWriter)
{
    RecordDedup dedup;
    dedup.admit(makeRecord(1, "inactive", 1, 1));
    dedup.admit(makeRecord(2, "active", 1, 1));
    for (std::uint64_t i = 0; i < RecordDedup::MaxIncarnations; ++i) {
        dedup.admit(makeRecord(3 + 2 * i, "w", i, 1));
        dedup.admit(makeRecord(4 + 2 * i, "active", 1, 2 + i));
    }
    EXPECT_FALSE(dedup.admit(makeRecord(9999, "active", 1, 1)));
    EXPECT_EQ(dedup.toJson().size(), RecordDedup::MaxIncarnations);
    EXPECT_TRUE(dedup.admit(makeRecord(10000, "inactive", 1, 1)));
}

TEST(RecordDedup, restoresItsOwnJson)
{
    RecordDedup dedup;
    dedup.admit(makeRecord(1, "a", 1, 5));
    dedup.admit(makeRecord(2, "b", 3, 9));
    RecordDedup restored;
    ASSERT_TRUE(restored.restore(dedup.toJson()));
    EXPECT_EQ(restored, dedup);
    EXPECT_FALSE(restored.restore(web::json::value::string("x")));
    EXPECT_EQ(restored, dedup);
}

} // namespace
} // namespace bergamot
