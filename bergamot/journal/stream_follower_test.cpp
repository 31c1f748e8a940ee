#include "bergamot/journal/stream_follower.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

/// A fold whose state is the concatenated payloads of the records that it applied.
class TextFold final : public StreamFold
{
public:
    void apply(const StoredRecord &stored) override
    {
        m_applied = stored.offset;
        if (stored.record.kind != CheckpointKind) {
            m_text += stored.record.payload;
        }
    }

    Offset applied() const override
    {
        return m_applied;
    }

    std::string checkpoint() const override
    {
        return "state:" + m_text;
    }

    Result<void> restore(const std::string &checkpoint, Offset offset) override
    {
        m_text = checkpoint.substr(6);
        m_applied = offset;
        return {};
    }

private:
    std::string m_text;
    Offset m_applied = 0;
};

/// A stream whose oldest records may have expired.
struct Stream
{
    std::vector<StoredRecord> records; // with offsets 1, 2, 3, ...
    Offset firstRetained = 1;

    void add(const std::string &kind, const std::string &payload)
    {
        records.push_back({records.size() + 1, {{"w", 1, records.size() + 1}, kind, payload}});
    }

    Result<LogPage> read(Offset from, std::size_t limit) const
    {
        if (from < firstRetained) {
            return failure(ErrorCode::Expired, "the record has expired");
        }
        LogPage page{{}, firstRetained, records.size() + 1};
        for (Offset at = from; at < page.end && page.records.size() < limit; ++at) {
            page.records.push_back(records[at - 1]);
        }
        return page;
    }
};

void poll(StreamFollower &follower, const Stream &stream, int times)
{
    for (int i = 0; i < times; ++i) {
        follower.answered(stream.read(follower.readFrom(), 2));
    }
}

struct RestartCase
{
    Offset appliedBefore; // offset that the reader has applied before records expire
    Offset firstRetained;
    FollowState state;
};

class RestartAfterExpiry : public testing::TestWithParam<RestartCase>
{ };

TEST_P(RestartAfterExpiry, startsFromACheckpointWhoseNextRecordIsRetained)
{
    Stream stream;
    TextFold writer;
    for (const char *payload : {"a", "b", "c", "d", "e", "f"}) {
        stream.add("k", payload);
        writer.apply(stream.records.back());
        if (payload == std::string("c")) {
            const std::string checkpoint = checkpointPayloads({writer.applied(), writer.checkpoint()}).front();
            stream.add("k", "x");
            writer.apply(stream.records.back());
            stream.add(std::string(CheckpointKind), checkpoint);
            writer.apply(stream.records.back());
        }
    }
    TextFold fold;
    StreamFollower follower(fold);
    while (fold.applied() < GetParam().appliedBefore) {
        fold.apply(stream.records[fold.applied()]);
    }
    stream.firstRetained = GetParam().firstRetained;
    poll(follower, stream, 12);
    EXPECT_EQ(follower.state(), GetParam().state);
    EXPECT_EQ(follower.caughtUp(), GetParam().state == FollowState::Following);
    if (follower.caughtUp()) {
        EXPECT_EQ(fold.checkpoint(), writer.checkpoint());
        EXPECT_EQ(fold.applied(), writer.applied());
    }
}

// The stream from offset 1: a b c x checkpoint(3) d e f
INSTANTIATE_TEST_SUITE_P(Table,
                         RestartAfterExpiry,
                         testing::Values(RestartCase{0, 1, FollowState::Following},
                                         RestartCase{0, 2, FollowState::Following},
                                         RestartCase{1, 4, FollowState::Following},
                                         RestartCase{1, 5, FollowState::Lost},
                                         RestartCase{4, 5, FollowState::Following},
                                         RestartCase{0, 9, FollowState::Lost}));

