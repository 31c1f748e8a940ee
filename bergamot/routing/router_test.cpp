#include "bergamot/routing/internal/router_test_fixture.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

struct DeliveryCase
{
    std::string name;
    bool repeatable;
    AttemptFailure failure;
    std::size_t dispatches; // after the first failure
    std::optional<RequestOutcome> refusedAs;
};

class DeliveryRules : public RouterTest, public testing::WithParamInterface<DeliveryCase>
{ };

TEST_P(DeliveryRules, AfterOneFailure)
{
    const RequestId id = send([](CallerRequest &request) {
        request.repeatable = GetParam().repeatable;
    });
    ASSERT_EQ(m_dispatches.size(), 1U);
    fail(m_dispatches.front().attempt, GetParam().failure);
    EXPECT_EQ(dispatchesOf(id), GetParam().dispatches);
    if (GetParam().refusedAs) {
        ASSERT_TRUE(m_refusals.contains(id));
        EXPECT_EQ(m_refusals[id].outcome, *GetParam().refusedAs);
        EXPECT_GT(m_refusals[id].retryAfter, Duration::zero());
    } else {
        EXPECT_EQ(m_ends.count(id), 0U);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    DeliveryRules,
    testing::Values(DeliveryCase{"OnceOnlyRefusedGoesElsewhere", false, ConnectionRefused, 2, std::nullopt},
                    DeliveryCase{"OnceOnlyLostIsNeverSentAgain", false, ConnectionLost, 1, RequestOutcome::MaybeRan},
                    DeliveryCase{"OnceOnlySilentIsNeverSentAgain", false, NoAnswer, 1, RequestOutcome::MaybeRan},
                    DeliveryCase{"RepeatableRefusedGoesElsewhere", true, ConnectionRefused, 2, std::nullopt},
                    DeliveryCase{"RepeatableLostGoesElsewhere", true, ConnectionLost, 2, std::nullopt},
                    DeliveryCase{"RepeatableSilentGoesElsewhere", true, NoAnswer, 2, std::nullopt}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

TEST_F(RouterTest, OnceOnlyUsesAFreshConnection)
{
    send();
    EXPECT_EQ(m_dispatches.front().connection, Connection::Fresh);
}

TEST_F(RouterTest, UnresponsiveConnectionIsRetriedOnAFreshOne)
{
    const auto repeatable = [](CallerRequest &request) {
        request.repeatable = true;
    };
    showEndpoints(1);
    send(repeatable);
    answer(m_dispatches[0].attempt);
    const RequestId id = send(repeatable);
    EXPECT_EQ(m_dispatches[1].connection, Connection::Pooled);
    m_now += 600ms;
    fail(m_dispatches[1].attempt, NoAnswer);
    ASSERT_EQ(dispatchesOf(id), 2U);
    EXPECT_EQ(m_drops, 1);
    EXPECT_EQ(m_dispatches[2].connection, Connection::Fresh);
    EXPECT_EQ(m_dispatches[2].endpoint, m_dispatches[1].endpoint);
}

TEST_F(RouterTest, UnresponsiveEndpointThatNeverAnsweredIsAvoidedAtOnce)
{
    showEndpoints(2);
    const RequestId id = send([](CallerRequest &request) {
        request.repeatable = true;
    });
    m_now += 600ms;
    fail(m_dispatches[0].attempt, NoAnswer);
    ASSERT_EQ(dispatchesOf(id), 2U);
    EXPECT_EQ(m_drops, 0) << "No connection to the endpoint can have been used before.";
    EXPECT_NE(m_dispatches[1].endpoint, m_dispatches[0].endpoint);
}

TEST_F(RouterTest, RefusedEverywhereIsNotRun)
{
    const RequestId id = send();
    for (std::size_t next = 0; next < m_dispatches.size(); ++next) {
        fail(m_dispatches[next].attempt, ConnectionRefused);
        pass(50ms);
    }
    EXPECT_EQ(dispatchesOf(id), 3U);
    EXPECT_EQ(m_refusals[id].outcome, RequestOutcome::RefusedNotRun);
    EXPECT_EQ(m_refusals[id].status, 503);
    EXPECT_EQ(m_ends[id], 1);
}

TEST_F(RouterTest, OneAttemptThatMayHaveRunDecidesTheOutcome)
{
    const RequestId id = send([](CallerRequest &request) {
        request.repeatable = true;
    });
    fail(m_dispatches[0].attempt, ConnectionLost);
    for (std::size_t next = 1; next < m_dispatches.size(); ++next) {
        fail(m_dispatches[next].attempt, ConnectionRefused);
        pass(50ms);
    }
    EXPECT_EQ(m_refusals[id].outcome, RequestOutcome::MaybeRan);
}

TEST_F(RouterTest, AnswerAfterTheDeadlineIsDropped)
{
    const RequestId id = send();
    pass(3s);
    EXPECT_EQ(m_refusals[id].outcome, RequestOutcome::MaybeRan);
    EXPECT_EQ(m_refusals[id].status, 504);
    EXPECT_EQ(m_cancelled.size(), 1U);
    answer(m_dispatches[0].attempt);
    EXPECT_EQ(m_ends[id], 1);
}

TEST_F(RouterTest, UnknownTargetIsNotRun)
{
    const RequestId id = send([](CallerRequest &request) {
        request.target = "service/none";
    });
    EXPECT_EQ(m_refusals[id].status, 404);
    EXPECT_EQ(m_refusals[id].outcome, RequestOutcome::RefusedNotRun);
}

TEST_F(RouterTest, DrainRefusesNewWorkAndFinishesTheRest)
{
    const RequestId early = send();
    m_router.stopAccepting();
    const RequestId late = send();
    EXPECT_EQ(m_refusals[late].reason, RefusalReason::ShuttingDown);
    EXPECT_EQ(m_router.pending(), 1U);
    answer(m_dispatches[0].attempt);
    EXPECT_TRUE(m_forwarded.contains(early));
    EXPECT_EQ(m_router.pending(), 0U);
}

struct StopCase
{
    const char *name;
    void (*prepare)(Router &router, AttemptId attempt, TimePoint now);
    std::optional<RequestOutcome> refusedAs; // none: its stream is aborted
};

class RouterStop : public RouterTest, public testing::WithParamInterface<StopCase>
{ };

// Guards against requests that have no answer when the process ends, and against a "not run" that is not true.
TEST_P(RouterStop, EveryRequestEndsOnceAndTruly)
{
    const RequestId id = send();
    ASSERT_EQ(m_dispatches.size(), 1U);
    GetParam().prepare(m_router, m_dispatches[0].attempt, m_now);
    collect();
    m_router.stop(m_now);
    collect();
    EXPECT_EQ(m_ends[id], 1);
    EXPECT_EQ(m_router.pending(), 0U);
    EXPECT_EQ(m_refusals.contains(id), GetParam().refusedAs.has_value());
    if (GetParam().refusedAs) {
        EXPECT_EQ(m_refusals[id].outcome, *GetParam().refusedAs);
        EXPECT_EQ(m_refusals[id].status == 503, *GetParam().refusedAs == RequestOutcome::RefusedNotRun);
    } else {
        EXPECT_EQ(m_aborted, std::vector<RequestId>{id});
    }
    pass(std::chrono::seconds(5));
    EXPECT_EQ(m_dispatches.size(), 1U) << "nothing is sent after the stop";
}

INSTANTIATE_TEST_SUITE_P(
    Stages,
    RouterStop,
    testing::Values(StopCase{"InFlight", [](Router &, AttemptId, TimePoint) {}, RequestOutcome::MaybeRan},
                    StopCase{"NotExecutedAtAnyEndpoint",
                             [](Router &router, AttemptId attempt, TimePoint now) {
                                 router.onView({.targets = {{"service/stock", {}}}}, now);
                                 router.onAnswered(attempt, {.status = 503, .notRun = true}, now);
                             },
                             RequestOutcome::RefusedNotRun},
                    StopCase{"StreamHasBegun",
                             [](Router &router, AttemptId attempt, TimePoint now) {
                                 router.onStreamStarted(attempt, now);
                             },
                             std::nullopt}),
    [](const auto &test) {
        return test.param.name;
    });

TEST_F(RouterTest, AStopRefusesWaitingRequestsAsNotRun)
{
    constexpr int Requests = 400; // more than the endpoints take at once
    for (int count = 0; count < Requests; ++count) {
        send();
    }
    const std::size_t sent = m_dispatches.size();
    ASSERT_LT(sent + m_refusals.size(), static_cast<std::size_t>(Requests));
    m_router.stop(m_now);
    collect();
    EXPECT_EQ(m_router.pending(), 0U);
    EXPECT_EQ(m_router.queued(), 0U);
    for (const auto &[id, refusal] : m_refusals) {
        EXPECT_EQ(refusal.outcome == RequestOutcome::RefusedNotRun, dispatchesOf(id) == 0) << id;
    }
    EXPECT_EQ(m_refusals.size(), static_cast<std::size_t>(Requests));
}

TEST_F(RouterTest, LeavingEndpointGetsNoNewWork)
{
    const RequestId running = send();
    const EndpointId leaving = m_dispatches[0].endpoint;
    showEndpoints(3, [&](RoutedEndpoint &endpoint) {
        endpoint.leaving = endpoint.id == leaving;
    });
    for (int count = 0; count < 20; ++count) {
        send();
        EXPECT_NE(m_dispatches.back().endpoint, leaving);
    }
    answer(m_dispatches[0].attempt);
    EXPECT_TRUE(m_forwarded.contains(running));
}

TEST_F(RouterTest, EndpointThatReportsLeavingGetsNoNewWork)
{
    send();
    const EndpointId leaving = m_dispatches[0].endpoint;
    answer(m_dispatches[0].attempt, {.leaving = true});
    for (int count = 0; count < 20; ++count) {
        send();
        EXPECT_NE(m_dispatches.back().endpoint, leaving);
    }
}

/// What happens between the answer that says that its endpoint is leaving and the requests after it.
struct LeavingCase
{
    const char *name;
    std::uint64_t incarnation; // of the endpoint that answers; 0: not known
    std::vector<std::uint64_t> shownLater; // incarnations in the views after the answer, all of them not leaving
    Duration pause; // before each of these views and at the end
    bool getsWork;
};

class LeavingWordTest : public RouterTest
{
protected:
    void showIncarnation(std::uint64_t incarnation)
    {
        showEndpoints(3, [incarnation](RoutedEndpoint &endpoint) {
            endpoint.incarnation = incarnation;
        });
    }
};

class LeavingWord : public LeavingWordTest, public testing::WithParamInterface<LeavingCase>
{ };

TEST_P(LeavingWord, HoldsForTheIncarnationThatSaidIt)
{
    showIncarnation(GetParam().incarnation);
    send();
    const EndpointId leaving = m_dispatches[0].endpoint;
    answer(m_dispatches[0].attempt, {.leaving = true});
    for (const std::uint64_t incarnation : GetParam().shownLater) {
        pass(GetParam().pause);
        showIncarnation(incarnation);
    }
    pass(GetParam().pause);
    const std::size_t before = m_dispatches.size();
    for (int count = 0; count < 20; ++count) {
        send();
    }
    const bool gotWork = std::any_of(
        m_dispatches.begin() + static_cast<std::ptrdiff_t>(before), m_dispatches.end(), [&](const auto &each) {
            return each.endpoint == leaving;
        });
    EXPECT_EQ(gotWork, GetParam().getsWork);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         LeavingWord,
                         testing::Values(LeavingCase{"AtOnce", 5, {}, 0s, false},
                                         LeavingCase{"NoNewViewForAnHour", 5, {}, 1h, false},
                                         LeavingCase{"SameIncarnationInViews", 5, {5, 5, 5}, 30s, false},
                                         LeavingCase{"AnotherIncarnation", 5, {6}, 1s, true},
                                         LeavingCase{"UnknownIncarnationAtOnce", 0, {0}, 2s, false},
                                         LeavingCase{"UnknownIncarnationAfterAMinute", 0, {0}, 30s, true}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST_F(LeavingWordTest, OfAnEarlierIncarnationDoesNotConcernTheNextOne)
{
    showIncarnation(5);
    send();
    const EndpointId restarted = m_dispatches[0].endpoint;
    showIncarnation(6);
    answer(m_dispatches[0].attempt, {.leaving = true});
    for (int count = 0; count < 20; ++count) {
        send();
    }
    EXPECT_TRUE(std::any_of(m_dispatches.begin() + 1, m_dispatches.end(), [&](const auto &each) {
        return each.endpoint == restarted;
    }));
}

TEST_F(LeavingWordTest, EndsTheRetryOnAFreshConnection)
{
    const auto repeatable = [](CallerRequest &request) {
        request.repeatable = true;
    };
    showEndpoints(1);
    send(repeatable);
    answer(m_dispatches[0].attempt);
    const RequestId id = send(repeatable);
    send(repeatable);
    answer(m_dispatches[2].attempt, {.leaving = true});
    showEndpoints(2);
    m_now += 600ms;
    fail(m_dispatches[1].attempt, NoAnswer);
    ASSERT_EQ(dispatchesOf(id), 2U);
    EXPECT_NE(m_dispatches.back().endpoint, m_dispatches[1].endpoint);
}

TEST_F(LeavingWordTest, OfTheOnlyEndpointRefusesWaitingRequestsAsNotRun)
{
    showEndpoints(1);
    std::vector<RequestId> requests;
    while (m_router.queued() == 0) {
        requests.push_back(send());
    }
    answer(m_dispatches[0].attempt, {.leaving = true});
    EXPECT_EQ(m_router.queued(), 0U);
    EXPECT_EQ(m_refusals[requests.back()].outcome, RequestOutcome::RefusedNotRun);
    EXPECT_EQ(m_refusals[requests.back()].status, 503);
    EXPECT_EQ(m_refusals[send()].status, 503);
}

TEST_F(RouterTest, DisconnectedCallersAttemptsAreCancelled)
{
    const RequestId id = send([](CallerRequest &request) {
        request.streaming = true;
    });
    m_router.onStreamStarted(m_dispatches[0].attempt, m_now);
    m_router.onCallerDisconnected(id, m_now);
    collect();
    EXPECT_EQ(m_cancelled, std::vector<AttemptId>{m_dispatches[0].attempt});
    EXPECT_EQ(m_ends.count(id), 0U);
    EXPECT_EQ(m_router.pending(), 0U);
}

TEST_F(RouterTest, BrokenStreamIsAborted)
{
    const RequestId id = send([](CallerRequest &request) {
        request.streaming = true;
        request.repeatable = true;
    });
    m_router.onStreamStarted(m_dispatches[0].attempt, m_now);
    fail(m_dispatches[0].attempt, ConnectionLost);
    EXPECT_EQ(m_aborted, std::vector<RequestId>{id});
    EXPECT_EQ(m_dispatches.size(), 1U);
}

struct KeyCase
{
    std::string name;
    KeyState state;
    std::size_t dispatches;
    int status; // 0: no refusal
    RequestOutcome outcome;
};

class KeyRules : public RouterTest, public testing::WithParamInterface<KeyCase>
{ };

TEST_P(KeyRules, DecideBeforeDispatch)
{
    const RequestId id = send([](CallerRequest &request) {
        request.key = "lot-7";
    });
    EXPECT_TRUE(m_dispatches.empty());
    m_router.onKeyState(id, GetParam().state, 0ms, m_now);
    collect();
    EXPECT_EQ(m_dispatches.size(), GetParam().dispatches);
    if (GetParam().status != 0) {
        EXPECT_EQ(m_refusals[id].status, GetParam().status);
        EXPECT_EQ(m_refusals[id].outcome, GetParam().outcome);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    KeyRules,
    testing::Values(KeyCase{"Granted", KeyState::Granted, 1, 0, RequestOutcome::Answered},
                    KeyCase{"Finished", KeyState::Finished, 0, 0, RequestOutcome::Answered},
                    KeyCase{"InProgress", KeyState::InProgress, 0, 409, RequestOutcome::MaybeRan},
                    KeyCase{"Mismatch", KeyState::Mismatch, 0, 422, RequestOutcome::RefusedNotRun},
                    KeyCase{"Unavailable", KeyState::Unavailable, 0, 503, RequestOutcome::RefusedNotRun}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

TEST_F(RouterTest, KeyGrantedAfterTheDeadlineIsReleased)
{
    const RequestId id = send([](CallerRequest &request) {
        request.key = "lot-7";
    });
    pass(3s);
    EXPECT_EQ(m_refusals[id].outcome, RequestOutcome::RefusedNotRun);
    m_router.onKeyState(id, KeyState::Granted, 0ms, m_now);
    collect();
    EXPECT_TRUE(m_dispatches.empty());
    ASSERT_EQ(m_records.size(), 1U);
    EXPECT_EQ(m_records[0].outcome, RequestOutcome::RefusedNotRun);
}

TEST_F(RouterTest, KeyIsRecordedAsMaybeRanWhenTheAnswerIsLost)
{
    const RequestId id = send([](CallerRequest &request) {
        request.key = "lot-7";
    });
    m_router.onKeyState(id, KeyState::Granted, 0ms, m_now);
    collect();
    fail(m_dispatches[0].attempt, ConnectionLost);
    ASSERT_EQ(m_records.size(), 1U);
    EXPECT_EQ(m_records[0].outcome, RequestOutcome::MaybeRan);
    EXPECT_EQ(m_dispatches.size(), 1U);
}

} // namespace

} // namespace bergamot
