#include "bergamot/journal/record_dedup.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

StoredRecord stored(Offset offset, const std::string &writer, std::uint64_t incarnation, std::uint64_t sequence)
{
    return {offset, {{writer, incarnation, sequence}, "k", "{}"}};
}

TEST(RecordDedup, admitsFirstCopiesOnly)
{
    RecordDedup dedup;
    EXPECT_TRUE(dedup.admit(stored(1, "a", 1, 1)));
    EXPECT_TRUE(dedup.admit(stored(2, "b", 1, 1)));
    EXPECT_TRUE(dedup.admit(stored(3, "a", 2, 1)));
    EXPECT_FALSE(dedup.admit(stored(4, "a", 1, 1)));
    EXPECT_TRUE(dedup.admit(stored(5, "a", 1, 4)));
    EXPECT_FALSE(dedup.admit(stored(6, "a", 1, 4)));
}

TEST(RecordDedup, dropsACopyThatLandsAfterLaterRecordsOfItsWriter)
{
    RecordDedup dedup;
    EXPECT_TRUE(dedup.admit(stored(1, "a", 1, 5)));
    EXPECT_TRUE(dedup.admit(stored(2, "a", 1, 7)));
    EXPECT_FALSE(dedup.admit(stored(3, "a", 1, 5)));
    EXPECT_FALSE(dedup.admit(stored(4, "a", 1, 6)));
    EXPECT_TRUE(dedup.admit(stored(5, "a", 1, 8)));
}

TEST(RecordDedup, isBoundedAndForgetsTheWriterThatIsSilentForLongest)
{
    RecordDedup dedup;
    dedup.admit(stored(1, "old", 1, 1));
    dedup.admit(stored(2, "live", 1, 1));
    for (std::uint64_t i = 0; i < RecordDedup::MaxIncarnations; ++i) {
        dedup.admit(stored(3 + 2 * i, "w", i, 1));
        dedup.admit(stored(4 + 2 * i, "live", 1, 2 + i));
    }
    EXPECT_FALSE(dedup.admit(stored(9999, "live", 1, 1)));
    EXPECT_EQ(dedup.toJson().size(), RecordDedup::MaxIncarnations);
    EXPECT_TRUE(dedup.admit(stored(10000, "old", 1, 1)));
}

TEST(RecordDedup, restoresWhatItWrote)
{
    RecordDedup dedup;
    dedup.admit(stored(1, "a", 1, 5));
    dedup.admit(stored(2, "b", 3, 9));
    RecordDedup restored;
    ASSERT_TRUE(restored.restore(dedup.toJson()));
    EXPECT_EQ(restored, dedup);
    EXPECT_FALSE(restored.restore(web::json::value::string("x")));
    EXPECT_EQ(restored, dedup);
}

} // namespace
} // namespace bergamot