TEST(StreamFollower, adoptsOnlyNewerCheckpointsFromPeers)
{
    Stream stream;
    stream.add("k", "a");
    stream.firstRetained = 2;
    TextFold fold;
    StreamFollower follower(fold);
    poll(follower, stream, 3);
    EXPECT_EQ(follower.state(), FollowState::Lost);
    ASSERT_TRUE(follower.adopt({1, "state:a"}));
    poll(follower, stream, 1);
    EXPECT_TRUE(follower.caughtUp());
    ASSERT_TRUE(follower.adopt({1, "state:z"}));
    EXPECT_EQ(fold.checkpoint(), "state:a");
}

TEST(StreamFollower, restoresFromACheckpointAppendedWhileLost)
{
    Stream stream;
    stream.add("k", "a");
    stream.add("k", "b");
    stream.firstRetained = 2;
    TextFold fold;
    StreamFollower follower(fold);
    poll(follower, stream, 4);
    EXPECT_EQ(follower.state(), FollowState::Lost);
    stream.add(std::string(CheckpointKind), checkpointPayloads({2, "state:ab"}).front());
    stream.add("k", "c");
    poll(follower, stream, 6);
    EXPECT_TRUE(follower.caughtUp());
    EXPECT_EQ(fold.checkpoint(), "state:abc");
}

TEST(StreamFollower, isNotCaughtUpAfterAFailedRead)
{
    Stream stream;
    TextFold fold;
    StreamFollower follower(fold);
    poll(follower, stream, 1);
    EXPECT_TRUE(follower.caughtUp());
    follower.answered(failure(ErrorCode::Unavailable, "the log is unavailable"));
    EXPECT_FALSE(follower.caughtUp());
    EXPECT_EQ(follower.state(), FollowState::Following);
}

struct PartsCase
{
    std::string name;
    std::function<void(std::vector<std::string> &payloads)> change; // modifies the payloads of the three parts
    FollowState state;
};

class CheckpointInParts : public testing::TestWithParam<PartsCase>
{ };

TEST_P(CheckpointInParts, isUsedOnlyIfCompleteAndIntact)
{
    constexpr std::size_t PartBytes = 3;
    Stream stream;
    TextFold writer;
    for (const char *payload : {"a", "b", "c"}) {
        stream.add("k", payload);
        writer.apply(stream.records.back());
    }
    std::vector<std::string> payloads = checkpointPayloads({writer.applied(), writer.checkpoint()}, PartBytes);
    ASSERT_EQ(payloads.size(), 3U);
    GetParam().change(payloads);
    for (const std::string &payload : payloads) {
        stream.add(std::string(CheckpointKind), payload);
        stream.add("k", "x");
    }
    for (std::size_t i = 3; i < stream.records.size(); ++i) {
        writer.apply(stream.records[i]);
    }
    stream.firstRetained = 4;
    TextFold fold;
    StreamFollower follower(fold);
    poll(follower, stream, 12);
    EXPECT_EQ(follower.state(), GetParam().state);
    if (GetParam().state == FollowState::Following) {
        EXPECT_EQ(fold.checkpoint(), writer.checkpoint());
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CheckpointInParts,
    testing::Values(PartsCase{"complete", [](std::vector<std::string> &) {}, FollowState::Following},
                    PartsCase{"duplicatePart",
                              [](std::vector<std::string> &payloads) {
                                  payloads.push_back(payloads[1]);
                              },
                              FollowState::Following},
                    PartsCase{"reordered",
                              [](std::vector<std::string> &payloads) {
                                  std::swap(payloads[0], payloads[2]);
                              },
                              FollowState::Following},
                    PartsCase{"onePartLost",
                              [](std::vector<std::string> &payloads) {
                                  payloads.erase(payloads.begin() + 1);
                              },
                              FollowState::Lost},
                    PartsCase{"onePartChanged",
                              [](std::vector<std::string> &payloads) {
                                  std::string &changed = payloads[1];
                                  const std::string field = "state\":\"";
                                  changed[changed.find(field) + field.size()] = 'z';
                              },
                              FollowState::Lost}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

} // namespace
} // namespace bergamot
