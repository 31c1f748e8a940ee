// Tests of the router: requests that crash endpoints, failures of many endpoints, overload, hedges and retries.

#include "bergamot/routing/internal/router_test_fixture.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

TEST_F(RouterTest, RequestThatCrashesTwoEndpointsIsRefusedAndConcurrentOnesAreCleared)
{
    showEndpoints(4);
    constexpr std::uint64_t CrashingFingerprint = 666;
    const auto crashing = [](CallerRequest &request) {
        request.fingerprint = CrashingFingerprint;
        request.repeatable = true;
    };
    const RequestId first = send(crashing);
    const AttemptId firstAttempt = m_dispatches.back().attempt;
    const EndpointId crashedEndpoint = m_dispatches.back().endpoint;
    std::vector<RequestId> concurrent;
    concurrent.reserve(12);
    for (int count = 0; count < 12; ++count) {
        concurrent.push_back(send([](CallerRequest &request) {
            request.repeatable = true;
        }));
    }
    const std::vector<DispatchAction> running = m_dispatches;
    fail(firstAttempt, ConnectionLost);
    for (const DispatchAction &dispatch : running) {
        if (dispatch.endpoint == crashedEndpoint && dispatch.attempt != firstAttempt) {
            fail(dispatch.attempt, ConnectionLost);
        }
    }
    std::set<EndpointId> crashedEndpoints{crashedEndpoint};
    for (std::size_t next = 1; next < m_dispatches.size(); ++next) {
        const DispatchAction dispatch = m_dispatches[next];
        if (dispatch.request == first) {
            crashedEndpoints.insert(dispatch.endpoint);
            fail(dispatch.attempt, ConnectionLost);
        } else if (!m_ends.contains(dispatch.request)) {
            answer(dispatch.attempt);
        }
        pass(1ms);
    }
    EXPECT_EQ(crashedEndpoints.size(), 2U);
    EXPECT_EQ(m_ends[first], 1);
    EXPECT_EQ(m_refusals[first].outcome, RequestOutcome::MaybeRan);
    for (const RequestId id : concurrent) {
        EXPECT_TRUE(m_forwarded.contains(id)) << id;
    }
    const RequestId again = send(crashing);
    EXPECT_EQ(m_refusals[again].reason, RefusalReason::CrashSuspect);
    EXPECT_EQ(m_refusals[again].outcome, RequestOutcome::RefusedNotRun);
    EXPECT_EQ(dispatchesOf(again), 0U);
}

TEST_F(RouterTest, CrashesOnReusedConnectionsCountAgainstARequest)
{
    // The HTTP library retries once by itself when a reused connection breaks. If the endpoint is down, that ends as
    // "not sent", although the first try may have crashed the endpoint.
    showEndpoints(4);
    const RequestId id = send([](CallerRequest &request) {
        request.repeatable = true;
    });
    std::set<EndpointId> crashedEndpoints;
    for (std::size_t next = 0; next < m_dispatches.size(); ++next) {
        const DispatchAction dispatch = m_dispatches[next];
        crashedEndpoints.insert(dispatch.endpoint);
        const bool isReused = dispatch.connection == Connection::Pooled;
        fail(dispatch.attempt, isReused ? AttemptFailure{.proof = DeliveryProof::NotRun} : ConnectionLost);
        pass(1ms);
    }
    EXPECT_EQ(crashedEndpoints.size(), 2U);
    EXPECT_EQ(m_refusals[id].reason, RefusalReason::CrashSuspect);
    EXPECT_EQ(m_refusals[id].outcome, RequestOutcome::MaybeRan);
}

