#include "bergamot/net/connection_choice.h"

#include <gtest/gtest.h>

namespace bergamot::net
{
namespace
{

using namespace std::chrono_literals;

const TimePoint Now = TimePoint() + 1h;

struct Entry
{
    ConnectionUse use = ConnectionUse::Idle;
    Duration stall{};
};

struct ChoiceCase
{
    const char *name;
    std::vector<Entry> connections;
    std::optional<std::size_t> expected;
};

class ChoiceTest : public testing::TestWithParam<ChoiceCase>
{ };

TEST_P(ChoiceTest, ClosesWhatIsUsedLeast)
{
    std::vector<ConnectionState> states;
    for (const Entry &entry : GetParam().connections) {
        states.push_back({.use = entry.use, .progressAt = Now - entry.stall});
    }
    EXPECT_EQ(connectionToClose(states, Now), GetParam().expected);
}

using Use = ConnectionUse;

INSTANTIATE_TEST_SUITE_P(
    Crowds,
    ChoiceTest,
    testing::Values(ChoiceCase{"None", {}, std::nullopt},
                    ChoiceCase{"LongestIdle", {{Use::Idle, 1s}, {Use::Idle, 3s}, {Use::Idle, 2s}}, 1},
                    ChoiceCase{"IdleBeforeStalledBody", {{Use::Receiving, 9s}, {Use::Idle, 0s}}, 1},
                    ChoiceCase{"LingeringBeforeIdle", {{Use::Idle, 9s}, {Use::Lingering, 0s}}, 1},
                    ChoiceCase{"StalledBody", {{Use::Handling, 9s}, {Use::Receiving, 0s}, {Use::Receiving, 1s}}, 2},
                    ChoiceCase{"StalledReader", {{Use::Handling, 9s}, {Use::Sending, 2s}}, 1},
                    ChoiceCase{"MovingReaderStays", {{Use::Handling, 9s}, {Use::Sending, 500ms}}, std::nullopt},
                    ChoiceCase{"HandledRequestsStay", {{Use::Handling, 9s}, {Use::Handling, 1s}}, std::nullopt}),
    [](const auto &test) {
        return test.param.name;
    });

} // namespace
} // namespace bergamot::net
