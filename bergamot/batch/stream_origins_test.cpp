#include "bergamot/batch/stream_origins.h"

#include <gtest/gtest.h>

namespace bergamot::batch
{
namespace
{

using namespace std::chrono_literals;

const StreamOrigin OldOrigin{"llm", "v1"};
const StreamOrigin NewOrigin{"llm", "v2"};
const TimePoint Start{1h};

struct FindCase
{
    const char *name;
    std::vector<StreamOrigin> software; // that the log names
    std::vector<StreamReport> reports;
    std::vector<std::string> services; // of the route when the stream is taken up
    std::optional<StreamOrigin> found;
};

StreamReport began(const StreamOrigin &origin, bool doubtful = false)
{
    return {.origin = origin, .streams = {streamId("a1")}, .doubtful = doubtful};
}

class FindTest : public testing::TestWithParam<FindCase>
{
public:
    static std::vector<FindCase> cases()
    {
        return {
            {"Recorded", {OldOrigin, NewOrigin}, {began(OldOrigin)}, {"llm"}, OldOrigin},
            {"RecordedAfterItsVersionWasForgotten", {NewOrigin}, {began(OldOrigin)}, {"llm"}, OldOrigin},
            {"TheOnlyVersion", {OldOrigin}, {}, {"llm"}, OldOrigin},
            {"NotRecordedAmongTwoVersions", {OldOrigin, NewOrigin}, {}, {"llm"}, std::nullopt},
            {"NotRecordedAndNoVersionKnown", {}, {}, {"llm"}, std::nullopt},
            {"NotRecordedOnASplitRoute", {OldOrigin, {"other", "v1"}}, {}, {"llm", "other"}, std::nullopt},
            {"RecordedOnASplitRoute",
             {OldOrigin, {"other", "v1"}},
             {began({"other", "v1"})},
             {"llm", "other"},
             {{"other", "v1"}}},
            {"TheRouteLeftTheService", {OldOrigin, {"other", "v1"}}, {began(OldOrigin)}, {"other"}, std::nullopt},
            {"Doubtful", {OldOrigin}, {began(OldOrigin, true)}, {"llm"}, std::nullopt},
            {"DoubtedLater", {OldOrigin}, {began(OldOrigin), began(OldOrigin, true)}, {"llm"}, std::nullopt},
            {"DoubtComesFirst", {OldOrigin}, {began(OldOrigin, true), began(OldOrigin)}, {"llm"}, std::nullopt},
            {"IdentifierUsedTwice",
             {OldOrigin, NewOrigin},
             {began(OldOrigin), began(NewOrigin)},
             {"llm"},
             std::nullopt},
            {"ThreeVersions", {OldOrigin, NewOrigin, {"llm", "v3"}}, {began(NewOrigin)}, {"llm"}, NewOrigin},
        };
    }
};

TEST_P(FindTest, AStreamIsFoundOnlyWithItsOwnVersion)
{
    StreamOrigins origins;
    for (const StreamOrigin &software : GetParam().software) {
        origins.applySoftware(software, Start);
    }
    for (const StreamReport &report : GetParam().reports) {
        origins.applyStreams(report, Start);
    }
    EXPECT_EQ(origins.find(streamId("a1"), GetParam().services), GetParam().found);
    StreamOrigins restored;
    restored.restore(origins.state(Start + 5s), Start + 5s);
    EXPECT_EQ(restored.find(streamId("a1"), GetParam().services), GetParam().found);
}

INSTANTIATE_TEST_SUITE_P(Records, FindTest, testing::ValuesIn(FindTest::cases()), [](const auto &test) {
    return test.param.name;
});

TEST(StreamOriginsTest, AStreamNeedsNoRecordOnlyWhileItsServiceHasOneVersion)
{
    StreamOrigins origins;
    EXPECT_TRUE(origins.needsRecord(OldOrigin, {"llm"}));
    EXPECT_TRUE(origins.applySoftware(OldOrigin, Start));
    EXPECT_FALSE(origins.needsRecord(OldOrigin, {"llm"}));
    EXPECT_TRUE(origins.needsRecord(OldOrigin, {"llm", "other"}));
    EXPECT_TRUE(origins.needsRecord(NewOrigin, {"llm"}));
    EXPECT_TRUE(origins.applySoftware(NewOrigin, Start));
    EXPECT_TRUE(origins.needsRecord(OldOrigin, {"llm"}));
    EXPECT_FALSE(origins.applySoftware(NewOrigin, Start + 1s));
}

// A version is forgotten some minutes after it was last seen; while the log is away, nothing can be seen.
TEST(StreamOriginsTest, AVersionIsForgottenOnlyWhileTheLogIsAvailable)
{
    StreamOrigins origins({.softwareRetention = 5min});
    origins.applySoftware(OldOrigin, Start);
    origins.applySoftware(NewOrigin, Start);
    origins.logRecovered(10min);
    EXPECT_FALSE(origins.expire(Start + 11min));
    EXPECT_TRUE(origins.serves(OldOrigin));
    origins.applySoftware(NewOrigin, Start + 15min);
    EXPECT_TRUE(origins.expire(Start + 16min));
    EXPECT_FALSE(origins.serves(OldOrigin));
    EXPECT_TRUE(origins.serves(NewOrigin));
}

TEST(StreamOriginsTest, StreamsAreBoundedInNumberAndAge)
{
    StreamOrigins origins({.streamRetention = 2min, .maxStreams = 3});
    for (StreamId stream = 1; stream <= 4; ++stream) {
        origins.applyStreams({.origin = OldOrigin, .streams = {stream}}, Start + stream * 30s);
    }
    EXPECT_FALSE(origins.contains(1));
    EXPECT_TRUE(origins.contains(2));
    origins.expire(Start + 191s);
    EXPECT_FALSE(origins.contains(2));
    EXPECT_TRUE(origins.contains(3));
}

} // namespace
} // namespace bergamot::batch
