#include "bergamot/routing/router.h"

#include <gtest/gtest.h>

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t Seed = 7;

RouterOptions testOptions()
{
    RouterOptions options;
    options.target.pool.instance = "entry-1";
    options.target.pool.domain = FailureDomainId("a");
    return options;
}

/// A router with its outside: hands in events and sorts the actions.
class RouterTest : public testing::Test
{
protected:
    void SetUp() override
    {
        showEndpoints(3);
    }

    void showEndpoints(int count, const std::function<void(RoutedEndpoint &)> &change = nullptr)
    {
        RoutingTable table;
        RoutedTarget &target = table.targets["service/stock"];
        for (int number = 0; number < count; ++number) {
            RoutedEndpoint endpoint;
            endpoint.id = EndpointId("endpoint-" + std::to_string(number));
            endpoint.domain = FailureDomainId("a");
            endpoint.address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + number)};
            if (change) {
                change(endpoint);
            }
            target.endpoints.push_back(endpoint);
        }
        table.suspects = m_suspects;
        m_router.onView(table, m_now);
        collect();
    }

    RequestId send(const std::function<void(CallerRequest &)> &change = nullptr)
    {
        CallerRequest request;
        request.id = ++m_lastRequest;
        request.target = "service/stock";
        request.deadline = m_now + 2s;
        request.fingerprint = request.id;
        if (change) {
            change(request);
        }
        m_router.onRequest(request, m_now);
        collect();
        return request.id;
    }

    void collect()
    {
        for (Action &action : m_router.takeActions()) {
            if (const auto *dispatch = std::get_if<DispatchAction>(&action)) {
                m_dispatches.push_back(*dispatch);
            } else if (const auto *refuse = std::get_if<RefuseAction>(&action)) {
                m_refusals[refuse->request] = *refuse;
                ++m_ends[refuse->request];
            } else if (const auto *forward = std::get_if<ForwardAction>(&action)) {
                ++m_ends[forward->request];
                m_forwarded[forward->request] = forward->attempt;
            } else if (const auto *stored = std::get_if<ForwardStoredAction>(&action)) {
                ++m_ends[stored->request];
            } else if (const auto *abort = std::get_if<AbortStreamAction>(&action)) {
                ++m_ends[abort->request];
                m_aborted.push_back(abort->request);
            } else if (const auto *record = std::get_if<RecordKeyAction>(&action)) {
                m_records.push_back(*record);
            } else if (const auto *cancel = std::get_if<CancelAction>(&action)) {
                m_cancelled.push_back(cancel->attempt);
            } else if (std::holds_alternative<DropConnectionsAction>(action)) {
                ++m_drops;
            }
        }
    }

    void fail(AttemptId attempt, AttemptFailure failure)
    {
        m_router.onFailed(attempt, failure, m_now);
        collect();
    }

    void answer(AttemptId attempt, AttemptAnswer answer = {})
    {
        m_router.onAnswered(attempt, answer, m_now);
        collect();
    }

    void pass(Duration time)
    {
        m_now += time;
        m_router.tick(m_now);
        collect();
    }

    std::size_t dispatchesOf(RequestId id) const
    {
        return static_cast<std::size_t>(std::count_if(m_dispatches.begin(), m_dispatches.end(), [id](const auto &each) {
            return each.request == id;
        }));
    }

    TimePoint m_now = TimePoint(1h);
    Router m_router{testOptions(), Seed};
    RequestId m_lastRequest = 0;
    std::vector<SuspectReport> m_suspects;
    std::vector<DispatchAction> m_dispatches;
    std::map<RequestId, RefuseAction> m_refusals;
    std::map<RequestId, AttemptId> m_forwarded;
    std::map<RequestId, int> m_ends;
    std::vector<RequestId> m_aborted;
    std::vector<RecordKeyAction> m_records;
    std::vector<AttemptId> m_cancelled;
    int m_drops = 0;
};

constexpr AttemptFailure ConnectionRefused{.proof = DeliveryProof::NotRun, .timedOut = false};
constexpr AttemptFailure ConnectionLost{.proof = DeliveryProof::MaybeRan, .timedOut = false};
constexpr AttemptFailure NoAnswer{.proof = DeliveryProof::MaybeRan, .timedOut = true};

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
                    DeliveryCase{"RepeatableSilentGoesFresh", true, NoAnswer, 2, std::nullopt}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

TEST_F(RouterTest, OnceOnlyUsesAFreshConnection)
{
    send();
    EXPECT_EQ(m_dispatches.front().connection, Connection::Fresh);
}

