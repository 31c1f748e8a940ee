#include "bergamot/leases/lease_fold.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

const DutyId Duty("rollout/desk/north");

/// A claim or release of `Duty` in the stream.
struct LeaseRecord
{
    std::string writer;
    std::uint64_t incarnation;
    std::string_view kind;
    Offset supersedes;
};

struct FoldCase
{
    std::vector<LeaseRecord> records; // at offsets 1, 2, 3, ...
    std::string holder;
    FencingNumber fencing;
    Offset latest;
    bool released;
};

LeaseFold foldRecords(const std::vector<LeaseRecord> &records)
{
    LeaseFold fold;
    std::uint64_t sequence = 0;
    for (const LeaseRecord &record : records) {
        const RecordId id{record.writer, record.incarnation, ++sequence};
        fold.apply({fold.applied() + 1, {id, std::string(record.kind), dutiesPayload({{Duty, record.supersedes}})}});
    }
    return fold;
}

class LeaseOrder : public testing::TestWithParam<FoldCase>
{ };

TEST_P(LeaseOrder, isDecidedByTheLog)
{
    const LeaseFold fold = foldRecords(GetParam().records);
    const LeaseEntry *entry = fold.find(Duty);
    ASSERT_NE(entry, nullptr);
    EXPECT_EQ(entry->latestRecord.writer, GetParam().holder);
    EXPECT_EQ(entry->fencing, GetParam().fencing);
    EXPECT_EQ(entry->latest, GetParam().latest);
    EXPECT_EQ(entry->released, GetParam().released);
    EXPECT_EQ(fold.applied(), GetParam().records.size());
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LeaseOrder,
    testing::Values(
        FoldCase{{{"a", 1, ClaimKind, 0}}, "a", 1, 1, false},
        // The first of two claims that supersede the same record wins.
        FoldCase{{{"a", 1, ClaimKind, 0}, {"b", 1, ClaimKind, 0}}, "a", 1, 1, false},
        // A renewal keeps the fencing number; a challenger that has not read the renewal loses.
        FoldCase{{{"a", 1, ClaimKind, 0}, {"a", 1, ClaimKind, 1}, {"b", 1, ClaimKind, 1}}, "a", 1, 2, false},
        FoldCase{{{"a", 1, ClaimKind, 0}, {"b", 1, ClaimKind, 1}, {"a", 1, ClaimKind, 1}}, "b", 2, 2, false},
        // An instance that restarted is a different holder.
        FoldCase{{{"a", 1, ClaimKind, 0}, {"a", 2, ClaimKind, 1}}, "a", 2, 2, false},
        // A release has no effect if its writer is not the holder or if it names an older record.
        FoldCase{{{"a", 1, ClaimKind, 0}, {"b", 1, ReleaseKind, 1}}, "a", 1, 1, false},
        FoldCase{{{"a", 1, ClaimKind, 0}, {"a", 1, ClaimKind, 1}, {"a", 1, ReleaseKind, 1}}, "a", 1, 2, false},
        FoldCase{{{"a", 1, ClaimKind, 0}, {"a", 1, ReleaseKind, 1}}, "a", 1, 2, true},
        // After a release, even the same holder gets a new fencing number.
        FoldCase{{{"a", 1, ClaimKind, 0}, {"a", 1, ReleaseKind, 1}, {"a", 1, ClaimKind, 2}}, "a", 3, 3, false}));

TEST(LeaseFold, ignoresDuplicatesAndInvalidPayloads)
{
    LeaseFold fold;
    const Record claim{{"a", 1, 1}, std::string(ClaimKind), dutiesPayload({{Duty, 0}})};
    const Record release{{"a", 1, 2}, std::string(ReleaseKind), dutiesPayload({{Duty, 1}})};
    fold.apply({1, claim});
    fold.apply({2, release});
    fold.apply({3, claim});
    fold.apply({4, {{"b", 1, 1}, std::string(ClaimKind), R"({"duties":[{"duty":""}]})"}});
    fold.apply({5, {{"b", 1, 2}, std::string(ClaimKind), "{"}});
    EXPECT_EQ(fold.applied(), 5U);
    EXPECT_EQ(fold.duties().size(), 1U);
    EXPECT_EQ(fold.find(Duty)->latest, 2U);
}

TEST(LeaseFold, restoresItsCheckpointButNoOlderOne)
{
    const LeaseFold fold = foldRecords({{"a", 1, ClaimKind, 0}, {"b", 1, ClaimKind, 1}});
    LeaseFold restored;
    ASSERT_TRUE(restored.restore(fold.checkpoint(), 2));
    EXPECT_EQ(restored.checkpoint(), fold.checkpoint());
    EXPECT_EQ(restored.duties(), fold.duties());
    EXPECT_EQ(restored.restore(fold.checkpoint(), 1).error().code, ErrorCode::Conflict);
    EXPECT_FALSE(restored.restore(R"({"duties":{"d":{}}})", 3));
    EXPECT_EQ(restored.applied(), 2U);
}

} // namespace
} // namespace bergamot
