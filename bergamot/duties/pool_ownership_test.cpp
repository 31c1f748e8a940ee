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

struct OwnerSilenceCase
{
    const char *name;
    Duration renewedAt; // time after the claim; zero: no renewal
    bool released;
    Duration outageUntil; // time after the claim at which the log becomes readable again; zero: no outage
    Duration after; // time after the claim
    bool claims;
};

class OwnerSilenceTest : public PoolOwnershipTest, public testing::WithParamInterface<OwnerSilenceCase>
{ };

TEST_P(OwnerSilenceTest, AClaimFollowsOnlyAfterTheOwnerWasSilentInAReadableLog)
{
    m_ownership.applyClaim("other", 1, m_start);
    if (GetParam().renewedAt > 0s) {
        m_ownership.applyRenewal(1, m_start + GetParam().renewedAt);
    }
    if (GetParam().released) {
        m_ownership.applyRelease(1, m_start);
    }
    if (GetParam().outageUntil > 0s) {
        m_ownership.logRecovered(m_start + GetParam().outageUntil);
    }
    EXPECT_EQ(m_ownership.shouldClaim(m_start + GetParam().after), GetParam().claims);
}

INSTANTIATE_TEST_SUITE_P(OwnerSilence,
                         OwnerSilenceTest,
                         testing::Values(OwnerSilenceCase{"Short", 0s, false, 0s, 1500ms, false},
                                         OwnerSilenceCase{"Long", 0s, false, 0s, 2s, true},
                                         OwnerSilenceCase{"Renewed", 1s, false, 0s, 2s, false},
                                         OwnerSilenceCase{"Released", 0s, true, 0s, 400ms, true},
                                         OwnerSilenceCase{"AfterAnOutage", 0s, false, 5s, 6s, false},
                                         OwnerSilenceCase{"LongAfterAnOutage", 0s, false, 5s, 7s, true}),
                         [](const auto &test) {
                             return test.param.name;
                         });

struct PauseCase
{
    const char *name;
    Duration between; // two ticks
    Duration confirmedAt; // time after the first tick
    bool decides;
};

class PauseTest : public PoolOwnershipTest, public testing::WithParamInterface<PauseCase>
{ };

// A process that was frozen has an old view: the owner seems silent although it has renewed all the time.
TEST_P(PauseTest, AClaimFollowsAPauseOnlyAfterARead)
{
    m_ownership.applyClaim("other", 1, m_start - 1h);
    m_ownership.tick(m_start, m_start);
    m_ownership.tick(m_start + GetParam().between, m_start + GetParam().confirmedAt);
    EXPECT_EQ(m_ownership.shouldClaim(m_start + GetParam().between), GetParam().decides);
    EXPECT_EQ(m_ownership.shouldProbeOwner(m_start + GetParam().between), GetParam().decides);
}

