// Tests that a request which resumes a stream runs only at endpoints of the software version that began it.

#include <gtest/gtest.h>

#include "bergamot/routing/router.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

struct ListedEndpoint
{
    const char *id;
    const char *software;
    bool beginsStreams = true;
};

class RouterSoftwareTest : public testing::Test
{
protected:
    void list(const std::vector<ListedEndpoint> &endpoints)
    {
        RoutingTable table;
        table.targets["llm"];
        for (const ListedEndpoint &endpoint : endpoints) {
            table.targets["llm"].endpoints.push_back(
                {.id = EndpointId(endpoint.id),
                 .address = {"10.0.0.1", static_cast<std::uint16_t>(endpoint.id[1])},
                 .slots = 1,
                 .incarnation = 1,
                 .softwareVersion = endpoint.software,
                 .beginsStreams = endpoint.beginsStreams});
        }
        m_router.onView(table, m_now);
        collect();
    }

    void send(RequestId id, const std::string &software, bool beginsStream = false)
    {
        m_router.onRequest({.id = id,
                            .target = "llm",
                            .deadline = m_now + 10s,
                            .repeatable = true,
                            .streaming = true,
                            .softwareVersion = software,
                            .beginsStream = beginsStream},
                           m_now);
        collect();
    }

    void advance(Duration duration)
    {
        m_now += duration;
        m_router.tick(m_now);
        collect();
    }

    void collect()
    {
        for (const Action &action : m_router.takeActions()) {
            if (const auto *dispatch = std::get_if<DispatchAction>(&action)) {
                m_dispatches.push_back(*dispatch);
            } else if (const auto *refusal = std::get_if<RefuseAction>(&action)) {
                m_refusals[refusal->request] = *refusal;
            }
        }
    }

    static RouterOptions options()
    {
        RouterOptions options;
        options.target.pool.limit.initial = 1; // one request at a time at each endpoint
        options.target.pool.limit.minimum = 1;
        options.target.pool.interactiveBurst = 0;
        return options;
    }

    Router m_router{options(), 1};
    TimePoint m_now{1h};
    std::vector<DispatchAction> m_dispatches;
    std::map<RequestId, RefuseAction> m_refusals;
};

TEST_F(RouterSoftwareTest, AResumptionGoesOnlyToItsVersion)
{
    list({{"e1", "v1"}, {"e2", "v2"}, {"e3", "v2"}});
    send(1, "v1");
    ASSERT_EQ(m_dispatches.size(), 1U);
    EXPECT_EQ(m_dispatches[0].endpoint.value(), "e1");
    EXPECT_EQ(m_dispatches[0].softwareVersion, "v1");
}

TEST_F(RouterSoftwareTest, WithoutAnEndpointOfItsVersionAResumptionIsRefusedAtOnceAsNotRun)
{
    list({{"e1", "v1"}, {"e2", ""}});
    send(1, "v2");
    ASSERT_TRUE(m_refusals.contains(1));
    EXPECT_EQ(m_refusals[1].status, 503);
    EXPECT_EQ(m_refusals[1].outcome, RequestOutcome::RefusedNotRun);
    EXPECT_EQ(m_refusals[1].reason, RefusalReason::NoSuchSoftware);
}

// The endpoint of the old version is busy, and new requests keep coming.
TEST_F(RouterSoftwareTest, AResumptionWaitsForItsVersionAndHoldsUpNobody)
{
    list({{"e1", "v1"}, {"e2", "v2"}});
    send(1, "v1");
    send(2, "v1");
    EXPECT_TRUE(m_refusals.empty());
    send(3, "");
    ASSERT_EQ(m_dispatches.size(), 2U);
    EXPECT_EQ(m_dispatches[1].endpoint.value(), "e2");
    send(4, "");
    m_router.onAnswered(m_dispatches[0].attempt, {}, m_now);
    collect();
    ASSERT_EQ(m_dispatches.size(), 3U);
    EXPECT_EQ(m_dispatches[2].request, 2U); // before the request that any endpoint can run
}

TEST_F(RouterSoftwareTest, AResumptionDoesNotWaitUntilItsDeadline)
{
    list({{"e1", "v1"}, {"e2", "v2"}});
    send(1, "v1");
    send(2, "v1");
    advance(1100ms);
    ASSERT_TRUE(m_refusals.contains(2));
    EXPECT_EQ(m_refusals[2].outcome, RequestOutcome::RefusedNotRun);
}

TEST_F(RouterSoftwareTest, AWaitingResumptionIsRefusedWhenTheLastEndpointOfItsVersionIsGone)
{
    list({{"e1", "v1"}, {"e2", "v2"}});
    send(1, "v1");
    send(2, "v1");
    list({{"e2", "v2"}});
    EXPECT_TRUE(m_refusals.contains(2));
}

TEST_F(RouterSoftwareTest, ARetryStaysAtTheVersion)
{
    list({{"e1", "v1"}, {"e2", "v2"}, {"e3", "v1"}});
    send(1, "v1");
    m_router.onFailed(m_dispatches[0].attempt, {.proof = DeliveryProof::NotRun}, m_now);
    collect();
    advance(100ms);
    ASSERT_EQ(m_dispatches.size(), 2U);
    EXPECT_EQ(m_dispatches[1].softwareVersion, "v1");
    EXPECT_NE(m_dispatches[1].endpoint, m_dispatches[0].endpoint);
}

TEST_F(RouterSoftwareTest, StreamsBeginOnlyWhereTheyMay)
{
    list({{"e1", "v1"}, {"e2", "v2", false}});
    send(1, "", true);
    ASSERT_EQ(m_dispatches.size(), 1U);
    EXPECT_EQ(m_dispatches[0].endpoint.value(), "e1");
    list({{"e2", "v2", false}});
    send(2, "", true);
    EXPECT_EQ(m_refusals[2].reason, RefusalReason::NoEndpoint);
}

} // namespace
} // namespace bergamot
