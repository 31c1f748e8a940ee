// Tests of the router with endpoints that have named a limit: requests wait for tokens, and those that get none are
// refused.

#include "bergamot/routing/internal/router_test_fixture.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

/// Limits the endpoints that have an entry.
class TokenGate final : public quota::DispatchGate
{
public:
    bool limitsAny() const override
    {
        return !tokens.empty();
    }
    bool limits(const EndpointProcess &process) const override
    {
        return tokens.contains(process.endpoint.value());
    }
    bool admits(const EndpointProcess &process, TimePoint) const override
    {
        const auto found = tokens.find(process.endpoint.value());
        return found == tokens.end() || found->second > 0;
    }
    void dispatched(const EndpointProcess &process, TimePoint) override
    {
        const auto found = tokens.find(process.endpoint.value());
        if (found != tokens.end()) {
            --found->second;
        }
    }

    std::map<std::string, int> tokens; // by endpoint
};

RouterOptions limitedOptions(TokenGate &gate)
{
    RouterOptions options = testOptions();
    options.target.pool.gate = &gate;
    options.clientResendsOnPooled = false;
    return options;
}

/// The gate outlives the router, which the next base class owns.
struct GateHolder
{
    TokenGate m_gate;
};

class RouterLimitTest : public GateHolder, public RouterTest
{
protected:
    RouterLimitTest()
        : RouterTest(limitedOptions(m_gate))
    {
        m_gate.tokens = {{"endpoint-0", 0}, {"endpoint-1", 0}, {"endpoint-2", 0}};
    }

    RequestId sendRepeatable(bool owed = false)
    {
        return send([owed](CallerRequest &request) {
            request.repeatable = true;
            request.owed = owed;
        });
    }

    /// The only open request for tokens; fails the test if there is none.
    TokenRequest takeTokenRequest()
    {
        const std::vector<TokenRequest> requests = m_router.takeTokenRequests(m_now);
        EXPECT_EQ(requests.size(), 1U);
        return requests.empty() ? TokenRequest() : requests.front();
    }

    void giveTokens(const TokenRequest &request, const std::map<std::string, int> &tokens)
    {
        for (const auto &[endpoint, count] : tokens) {
            m_gate.tokens[endpoint] += count;
        }
        m_router.onTokens(request.id, {quota::ReturnTimes{1s, 500ms}, quota::ReturnTimes{3s, 2s}}, m_now);
        collect();
    }
};

TEST_F(RouterLimitTest, RequestsWaitForTokensAndTheOthersAreRefusedAtOnceWithTheirTimes)
{
    std::vector<RequestId> ids;
    ids.reserve(5);
    for (int count = 0; count < 5; ++count) {
        ids.push_back(sendRepeatable());
    }
    EXPECT_TRUE(m_dispatches.empty());
    const TokenRequest request = takeTokenRequest();
    EXPECT_EQ(request.endpoints.size(), 3U);
    EXPECT_EQ(request.wanted[0], 5U);
    EXPECT_TRUE(m_router.takeTokenRequests(m_now).empty()) << "one request is open";
    giveTokens(request, {{"endpoint-1", 2}});
    EXPECT_EQ(m_dispatches.size(), 2U);
    for (std::size_t index = 2; index < ids.size(); ++index) {
        ASSERT_TRUE(m_refusals.contains(ids[index]));
        const RefuseAction &refusal = m_refusals[ids[index]];
        EXPECT_EQ(refusal.reason, RefusalReason::LimitReached);
        EXPECT_EQ(refusal.outcome, RequestOutcome::RefusedNotRun);
        EXPECT_EQ(refusal.status, 503);
        EXPECT_EQ(refusal.retryAfter, 1s + (static_cast<Duration::rep>(index) - 2) * Duration(500ms));
    }
    EXPECT_EQ(m_router.pending(), 2U);
}

TEST_F(RouterLimitTest, OwedRequestsAreCountedApart)
{
    const RequestId owed = sendRepeatable(true);
    const RequestId caller = sendRepeatable(false);
    const TokenRequest request = takeTokenRequest();
    EXPECT_EQ(request.wanted, (std::array<std::uint32_t, 2>{1, 1}));
    giveTokens(request, {});
    EXPECT_EQ(m_refusals[owed].retryAfter, 3s);
    EXPECT_EQ(m_refusals[caller].retryAfter, 1s);
}