TEST_F(RouterTest, BrokenConnectionsToRunningEndpointsLeaveNoSuspects)
{
    showEndpoints(1);
    const auto repeatable = [](CallerRequest &request) {
        request.repeatable = true;
    };
    const RequestId broken = send(repeatable);
    send(repeatable);
    m_now += 1ms;
    fail(m_dispatches[0].attempt, ConnectionLost);
    EXPECT_EQ(dispatchesOf(broken), 1U) << "The request may have crashed its endpoint.";
    m_now += 1ms;
    answer(m_dispatches[1].attempt);
    const RequestId again = send([&](CallerRequest &request) {
        request.repeatable = true;
        request.fingerprint = broken;
    });
    EXPECT_EQ(dispatchesOf(again), 1U);
}

// Endpoints run a request and lose the answer repeatedly without crashing. Guards against refusing such a request once
// the endpoints are known to have stayed alive.
TEST_F(RouterTest, EndpointsThatAreAliveAfterwardsDidNotCrash)
{
    showEndpoints(4);
    const auto withLostAnswer = [](CallerRequest &request) {
        request.fingerprint = 77;
        request.repeatable = true;
    };
    const RequestId first = send(withLostAnswer);
    for (std::size_t next = 0; next < m_dispatches.size(); ++next) {
        fail(m_dispatches[next].attempt, ConnectionLost);
        pass(1ms);
    }
    ASSERT_EQ(m_refusals[first].reason, RefusalReason::CrashSuspect);
    const TimePoint lostBy = m_now;
    pass(2s);
    for (const char *endpoint : {"endpoint-0", "endpoint-1", "endpoint-2", "endpoint-3"}) {
        m_router.onHeartbeat({EndpointId(endpoint)}, lostBy, m_now);
    }
    const RequestId again = send(withLostAnswer);
    EXPECT_FALSE(m_refusals.contains(again));
    EXPECT_EQ(dispatchesOf(again), 1U);
}

/// A burst of crashes: waves in short succession, the burst again after a while, then calm.
struct CrashBurst
{
    const char *name;
    bool newIds; // the endpoints come back under new ids
};

class CrashBurstTest : public RouterTest, public testing::WithParamInterface<CrashBurst>
{
protected:
    static constexpr int Endpoints = 4;
    static constexpr Duration BackAfter = 400ms; // from a crash to the new start
    static constexpr Duration RepeatAfter = 150ms; // from a refusal to the next request

    void showRunningEndpoints()
    {
        showEndpoints(Endpoints, [this](RoutedEndpoint &endpoint) {
            endpoint.id = EndpointId(endpoint.id.value() + "-" + std::to_string(m_starts[endpoint.id.value()]));
        });
    }

    /// Crashes the endpoints that run the newest request. They are back when this returns.
    void crashWave()
    {
        const std::vector<DispatchAction> dispatched = m_dispatches;
        for (const DispatchAction &dispatch : dispatched) {
            if (dispatch.request != m_newest || m_ends.contains(m_newest) || !m_ended.insert(dispatch.attempt).second) {
                continue;
            }
            ++m_crashes;
            if (GetParam().newIds) {
                const std::string id = dispatch.endpoint.value();
                ++m_starts[id.substr(0, id.rfind('-'))];
            }
            fail(dispatch.attempt, ConnectionLost);
        }
        showRunningEndpoints();
        for (Duration waited{}; waited < BackAfter; waited += 50ms) {
            pass(50ms);
            sendIfEnded();
        }
    }

    void sendIfEnded()
    {
        if (m_newest == 0 || (m_ends.contains(m_newest) && m_now >= m_nextAt)) {
            m_nextAt = m_now + RepeatAfter;
            m_newest = send([](CallerRequest &request) {
                request.fingerprint = 666;
                request.repeatable = true;
                request.owed = true;
                request.mostAttempts = 3;
            });
        }
    }

    std::map<std::string, int> m_starts;
    std::set<AttemptId> m_ended;
    RequestId m_newest = 0;
    TimePoint m_nextAt{};
    int m_crashes = 0;
};

