#include "bergamot/routing/attempt_policy.h"

#include <gtest/gtest.h>

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

struct FailureCase
{
    std::string name;
    FailureFacts facts;
    FailureStep expected;
};

class AfterAttemptFailure : public testing::TestWithParam<FailureCase>
{ };

TEST_P(AfterAttemptFailure, FollowsFromTheFacts)
{
    EXPECT_EQ(afterAttemptFailure(GetParam().facts), GetParam().expected);
}

constexpr FailureFacts Lost{.proof = DeliveryProof::MaybeRan};
constexpr FailureFacts Refused{.proof = DeliveryProof::NotRun};

FailureFacts with(FailureFacts facts, const std::function<void(FailureFacts &)> &change)
{
    change(facts);
    return facts;
}

INSTANTIATE_TEST_SUITE_P(Table,
                         AfterAttemptFailure,
                         testing::Values(FailureCase{"ProvedNotRun", Refused, FailureStep::RetryElsewhere},
                                         FailureCase{"MaybeRanNotRepeatable", Lost, FailureStep::GiveUp},
                                         FailureCase{"TimedOutNotRepeatable",
                                                     with(Lost,
                                                          [](auto &f) {
                                                              f.timedOut = true;
                                                          }),
                                                     FailureStep::GiveUp},
                                         FailureCase{"TimedOutPooledNotRepeatable",
                                                     with(Lost,
                                                          [](auto &f) {
                                                              f.timedOut = true;
                                                              f.connection = Connection::Pooled;
                                                          }),
                                                     FailureStep::GiveUp},
                                         FailureCase{"MaybeRanRepeatable",
                                                     with(Lost,
                                                          [](auto &f) {
                                                              f.repeatable = true;
                                                          }),
                                                     FailureStep::RetryElsewhere},
                                         FailureCase{"SilentPooledRepeatable",
                                                     with(Lost,
                                                          [](auto &f) {
                                                              f.repeatable = true;
                                                              f.timedOut = true;
                                                              f.connection = Connection::Pooled;
                                                          }),
                                                     FailureStep::RetryFresh},
                                         FailureCase{"SilentFreshRepeatable",
                                                     with(Lost,
                                                          [](auto &f) {
                                                              f.repeatable = true;
                                                              f.timedOut = true;
                                                          }),
                                                     FailureStep::RetryElsewhere},
                                         FailureCase{"BrokenStream",
                                                     with(Lost,
                                                          [](auto &f) {
                                                              f.repeatable = true;
                                                              f.streamStarted = true;
                                                          }),
                                                     FailureStep::GiveUp},
                                         FailureCase{"HedgeStillRuns",
                                                     with(Lost,
                                                          [](auto &f) {
                                                              f.repeatable = true;
                                                              f.otherInFlight = true;
                                                          }),
                                                     FailureStep::AwaitOther}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

struct TimeoutCase
{
    std::string name;
    AttemptTimeoutFacts facts;
    Duration expected;
};

class AttemptTimeout : public testing::TestWithParam<TimeoutCase>
{ };

TEST_P(AttemptTimeout, LeavesTimeForAnotherTry)
{
    const AttemptTimeoutOptions options{.leastProgress = 250ms, .latencyFactor = 4, .streamGap = 10s};
    EXPECT_EQ(attemptTimeout(options, GetParam().facts), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    AttemptTimeout,
    testing::Values(
        TimeoutCase{"NotRepeatableGetsAll", {.deadlineLeft = 2s, .usualLatency = 10ms}, 2s},
        TimeoutCase{"RepeatableUnknownGetsHalf", {.repeatable = true, .deadlineLeft = 2s}, 1s},
        TimeoutCase{"RepeatableUsual", {.repeatable = true, .deadlineLeft = 2s, .usualLatency = 100ms}, 400ms},
        TimeoutCase{"RepeatableLeast", {.repeatable = true, .deadlineLeft = 2s, .usualLatency = 1ms}, 250ms},
        TimeoutCase{"EachRetryGetsTwiceTheTime",
                    {.repeatable = true, .retries = 2, .deadlineLeft = 2s, .usualLatency = 1ms},
                    1s},
        TimeoutCase{"NoRetryLeftGetsHalf",
                    {.repeatable = true, .mayRetry = false, .deadlineLeft = 2s, .usualLatency = 1ms},
                    1s},
        TimeoutCase{"NoRetryLeftButUsuallySlower",
                    {.repeatable = true, .mayRetry = false, .deadlineLeft = 2s, .usualLatency = 400ms},
                    1600ms},
        TimeoutCase{"NeverPastDeadline", {.repeatable = true, .deadlineLeft = 100ms, .usualLatency = 1ms}, 100ms},
        TimeoutCase{"StreamGap", {.repeatable = true, .streaming = true, .deadlineLeft = 60s}, 10s}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

} // namespace

} // namespace bergamot