INSTANTIATE_TEST_SUITE_P(Pauses,
                         PauseTest,
                         testing::Values(PauseCase{"None", 100ms, 0s, true},
                                         PauseCase{"NothingReadSince", 5s, 1s, false},
                                         PauseCase{"ReadSince", 5s, 5s, true}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST_F(PoolOwnershipTest, TheFirstClaimOfAnEpochCounts)
{
    m_ownership.applyClaim("other", 4, m_start);
    m_ownership.applyClaim("me", 4, m_start);
    EXPECT_FALSE(m_ownership.isOwner());
    m_ownership.applyClaim("me", 5, m_start);
    EXPECT_TRUE(m_ownership.isOwner());
    EXPECT_EQ(m_ownership.epoch(), 5U);
}

TEST_F(PoolOwnershipTest, AFencedOwnerOwnsNothingBeforeItHasReadTheClaim)
{
    m_ownership.applyClaim("me", 1, m_start);
    m_ownership.onFenced();
    EXPECT_FALSE(m_ownership.isOwner());
    EXPECT_FALSE(m_ownership.mayOrderLoad("e", m_start));
}

TEST_F(PoolOwnershipTest, ARetiredInstanceClaimsNothing)
{
    m_ownership.logRecovered(m_start);
    m_ownership.stopClaiming();
    EXPECT_FALSE(m_ownership.shouldClaim(m_start + 1h));
}

struct OrderLeaseCase
{
    const char *name;
    std::uint64_t orderEpoch; // epoch of the latest order to the engine; 0: no order
    Duration after;
    bool allowed;
};

class OrderLeaseTest : public PoolOwnershipTest, public testing::WithParamInterface<OrderLeaseCase>
{ };

TEST_P(OrderLeaseTest, OrdersOfTwoOwnersToOneEngineAreALeaseApart)
{
    m_ownership.applyClaim("other", 1, m_start);
    m_ownership.applyClaim("me", 2, m_start);
    if (GetParam().orderEpoch > 0) {
        m_ownership.applyLoadIntent(GetParam().orderEpoch, "e", m_start);
    }
    EXPECT_EQ(m_ownership.mayOrderLoad("e", m_start + GetParam().after), GetParam().allowed);
    EXPECT_TRUE(m_ownership.mayOrderLoad("another engine", m_start));
}

INSTANTIATE_TEST_SUITE_P(Orders,
                         OrderLeaseTest,
                         testing::Values(OrderLeaseCase{"NoneBefore", 0, 0s, true},
                                         OrderLeaseCase{"OwnOrder", 2, 0s, true},
                                         OrderLeaseCase{"EarlierOwnerJustNow", 1, 1s, false},
                                         OrderLeaseCase{"EarlierOwnerLongAgo", 1, 4s, true}),
                         [](const auto &test) {
                             return test.param.name;
                         });

struct ProbeCase
{
    const char *name;
    Duration renewedAt; // time after the claim; zero: no renewal
    Duration recoveredAt; // time after the claim at which the log becomes readable again; zero: no outage
    Duration after; // time after the claim
    bool probes;
};

class ProbeTest : public PoolOwnershipTest, public testing::WithParamInterface<ProbeCase>
{ };

TEST_P(ProbeTest, ASilentOwnerIsProbed)
{
    m_ownership.applyClaim("other", 1, m_start);
    if (GetParam().renewedAt > 0s) {
        m_ownership.applyRenewal(1, m_start + GetParam().renewedAt);
    }
    if (GetParam().recoveredAt > 0s) {
        m_ownership.logRecovered(m_start + GetParam().recoveredAt);
    }
    EXPECT_EQ(m_ownership.shouldProbeOwner(m_start + GetParam().after), GetParam().probes);
}

INSTANTIATE_TEST_SUITE_P(Silences,
                         ProbeTest,
                         testing::Values(ProbeCase{"Short", 0s, 0s, 400ms, false},
                                         ProbeCase{"Long", 0s, 0s, 900ms, true},
                                         ProbeCase{"Renewed", 500ms, 0s, 900ms, false},
                                         ProbeCase{"AfterAnOutageOrAStart", 0s, 100ms, 450ms, true}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST_F(PoolOwnershipTest, AnOwnerThatIsGoneIsSucceededAtOnce)
{
    m_ownership.applyClaim("other", 1, m_start);
    m_ownership.onOwnerGone("another", m_start + 100ms);
    EXPECT_FALSE(m_ownership.shouldClaim(m_start + 500ms)) << "a probe of an earlier owner";
    m_ownership.onOwnerGone("other", m_start + 600ms);
    EXPECT_TRUE(m_ownership.shouldClaim(m_start + 900ms));
    EXPECT_FALSE(m_ownership.shouldProbeOwner(m_start + 1h));
}

TEST_F(PoolOwnershipTest, AnInstanceNeverProbesOrSucceedsItself)
{
    m_ownership.applyClaim("me", 1, m_start);
    EXPECT_FALSE(m_ownership.shouldProbeOwner(m_start + 1h));
    m_ownership.onOwnerGone("me", m_start);
    EXPECT_TRUE(m_ownership.isOwner());
}

struct RestoredOrderCase
{
    const char *name;
    Duration orderAge; // when the snapshot was taken
    Duration after; // time after the snapshot was restored
    bool allowed;
};

class RestoredOrderTest : public PoolOwnershipTest, public testing::WithParamInterface<RestoredOrderCase>
{ };

TEST_P(RestoredOrderTest, ARestoredOrderCountsAsSentAtTheRestore)
{
    m_ownership.applyClaim("other", 7, m_start);
    m_ownership.applyLoadIntent(7, "e", m_start - GetParam().orderAge);
    PoolOwnership restored("me", {}, 2);
    restored.restore(m_ownership.state(m_start), m_start);
    EXPECT_EQ(restored.epoch(), 7U);
    EXPECT_EQ(restored.owner(), "other");
    restored.applyClaim("me", 8, m_start);
    EXPECT_EQ(restored.mayOrderLoad("e", m_start + GetParam().after), GetParam().allowed);
}

INSTANTIATE_TEST_SUITE_P(Ages,
                         RestoredOrderTest,
                         testing::Values(RestoredOrderCase{"Recent", 1s, 3s, false},
                                         RestoredOrderCase{"RecentAndLeaseOver", 1s, 3400ms, true},
                                         RestoredOrderCase{"Old", 4s, 0s, true}),
                         [](const auto &test) {
                             return test.param.name;
                         });

// The store deletes old records. An instance that starts then sees renewals of an epoch whose claim is gone.
TEST_F(PoolOwnershipTest, ARenewalOfAnUnknownClaimTellsTheEpoch)
{
    m_ownership.logRecovered(m_start);
    m_ownership.applyRenewal(9, m_start);
    EXPECT_EQ(m_ownership.epoch(), 9U);
    EXPECT_FALSE(m_ownership.isOwner());
    EXPECT_FALSE(m_ownership.shouldClaim(m_start + 1s)) << "the unknown owner is alive";
    EXPECT_TRUE(m_ownership.shouldClaim(m_start + 2s));
    EXPECT_EQ(m_ownership.nextEpoch(), 10U);
}

TEST_F(PoolOwnershipTest, AClaimBelowAnUnknownEpochIsRaisedUntilItIsHighEnough)
{
    int claims = 0;
    for (constexpr std::uint64_t EpochAtTheStore = 1000; m_ownership.nextEpoch() <= EpochAtTheStore; ++claims) {
        m_ownership.onClaimFenced();
    }
    EXPECT_LE(claims, 10);
    m_ownership.applyClaim("other", 1200, m_start);
    EXPECT_EQ(m_ownership.nextEpoch(), 1201U);
}

} // namespace
} // namespace bergamot::duties