TEST_F(RouterTest, SilentConnectionIsJudgedByAFreshOne)
{
    send([](CallerRequest &request) {
        request.repeatable = true;
    });
    EXPECT_EQ(m_dispatches.front().connection, Connection::Pooled);
    m_now += 600ms;
    fail(m_dispatches.front().attempt, NoAnswer);
    ASSERT_EQ(m_dispatches.size(), 2U);
    EXPECT_EQ(m_drops, 1);
    EXPECT_EQ(m_dispatches[1].connection, Connection::Fresh);
    EXPECT_EQ(m_dispatches[1].endpoint, m_dispatches[0].endpoint);
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

TEST_F(RouterTest, OneMaybeRanAttemptDecidesTheOutcome)
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

TEST_F(RouterTest, EndpointsOwnWordOfLeavingCounts)
{
    send();
    const EndpointId leaving = m_dispatches[0].endpoint;
    answer(m_dispatches[0].attempt, {.leaving = true});
    for (int count = 0; count < 20; ++count) {
        send();
        EXPECT_NE(m_dispatches.back().endpoint, leaving);
    }
}

TEST_F(RouterTest, CallerGoneCancelsItsWork)
{
    const RequestId id = send([](CallerRequest &request) {
        request.streaming = true;
    });
    m_router.onStreamStarted(m_dispatches[0].attempt);
    m_router.onCallerGone(id, m_now);
    collect();
    EXPECT_EQ(m_cancelled, std::vector<AttemptId>{m_dispatches[0].attempt});
    EXPECT_EQ(m_ends.count(id), 0U);
    EXPECT_EQ(m_router.pending(), 0U);
}

TEST_F(RouterTest, BrokenStreamIsNeverWhole)
{
    const RequestId id = send([](CallerRequest &request) {
        request.streaming = true;
        request.repeatable = true;
    });
    m_router.onStreamStarted(m_dispatches[0].attempt);
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

TEST_F(RouterTest, KeyGrantedAfterTheDeadlineIsGivenBack)
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

TEST_F(RouterTest, GuiltyRequestIsRefusedAfterTwoEndpointsAndInnocentsAreCleared)
{
    showEndpoints(4);
    constexpr std::uint64_t Guilty = 666;
    const auto guilty = [](CallerRequest &request) {
        request.fingerprint = Guilty;
        request.repeatable = true;
    };
    const RequestId first = send(guilty);
    const AttemptId firstAttempt = m_dispatches.back().attempt;
    const EndpointId died = m_dispatches.back().endpoint;
    std::vector<RequestId> innocents;
    innocents.reserve(12);
    for (int count = 0; count < 12; ++count) {
        innocents.push_back(send([](CallerRequest &request) {
            request.repeatable = true;
        }));
    }
    const std::vector<DispatchAction> running = m_dispatches;
    fail(firstAttempt, ConnectionLost);
    for (const DispatchAction &dispatch : running) {
        if (dispatch.endpoint == died && dispatch.attempt != firstAttempt) {
            fail(dispatch.attempt, ConnectionLost);
        }
    }
    std::set<EndpointId> killed{died};
    for (std::size_t next = 1; next < m_dispatches.size(); ++next) {
        const DispatchAction dispatch = m_dispatches[next];
        if (dispatch.request == first) {
            killed.insert(dispatch.endpoint);
            fail(dispatch.attempt, ConnectionLost);
        } else if (!m_ends.contains(dispatch.request)) {
            answer(dispatch.attempt);
        }
        pass(1ms);
    }
    EXPECT_EQ(killed.size(), 2U);
    EXPECT_EQ(m_ends[first], 1);
    EXPECT_EQ(m_refusals[first].outcome, RequestOutcome::MaybeRan);
    for (const RequestId id : innocents) {
        EXPECT_TRUE(m_forwarded.contains(id)) << id;
    }
    const RequestId again = send(guilty);
    EXPECT_EQ(m_refusals[again].reason, RefusalReason::CrashSuspect);
    EXPECT_EQ(m_refusals[again].outcome, RequestOutcome::RefusedNotRun);
    EXPECT_EQ(dispatchesOf(again), 0U);
}

TEST_F(RouterTest, BrokenConnectionsToLivingEndpointsLeaveNoSuspects)
{
    showEndpoints(1);
    const auto repeatable = [](CallerRequest &request) {
        request.repeatable = true;
    };
    const RequestId broken = send(repeatable);
    send(repeatable);
    m_now += 1ms;
    fail(m_dispatches[0].attempt, ConnectionLost);
    EXPECT_EQ(dispatchesOf(broken), 1U) << "It may have killed its endpoint.";
    m_now += 1ms;
    answer(m_dispatches[1].attempt);
    const RequestId again = send([&](CallerRequest &request) {
        request.repeatable = true;
        request.fingerprint = broken;
    });
    EXPECT_EQ(dispatchesOf(again), 1U);
}

TEST_F(RouterTest, TroubleOfAllEndpointsEjectsOnlySome)
{
    showEndpoints(9);
    for (int count = 0; count < 200; ++count) {
        send();
        m_now += 1ms;
        fail(m_dispatches.back().attempt, ConnectionLost);
    }
    EXPECT_EQ(m_dispatches.size(), 200U);
}

TEST_F(RouterTest, DomainsVerdictCountsHere)
{
    m_suspects = {{.fingerprint = 666, .endpoints = {EndpointId("x"), EndpointId("y")}, .ranAlone = true}};
    showEndpoints(3);
    const RequestId id = send([](CallerRequest &request) {
        request.fingerprint = 666;
    });
    EXPECT_EQ(m_refusals[id].reason, RefusalReason::CrashSuspect);
    EXPECT_TRUE(m_dispatches.empty());
}

TEST_F(RouterTest, InteractiveIsServedBeforeBatch)
{
    showEndpoints(1, [](RoutedEndpoint &endpoint) {
        endpoint.slots = 1;
    });
    std::vector<RequestId> batch;
    batch.reserve(10);
    for (int count = 0; count < 10; ++count) {
        batch.push_back(send([](CallerRequest &request) {
            request.trafficClass = TrafficClass::Batch;
        }));
    }
    const std::size_t before = m_dispatches.size();
    ASSERT_LT(before, 10U);
    const RequestId interactive = send();
    answer(m_dispatches[0].attempt);
    ASSERT_GT(m_dispatches.size(), before);
    EXPECT_EQ(m_dispatches[before].request, interactive);
}

TEST_F(RouterTest, RequestWithoutAChanceIsRefusedAtOnce)
{
    showEndpoints(1, [](RoutedEndpoint &endpoint) {
        endpoint.slots = 1;
    });
    send();
    m_now += 900ms;
    answer(m_dispatches[0].attempt);
    showEndpoints(1, [](RoutedEndpoint &endpoint) {
        endpoint.slots = 1;
    });
    RequestId last = 0;
    for (int count = 0; count < 12; ++count) {
        last = send();
    }
    ASSERT_TRUE(m_refusals.contains(last));
    EXPECT_EQ(m_refusals[last].status, 429);
    EXPECT_EQ(m_refusals[last].outcome, RequestOutcome::RefusedNotRun);
    EXPECT_GE(m_refusals[last].retryAfter, 1s);
}

TEST_F(RouterTest, NobodyWaitsForEndpointsThatAreAllGone)
{
    const RequestId id = send();
    showEndpoints(0);
    const RequestId next = send();
    EXPECT_EQ(m_refusals[next].reason, RefusalReason::NoEndpoint);
    answer(m_dispatches[0].attempt);
    EXPECT_TRUE(m_forwarded.contains(id));
}

TEST_F(RouterTest, LateInteractiveRequestIsHedgedOnceAndTheLoserCancelled)
{
    const auto interactive = [](CallerRequest &request) {
        request.repeatable = true;
    };
    for (int count = 0; count < 100; ++count) {
        send(interactive);
        m_now += 10ms;
        answer(m_dispatches.back().attempt);
    }
    const std::size_t before = m_dispatches.size();
    const RequestId id = send(interactive);
    pass(100ms);
    ASSERT_EQ(m_dispatches.size(), before + 2);
    EXPECT_NE(m_dispatches[before].endpoint, m_dispatches[before + 1].endpoint);
    answer(m_dispatches[before + 1].attempt);
    EXPECT_EQ(m_forwarded[id], m_dispatches[before + 1].attempt);
    EXPECT_EQ(m_cancelled, std::vector<AttemptId>{m_dispatches[before].attempt});
}

TEST_F(RouterTest, RetriesStayWithinTheBudget)
{
    for (int count = 0; count < 200; ++count) {
        send([](CallerRequest &request) {
            request.repeatable = true;
            request.deadline = TimePoint(2h);
        });
        answer(m_dispatches.back().attempt, {.status = 200, .notRun = true});
        pass(2s);
    }
    const RouterOptions options = testOptions();
    EXPECT_LE(m_router.retries(), static_cast<std::uint64_t>(options.target.retries.most) + 200U * 6U / 100U);
}

} // namespace

} // namespace bergamot
