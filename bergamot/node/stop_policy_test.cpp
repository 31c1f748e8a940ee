#include "bergamot/node/stop_policy.h"

#include <gtest/gtest.h>

namespace bergamot::node
{
namespace
{

using namespace std::chrono_literals;

const TimePoint Start = TimePoint{} + 100s;

struct TakeCase
{
    const char *name;
    Duration grace;
    Duration after; // from the stop request to the call
    Duration budget;
    Duration longest; // call of the route so far; zero: none
    bool taken;
};

class TakeTest : public testing::TestWithParam<TakeCase>
{ };

// Guards against calls that are read late in the grace period and cut off at its end.
TEST_P(TakeTest, ACallIsTakenOnlyIfItCanEndInTime)
{
    StopPolicy policy({.grace = GetParam().grace});
    if (GetParam().longest > Duration::zero()) {
        policy.recordCall("r", GetParam().longest, Start);
    }
    EXPECT_TRUE(policy.mayTake("r", GetParam().budget, Start));
    policy.stopRequested(Start);
    policy.stopRequested(Start + 1s); // a second signal extends nothing
    EXPECT_EQ(policy.mayTake("r", GetParam().budget, Start + GetParam().after), GetParam().taken);
}

INSTANTIATE_TEST_SUITE_P(Calls,
                         TakeTest,
                         testing::Values(TakeCase{"ShortAtOnce", 8s, 0ms, 2s, 0s, true},
                                         TakeCase{"LongBudgetAtOnce", 8s, 0ms, 12s, 0s, true},
                                         TakeCase{"LongBudgetOfAShortRoute", 8s, 2s, 12s, 300ms, true},
                                         TakeCase{"LongBudgetOfALongRoute", 8s, 2s, 12s, 6s, false},
                                         TakeCase{"LongBudgetOnceThePlatformKnows", 8s, 2600ms, 12s, 300ms, false},
                                         TakeCase{"ShortBudgetOnceThePlatformKnows", 8s, 2600ms, 2s, 300ms, true},
                                         TakeCase{"JustInTime", 8s, 5100ms, 2s, 0s, true},
                                         TakeCase{"JustTooLate", 8s, 5101ms, 2s, 0s, false},
                                         TakeCase{"AtTheEnd", 8s, 7200ms, 1ms, 0s, false},
                                         TakeCase{"LongGrace", 30s, 10s, 12s, 6s, true},
                                         TakeCase{"ShortGrace", 2s, 0ms, 2s, 300ms, true},
                                         TakeCase{"ShortGraceAndALongRoute", 2s, 0ms, 2s, 1500ms, false},
                                         TakeCase{"ShortGraceIsOver", 2s, 1300ms, 2s, 0s, false}),
                         [](const auto &test) {
                             return test.param.name;
                         });

struct EndCase
{
    const char *name;
    Duration grace;
    Duration after;
    bool closesIdle;
    bool endsCalls;
    bool ends;
};

class EndTest : public testing::TestWithParam<EndCase>
{ };

TEST_P(EndTest, TheLastAnswersAreWrittenBeforeTheProcessIsKilled)
{
    StopPolicy policy({.grace = GetParam().grace});
    EXPECT_FALSE(policy.mustEndCalls(Start));
    policy.stopRequested(Start);
    const TimePoint now = Start + GetParam().after;
    EXPECT_EQ(policy.mayCloseIdle(now), GetParam().closesIdle);
    EXPECT_EQ(policy.mustEndCalls(now), GetParam().endsCalls);
    EXPECT_EQ(policy.mustEnd(now), GetParam().ends);
}

INSTANTIATE_TEST_SUITE_P(Times,
                         EndTest,
                         testing::Values(EndCase{"Begin", 8s, 0ms, false, false, false},
                                         EndCase{"PlatformKnows", 8s, 2600ms, true, false, false},
                                         EndCase{"LastAnswers", 8s, 7300ms, true, true, false},
                                         EndCase{"Written", 8s, 7600ms, true, true, true},
                                         EndCase{"ShortGrace", 2s, 1300ms, false, true, false}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST(StopPolicyTest, ALongCallIsForgottenAfterTwoWindows)
{
    StopPolicy policy({.grace = 8s, .durationWindow = 30s});
    policy.recordCall("r", 10s, Start);
    policy.recordCall("r", 1s, Start + 40s);
    StopPolicy stoppedEarly = policy;
    stoppedEarly.stopRequested(Start + 41s);
    EXPECT_FALSE(stoppedEarly.mayTake("r", 12s, Start + 41s));
    policy.recordCall("r", 1s, Start + 71s);
    policy.stopRequested(Start + 72s);
    EXPECT_TRUE(policy.mayTake("r", 12s, Start + 72s));
}

} // namespace
} // namespace bergamot::node
