#include "bergamot/dispatch/event_stream.h"

#include <gtest/gtest.h>

namespace bergamot::dispatch
{
namespace
{

constexpr std::string_view Stream =
    "id: 1\ndata: one\n\nversion: 7\nid: 2\ndata: two\ndata: lines\n\n: note\n\nid: 3\r\ndata:3\r\n\r\n";

class CutTest : public testing::TestWithParam<std::size_t>
{ };

TEST_P(CutTest, EventsAreTheSameWhereverTheStreamIsCut)
{
    EventStreamReader reader;
    std::vector<StreamEvent> events;
    for (std::size_t at = 0; at < Stream.size(); at += GetParam()) {
        for (StreamEvent &event : reader.feed(Stream.substr(at, GetParam()))) {
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
    EXPECT_FALSE(reader.inEvent());
}

INSTANTIATE_TEST_SUITE_P(Pieces, CutTest, testing::Values(1, 2, 3, 7, 1000));

struct EndCase
{
    const char *name;
    const char *text;
    bool inEvent;
};

class EndTest : public testing::TestWithParam<EndCase>
{ };

TEST_P(EndTest, AStreamThatStopsInTheMiddleOfAnEventIsNotWhole)
{
    EventStreamReader reader;
    reader.feed(GetParam().text);
    EXPECT_EQ(reader.inEvent(), GetParam().inEvent);
}

INSTANTIATE_TEST_SUITE_P(Ends,
                         EndTest,
                         testing::Values(EndCase{"Nothing", "", false},
                                         EndCase{"Whole", "id: 1\ndata: a\n\n", false},
                                         EndCase{"WithoutBlankLine", "id: 1\ndata: a\n", true},
                                         EndCase{"InALine", "id: 1\ndata: a\n\nid", true}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot::dispatch
