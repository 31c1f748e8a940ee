#include "bergamot/membership/stream_replica.h"

#include <random>

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

/// A fold whose state is the concatenation of all payloads.
class TextFold final : public StreamFold
{
public:
    void apply(const StoredRecord &stored) override
    {
        EXPECT_EQ(stored.offset, m_applied + 1);
        m_applied = stored.offset;
        m_text += stored.record.payload;
    }
    Offset applied() const override
    {
        return m_applied;
    }
    std::string checkpoint() const override
    {
        return m_text;
    }
    Result<void> restore(const std::string &checkpoint, Offset offset) override
    {
        if (checkpoint == "broken") {
            return failure(ErrorCode::InvalidArgument, "broken");
        }
        EXPECT_GE(offset, m_applied);
        m_text = checkpoint;
        m_applied = offset;
        return {};
    }

private:
    Offset m_applied = 0;
    std::string m_text;
};

StoredRecord record(Offset offset)
{
    return {offset, {{"w", 1, offset}, "kind", std::to_string(offset) + ","}};
}

std::vector<StoredRecord> records(Offset first, Offset last)
{
    std::vector<StoredRecord> all;
    for (Offset offset = first; offset <= last; ++offset) {
        all.push_back(record(offset));
    }
    return all;
}

TEST(StreamReplica, skipsRecordsThatDoNotFollow)
{
    TextFold fold;
    StreamReplica replica("s", fold);
    EXPECT_EQ(replica.apply(records(1, 3)), 3U);
    EXPECT_EQ(replica.apply(records(2, 4)), 1U);
    EXPECT_EQ(replica.apply(records(6, 9)), 0U);
    EXPECT_EQ(fold.checkpoint(), "1,2,3,4,");
}

TEST(StreamReplica, peersCatchUpByRecordsOrByACheckpoint)
{
    TextFold fold;
    StreamReplica replica("s", fold, {.recentRecords = 3});
    replica.apply(records(1, 10));
    for (Offset start = 0; start <= 10; ++start) {
        TextFold peerFold;
        StreamReplica peer("s", peerFold);
        peer.apply(records(1, start));
        const inner::StreamRecordsT update = replica.recordsAfter(start);
        EXPECT_EQ(update.checkpoint.empty(), start >= 7) << start;
        EXPECT_EQ(peer.accept(update), start < 10);
        EXPECT_EQ(peerFold.checkpoint(), fold.checkpoint());
        EXPECT_EQ(peer.applied(), 10U);
    }
}

TEST(StreamReplica, oldOrBrokenUpdatesChangeNothing)
{
    TextFold fold;
    StreamReplica replica("s", fold);
    replica.apply(records(1, 5));
    inner::StreamRecordsT old;
    old.checkpoint = "old";
    old.checkpoint_offset = 4;
    EXPECT_FALSE(replica.accept(old));
    EXPECT_TRUE(replica.restore("old", 5));
    inner::StreamRecordsT broken;
    broken.checkpoint = "broken";
    broken.checkpoint_offset = 9;
    EXPECT_FALSE(replica.accept(broken));
    EXPECT_EQ(fold.checkpoint(), "1,2,3,4,5,");
}

TEST(StreamReplica, longUpdatesAreSentInParts)
{
    TextFold fold;
    StreamReplica replica("s", fold, {.replyBytes = 500});
    replica.apply(records(1, 100));
    TextFold peerFold;
    StreamReplica peer("s", peerFold);
    int parts = 0;
    while (peer.accept(replica.recordsAfter(peer.applied()))) {
        ++parts;
    }
    EXPECT_GT(parts, 1);
    EXPECT_EQ(peerFold.checkpoint(), fold.checkpoint());
}

class ShuffledUpdates : public testing::TestWithParam<std::uint64_t>
{ };

TEST_P(ShuffledUpdates, endInTheSameStateInAnyOrder)
{
    std::mt19937_64 random(GetParam());
    TextFold source;
    StreamReplica replica("s", source, {.recentRecords = 8});
    TextFold peerFold;
    StreamReplica peer("s", peerFold);
    std::vector<inner::StreamRecordsT> inTransit;
    for (Offset offset = 1; offset <= 300; ++offset) {
        replica.apply(records(offset, offset));
        inTransit.push_back(replica.recordsAfter(random() % offset));
        if (random() % 3 == 0) {
            const Offset before = peer.applied();
            peer.accept(inTransit[random() % inTransit.size()]);
            ASSERT_GE(peer.applied(), before);
        }
    }
    peer.accept(replica.recordsAfter(peer.applied()));
    EXPECT_EQ(peerFold.checkpoint(), source.checkpoint());
}

INSTANTIATE_TEST_SUITE_P(Seeds, ShuffledUpdates, testing::Range<std::uint64_t>(1, 9));

} // namespace
} // namespace bergamot