TEST_F(RouterLimitTest, RequestsWaitForABusyEndpointWithoutALimit)
{
    m_gate.tokens.erase("endpoint-2");
    std::vector<RequestId> ids;
    ids.reserve(5);
    for (int count = 0; count < 3; ++count) {
        ids.push_back(sendRepeatable());
    }
    ASSERT_EQ(m_dispatches.size(), 2U);
    giveTokens(takeTokenRequest(), {});
    EXPECT_TRUE(m_refusals.empty());
    answer(m_dispatches[0].attempt);
    EXPECT_EQ(dispatchesOf(ids[2]), 1U);
    for (const DispatchAction &dispatch : m_dispatches) {
        EXPECT_EQ(dispatch.endpoint.value(), "endpoint-2");
    }
}

TEST_F(RouterLimitTest, ARetryNeedsATokenToo)
{
    m_gate.tokens["endpoint-0"] = 1;
    const RequestId id = sendRepeatable();
    ASSERT_EQ(m_dispatches.size(), 1U);
    answer(m_dispatches[0].attempt, {.status = 503, .notRun = true});
    EXPECT_EQ(dispatchesOf(id), 1U);
    giveTokens(takeTokenRequest(), {});
    EXPECT_EQ(m_refusals[id].reason, RefusalReason::LimitReached);
    EXPECT_EQ(m_refusals[id].outcome, RequestOutcome::RefusedNotRun);
}

TEST_F(RouterLimitTest, ARetryOnAFreshConnectionNeedsATokenToo)
{
    m_gate.tokens["endpoint-0"] = 2;
    const RequestId first = sendRepeatable();
    answer(m_dispatches[0].attempt);
    const RequestId id = sendRepeatable();
    ASSERT_EQ(dispatchesOf(id), 1U);
    fail(m_dispatches.back().attempt, NoAnswer); // on a connection that may have gone silent
    EXPECT_EQ(dispatchesOf(id), 1U);
    EXPECT_TRUE(m_forwarded.contains(first));
}

TEST_F(RouterLimitTest, AHedgeNeedsATokenToo)
{
    m_gate.tokens.clear();
    for (int count = 0; count < 100; ++count) {
        sendRepeatable();
        m_now += 10ms;
        answer(m_dispatches.back().attempt);
    }
    m_gate.tokens = {{"endpoint-0", 1}, {"endpoint-1", 0}, {"endpoint-2", 0}};
    const RequestId id = sendRepeatable();
    pass(100ms);
    EXPECT_EQ(dispatchesOf(id), 1U);
}

TEST_F(RouterLimitTest, ASuspectThatRunsAloneNeedsATokenToo)
{
    const auto suspect = [](CallerRequest &request) {
        request.fingerprint = 666;
        request.repeatable = true;
    };
    m_router.onCrashReports({{.fingerprint = 666, .crashes = {{.process = {EndpointId("x"), 1}}}}}, m_now);
    const RequestId refused = send(suspect);
    EXPECT_EQ(dispatchesOf(refused), 0U);
    giveTokens(takeTokenRequest(), {});
    EXPECT_EQ(m_refusals[refused].reason, RefusalReason::LimitReached);
    const RequestId run = send(suspect);
    const TokenRequest request = takeTokenRequest();
    ASSERT_FALSE(request.endpoints.empty());
    giveTokens(request, {{"endpoint-0", 1}, {"endpoint-1", 1}, {"endpoint-2", 1}});
    EXPECT_EQ(dispatchesOf(run), 1U);
}

TEST_F(RouterLimitTest, RequestsThatWaitAreServedWhenTheLimitEnds)
{
    const RequestId id = sendRepeatable();
    const TokenRequest request = takeTokenRequest();
    m_gate.tokens.clear();
    giveTokens(request, {});
    EXPECT_EQ(dispatchesOf(id), 1U);
}

TEST_F(RouterLimitTest, ACallerThatLeavesWhileTokensAreRequestedIsNotAnswered)
{
    const RequestId id = sendRepeatable();
    const TokenRequest request = takeTokenRequest();
    m_router.onCallerDisconnected(id, m_now);
    giveTokens(request, {{"endpoint-0", 1}});
    EXPECT_EQ(m_ends.count(id), 0U);
    EXPECT_TRUE(m_dispatches.empty());
}

} // namespace

} // namespace bergamot
