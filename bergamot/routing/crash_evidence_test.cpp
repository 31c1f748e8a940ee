// Tests of the router: what counts for and against a request that may have crashed its endpoint.

#include "bergamot/routing/internal/router_test_fixture.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t Suspected = 666;

class CrashEvidenceTest : public RouterTest
{
protected:
    RequestId sendSuspected(std::uint32_t mostAttempts)
    {
        return send([mostAttempts](CallerRequest &request) {
            request.fingerprint = Suspected;
            request.repeatable = true;
            request.mostAttempts = mostAttempts;
        });
    }

    /// Makes the request a suspect: its endpoint is lost, and no retry follows.
    void crashOnce()
    {
        sendSuspected(1);
        fail(m_dispatches.back().attempt, ConnectionLost);
    }
};

struct AnswerCase
{
    const char *name;
    AttemptAnswer answer;
    bool clears;
};

class AnswerEvidenceTest : public CrashEvidenceTest, public testing::WithParamInterface<AnswerCase>
{ };

TEST_P(AnswerEvidenceTest, OnlyAWholeRunClearsASuspect)
{
    showEndpoints(4);
    crashOnce();
    sendSuspected(1);
    answer(m_dispatches.back().attempt, GetParam().answer);
    pass(1s);
    const RequestId last = sendSuspected(2);
    fail(m_dispatches.back().attempt, ConnectionLost); // it ran alone, unless it was cleared
    const RequestId again = sendSuspected(1);
    EXPECT_EQ(m_refusals.contains(again) && m_refusals[again].reason == RefusalReason::CrashSuspect,
              !GetParam().clears);
    EXPECT_EQ(dispatchesOf(last), GetParam().clears ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         AnswerEvidenceTest,
                         testing::Values(AnswerCase{"Success", {.status = 200}, true},
                                         AnswerCase{"NotFound", {.status = 404}, true},
                                         AnswerCase{"OtherEndpoint", {.status = 421, .notRun = true}, false},
                                         AnswerCase{"Full", {.status = 503, .notRun = true}, false},
                                         AnswerCase{"Failure", {.status = 500}, false},
                                         AnswerCase{"OutOfTime", {.status = 504}, false}),
                         [](const auto &test) {
                             return test.param.name;
                         });

struct HeartbeatCase
{
    const char *name;
    std::uint64_t incarnation; // of the process that wrote the heartbeat; the one that was lost is 1
    Duration aliveAfterLoss; // when the process was alive, after the loss
    bool retracts;
};

class HeartbeatEvidenceTest : public CrashEvidenceTest, public testing::WithParamInterface<HeartbeatCase>
{ };

TEST_P(HeartbeatEvidenceTest, OnlyTheLostProcessRetractsItsLossAndOnlyByWhatItWroteLater)
{
    showEndpoints(4, [](RoutedEndpoint &endpoint) {
        endpoint.incarnation = 1;
    });
    crashOnce();
    const TimePoint lostAt = m_now;
    const EndpointId lost = m_dispatches.back().endpoint;
    pass(3s);
    m_router.onHeartbeat({lost, GetParam().incarnation}, lostAt + GetParam().aliveAfterLoss, m_now);
    const RequestId last = sendSuspected(2);
    fail(m_dispatches.back().attempt, ConnectionLost); // it ran alone, unless the loss was retracted
    EXPECT_EQ(dispatchesOf(last), GetParam().retracts ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(Heartbeats,
                         HeartbeatEvidenceTest,
                         testing::Values(HeartbeatCase{"Later", 1, 1s, true},
                                         HeartbeatCase{"Earlier", 1, -1s, false},
                                         HeartbeatCase{"AtTheSameTime", 1, 0s, false},
                                         HeartbeatCase{"OfTheNextProcess", 2, 1s, false}),
                         [](const auto &test) {
                             return test.param.name;
                         });

RouterOptions optionsWithoutResending()
{
    RouterOptions options = testOptions();
    options.clientResendsOnPooled = false;
    return options;
}

class SentOnceTest : public RouterTest
{
protected:
    SentOnceTest()
        : RouterTest(optionsWithoutResending())
    { }
};

// The entries of crashed endpoints stay listed for seconds, and connections to them are refused. Guards against taking
// the requests that were never sent for the cause of the crashes.
TEST_F(SentOnceTest, ARequestThatWasNeverSentIsNoSuspectAndIsRefusedAsNotRun)
{
    showEndpoints(3);
    const auto sound = [](CallerRequest &request) {
        request.fingerprint = 77;
        request.repeatable = true;
        request.mostAttempts = 2;
    };
    const RequestId refused = send(sound);
    for (std::size_t next = 0; next < m_dispatches.size(); ++next) {
        ASSERT_EQ(m_dispatches[next].connection, Connection::Pooled);
        fail(m_dispatches[next].attempt, ConnectionRefused);
        pass(1ms);
    }
    EXPECT_EQ(m_refusals[refused].outcome, RequestOutcome::RefusedNotRun);
    EXPECT_EQ(m_refusals[refused].status, 503);
    EXPECT_NE(m_refusals[refused].reason, RefusalReason::CrashSuspect);
    EXPECT_TRUE(m_router.takeCrashReports(m_now).empty());
}

} // namespace

} // namespace bergamot