TEST_P(CrashBurstTest, AnOwedRequestIsAnsweredSoonAfterTheBurst)
{
    showRunningEndpoints();
    sendIfEnded();
    for (int burst = 0; burst < 3; ++burst) {
        for (int wave = 0; wave < 5; ++wave) {
            crashWave();
        }
        pass(6s - 5 * BackAfter);
        sendIfEnded();
    }
    EXPECT_GE(m_crashes, 6);
    constexpr Duration WithinAfterCalm = 1s;
    const TimePoint calmAt = m_now;
    while (m_now - calmAt < WithinAfterCalm && !m_forwarded.contains(m_newest)) {
        sendIfEnded();
        if (!m_ends.contains(m_newest) && dispatchesOf(m_newest) > 0) {
            answer(m_dispatches.back().attempt);
        }
        pass(50ms);
    }
    EXPECT_TRUE(m_forwarded.contains(m_newest)) << refusalReasonName(m_refusals[m_newest].reason);
    for (const auto &[id, refusal] : m_refusals) {
        EXPECT_NE(refusal.reason, RefusalReason::CrashSuspect) << id;
    }
}

INSTANTIATE_TEST_SUITE_P(Endpoints,
                         CrashBurstTest,
                         testing::Values(CrashBurst{"ComeBackUnderNewIds", true},
                                         CrashBurst{"ComeBackUnderTheirIds", false}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST_F(RouterTest, FailuresOfAllEndpointsEjectOnlySome)
{
    showEndpoints(9);
    for (int count = 0; count < 200; ++count) {
        send();
        m_now += 1ms;
        fail(m_dispatches.back().attempt, ConnectionLost);
    }
    EXPECT_EQ(m_dispatches.size(), 200U);
}

TEST_F(RouterTest, RequestRefusedByTheDomainIsRefused)
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

TEST_F(RouterTest, RequestThatWouldMissItsDeadlineIsRefusedAtOnce)
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

TEST_F(RouterTest, RequestIsRefusedAtOnceWhenAllEndpointsAreRemoved)
{
    const RequestId id = send();
    showEndpoints(0);
    const RequestId next = send();
    EXPECT_EQ(m_refusals[next].reason, RefusalReason::NoEndpoint);
    answer(m_dispatches[0].attempt);
    EXPECT_TRUE(m_forwarded.contains(id));
}

TEST_F(RouterTest, LateInteractiveRequestIsHedgedOnceAndTheSlowerAttemptCancelled)
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

class HedgedStreamTest : public RouterTest, public testing::WithParamInterface<std::size_t>
{ };

// An endpoint of a route without streams answers with one. The answer of the other attempt must not follow its events.
TEST_P(HedgedStreamTest, TheOtherAttemptEndsOnceOneHasBegunToStream)
{
    const auto interactive = [](CallerRequest &request) {
        request.repeatable = true;
    };
    for (int count = 0; count < 100; ++count) {
        send(interactive);
        m_now += 10ms;
        answer(m_dispatches.back().attempt);
    }
    const std::size_t first = m_dispatches.size();
    const RequestId id = send(interactive);
    pass(100ms);
    ASSERT_EQ(m_dispatches.size(), first + 2);
    const AttemptId streaming = m_dispatches[first + GetParam()].attempt;
    const AttemptId other = m_dispatches[first + 1 - GetParam()].attempt;
    m_router.onStreamStarted(streaming, m_now);
    collect();
    EXPECT_EQ(m_cancelled, std::vector<AttemptId>{other});
    answer(other, {.status = 500});
    EXPECT_FALSE(m_forwarded.contains(id));
    fail(streaming, ConnectionLost);
    EXPECT_EQ(m_aborted, std::vector<RequestId>{id});
}

INSTANTIATE_TEST_SUITE_P(Attempts, HedgedStreamTest, testing::Values(0U, 1U));

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
    EXPECT_LE(m_router.retries(), static_cast<std::uint64_t>(options.target.retries.maxBudget) + 200U * 6U / 100U);
}

} // namespace

} // namespace bergamot
