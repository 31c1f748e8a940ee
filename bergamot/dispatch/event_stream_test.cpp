#include "bergamot/dispatch/event_stream.h"

#include <gtest/gtest.h>

namespace bergamot::dispatch
{
namespace
{

constexpr std::string_view Stream =
    "id: 1\ndata: one\n\nversion: 7\nid: 2\ndata: two\ndata: lines\n\n: note\n\nid: 3\r\ndata:3\r\n\r\n";

class ChunkSizeTest : public testing::TestWithParam<std::size_t>
{ };

TEST_P(ChunkSizeTest, EventsDoNotDependOnChunkBoundaries)
{
    EventStreamReader reader;
    std::vector<StreamEvent> events;
    for (std::size_t offset = 0; offset < Stream.size(); offset += GetParam()) {
        for (StreamEvent &event : reader.feed(Stream.substr(offset, GetParam()))) {
            events.push_back(std::move(event));
        }
    }
    ASSERT_EQ(events.size(), 3U);
    EXPECT_EQ(events[0].id, 1U);
    EXPECT_EQ(events[0].data, "one");
    EXPECT_EQ(events[1].data, "two\nlines");
    ASSERT_EQ(events[1].otherFields.size(), 1U);
    EXPECT_EQ(events[1].otherFields[0], (std::pair<std::string, std::string>("version", "7")));
    EXPECT_EQ(events[2].data, "3");
    EXPECT_FALSE(reader.hasPartialEvent());
}

INSTANTIATE_TEST_SUITE_P(ChunkSizes, ChunkSizeTest, testing::Values(1, 2, 3, 7, 1000));

struct StreamEndCase
{
    const char *name;
    const char *text;
    bool hasPartialEvent;
};

class StreamEndTest : public testing::TestWithParam<StreamEndCase>
{ };

TEST_P(StreamEndTest, InEventReportsAStreamThatEndsWithinAnEvent)
{
    EventStreamReader reader;
    reader.feed(GetParam().text);
    EXPECT_EQ(reader.hasPartialEvent(), GetParam().hasPartialEvent);
}

INSTANTIATE_TEST_SUITE_P(Ends,
                         StreamEndTest,
                         testing::Values(StreamEndCase{"Nothing", "", false},
                                         StreamEndCase{"Complete", "id: 1\ndata: a\n\n", false},
                                         StreamEndCase{"WithoutBlankLine", "id: 1\ndata: a\n", true},
                                         StreamEndCase{"WithinALine", "id: 1\ndata: a\n\nid", true}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot::dispatch
