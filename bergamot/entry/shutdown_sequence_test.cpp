#include "bergamot/entry/shutdown_sequence.h"

#include <gtest/gtest.h>

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

struct Step
{
    Duration after; // since the shutdown began
    std::size_t inFlight;
    ShutdownPhase expected;
};

struct SequenceCase
{
    std::string name;
    std::vector<Step> steps;
};

class ShutdownSequenceTest : public testing::TestWithParam<SequenceCase>
{ };

TEST_P(ShutdownSequenceTest, GoesThroughItsPhases)
{
    const TimePoint begin(1h);
    ShutdownSequence shutdown({.balancerGrace = 5s, .limit = 60s});
    EXPECT_EQ(shutdown.advance(begin, 0), ShutdownPhase::Serving);
    shutdown.begin(begin);
    for (const Step &step : GetParam().steps) {
        EXPECT_EQ(shutdown.advance(begin + step.after, step.inFlight), step.expected);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ShutdownSequenceTest,
    testing::Values(
        SequenceCase{"ServesDuringTheGracePeriod",
                     {{0s, 0, ShutdownPhase::Unready}, {4999ms, 0, ShutdownPhase::Unready}}},
        SequenceCase{"RefusesForAtLeastOneStep", {{5s, 0, ShutdownPhase::Refusing}, {5s, 0, ShutdownPhase::Closed}}},
        SequenceCase{
            "WaitsForRequestsInFlight",
            {{5s, 2, ShutdownPhase::Refusing}, {30s, 1, ShutdownPhase::Refusing}, {31s, 0, ShutdownPhase::Closed}}},
        SequenceCase{
            "EndsAtTheLimit",
            {{5s, 1, ShutdownPhase::Refusing}, {64s, 1, ShutdownPhase::Refusing}, {65s, 1, ShutdownPhase::Closed}}}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

} // namespace

} // namespace bergamot
