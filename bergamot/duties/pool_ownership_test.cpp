#include "bergamot/duties/pool_ownership.h"

#include <gtest/gtest.h>

namespace bergamot::duties
{
namespace
{

using namespace std::chrono_literals;

class PoolOwnershipTest : public testing::Test
{
protected:
    PoolOwnership m_ownership{"me", {}, 1};
    TimePoint m_start{1h};
};

struct SilenceCase
{
    const char *name;
    Duration renewedAt; // after the claim; zero: never
    bool released;
    Duration outageUntil; // the log could not be read until then; zero: no outage
    Duration after;
    bool claims;
};

class SilenceTest : public PoolOwnershipTest, public testing::WithParamInterface<SilenceCase>
{ };

TEST_P(SilenceTest, AClaimFollowsSilenceOfTheOwnerInAReadableLog)
{
    m_ownership.applyClaim("other", 1, m_start);
    if (GetParam().renewedAt > 0s) {
        m_ownership.applyRenewal(1, m_start + GetParam().renewedAt);
    }
    if (GetParam().released) {
        m_ownership.applyRelease(1, m_start);
    }
    if (GetParam().outageUntil > 0s) {
        m_ownership.logReturned(m_start + GetParam().outageUntil);
    }
    EXPECT_EQ(m_ownership.shouldClaim(m_start + GetParam().after), GetParam().claims);
}

INSTANTIATE_TEST_SUITE_P(Silences,
                         SilenceTest,
                         testing::Values(SilenceCase{"Short", 0s, false, 0s, 1500ms, false},
                                         SilenceCase{"Long", 0s, false, 0s, 2s, true},
                                         SilenceCase{"Renewed", 1s, false, 0s, 2s, false},
                                         SilenceCase{"Released", 0s, true, 0s, 400ms, true},
                                         SilenceCase{"AfterAnOutage", 0s, false, 5s, 6s, false},
                                         SilenceCase{"LongAfterAnOutage", 0s, false, 5s, 7s, true}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST_F(PoolOwnershipTest, TheFirstClaimOfAnEpochCounts)
{
    m_ownership.applyClaim("other", 4, m_start);
    m_ownership.applyClaim("me", 4, m_start);
    EXPECT_FALSE(m_ownership.owns());
    m_ownership.applyClaim("me", 5, m_start);
    EXPECT_TRUE(m_ownership.owns());
    EXPECT_EQ(m_ownership.epoch(), 5U);
}

TEST_F(PoolOwnershipTest, AFencedOwnerOwnsNothingBeforeItHasReadTheClaim)
{
    m_ownership.applyClaim("me", 1, m_start);
    m_ownership.fenced();
    EXPECT_FALSE(m_ownership.owns());
    EXPECT_FALSE(m_ownership.mayOrder("e", m_start));
}

TEST_F(PoolOwnershipTest, OneThatRetiresClaimsNoMore)
{
    m_ownership.logReturned(m_start);
    m_ownership.retire();
    EXPECT_FALSE(m_ownership.shouldClaim(m_start + 1h));
}

struct OrderCase
{
    const char *name;
    std::uint64_t orderEpoch; // of the newest order to the engine; 0: none
    Duration after;
    bool may;
};

class OrderTest : public PoolOwnershipTest, public testing::WithParamInterface<OrderCase>
{ };

TEST_P(OrderTest, OrdersOfTwoOwnersToOneEngineStayApart)
{
    m_ownership.applyClaim("other", 1, m_start);
    m_ownership.applyClaim("me", 2, m_start);
    if (GetParam().orderEpoch > 0) {
        m_ownership.applyLoadIntent(GetParam().orderEpoch, "e", m_start);
    }
    EXPECT_EQ(m_ownership.mayOrder("e", m_start + GetParam().after), GetParam().may);
    EXPECT_TRUE(m_ownership.mayOrder("another engine", m_start));
}

INSTANTIATE_TEST_SUITE_P(Orders,
                         OrderTest,
                         testing::Values(OrderCase{"NoneBefore", 0, 0s, true},
                                         OrderCase{"OwnOrder", 2, 0s, true},
                                         OrderCase{"EarlierOwnerJustNow", 1, 1s, false},
                                         OrderCase{"EarlierOwnerLongAgo", 1, 4s, true}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot::duties
