#include "bergamot/reach/reach_monitor.h"

#include <gtest/gtest.h>

namespace bergamot::reach
{
namespace
{

using namespace std::chrono_literals;

Address address(int index)
{
    return {"10.0.0." + std::to_string(index), 80};
}

/// An outcome of a new connection, by endpoint; negative: it failed.
struct VerdictCase
{
    const char *name;
    int endpoints;
    std::vector<int> outcomes;
    bool cutOff;
    bool suspects;
};

class VerdictTest : public testing::TestWithParam<VerdictCase>
{ };

TEST_P(VerdictTest, FollowsFromNewConnections)
{
    ReachMonitor monitor({}, 1);
    std::set<Address> endpoints;
    for (int index = 1; index <= GetParam().endpoints; ++index) {
        endpoints.insert(address(index));
    }
    monitor.setEndpoints(endpoints);
    for (const int outcome : GetParam().outcomes) {
        if (outcome > 0) {
            monitor.connected(address(outcome), TimePoint(1h));
        } else {
            monitor.failed(address(-outcome));
        }
    }
    EXPECT_EQ(monitor.cutOff(), GetParam().cutOff);
    EXPECT_EQ(monitor.suspects(), GetParam().suspects);
}

INSTANTIATE_TEST_SUITE_P(Outcomes,
                         VerdictTest,
                         testing::Values(VerdictCase{"NothingHappened", 5, {}, false, false},
                                         VerdictCase{"OneEndpointIsGone", 5, {-1, -1, -1, -1}, false, true},
                                         VerdictCase{"TwoAreGoneAndOneIsReached", 5, {-1, -2, 3, -1}, false, true},
                                         VerdictCase{"ThreeInARow", 5, {1, -1, -2, -3}, true, true},
                                         VerdictCase{"AllOfTwo", 2, {-1, -2}, true, true},
                                         VerdictCase{"OneConnectionIsNoReturn", 5, {-1, -2, -3, 1}, true, false},
                                         VerdictCase{"TheSameEndpointTwice", 5, {-1, -2, -3, 1, 1}, true, false},
                                         VerdictCase{"AFailureBetweenThem", 5, {-1, -2, -3, 1, -2, 3}, true, false},
                                         VerdictCase{"TwoConnections", 5, {-1, -2, -3, 1, 2}, false, false},
                                         VerdictCase{"AnotherPeerDoesNotCount", 2, {-1, -7}, false, true}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST(ReachMonitorTest, ASuspicionIsProbedAtOtherEndpointsAtOnceAndThenAtIntervals)
{
    ReachMonitor monitor({.probesPerRound = 3, .probeInterval = 400ms}, 1);
    monitor.setEndpoints({address(1), address(2), address(3), address(4), address(5)});
    TimePoint now(1h);
    EXPECT_TRUE(monitor.takeProbes(now).empty());
    monitor.failed(address(1));
    const std::vector<Address> probes = monitor.takeProbes(now);
    EXPECT_EQ(probes.size(), 3U);
    EXPECT_EQ(std::count(probes.begin(), probes.end(), address(1)), 0);
    EXPECT_TRUE(monitor.takeProbes(now + 300ms).empty());
    EXPECT_FALSE(monitor.takeProbes(now + 400ms).empty());
    monitor.connected(address(2), now + 500ms);
    EXPECT_TRUE(monitor.takeProbes(now + 1s).empty());
    monitor.requestProbe();
    EXPECT_EQ(monitor.takeProbes(now + 1s).size(), 3U);
    monitor.requestProbe();
    monitor.connected(address(3), now + 1s); // answers the request
    EXPECT_TRUE(monitor.takeProbes(now + 2s).empty());
    EXPECT_TRUE(monitor.reachedSince(now + 500ms));
    EXPECT_FALSE(monitor.reachedSince(now + 1001ms));
}

/// What happens at an instance after a round of probes, and whether the next request for one is met at once.
struct NextRoundCase
{
    const char *name;
    std::vector<int> outcomes; // as above
    Duration after;
    bool probes;
};

class NextRoundTest : public testing::TestWithParam<NextRoundCase>
{ };

TEST_P(NextRoundTest, WaitsOnlyForARoundThatDidNotConnect)
{
    ReachMonitor monitor({.probesPerRound = 3, .probeInterval = 400ms}, 1);
    monitor.setEndpoints({address(1), address(2), address(3), address(4)});
    const TimePoint now(1h);
    monitor.requestProbe();
    ASSERT_EQ(monitor.takeProbes(now).size(), 3U);
    for (const int outcome : GetParam().outcomes) {
        if (outcome > 0) {
            monitor.connected(address(outcome), now + 1ms);
        } else {
            monitor.failed(address(-outcome));
        }
    }
    monitor.requestProbe();
    EXPECT_EQ(!monitor.takeProbes(now + GetParam().after).empty(), GetParam().probes);
}

INSTANTIATE_TEST_SUITE_P(Rounds,
                         NextRoundTest,
                         testing::Values(NextRoundCase{"NoOutcomeYet", {}, 100ms, false},
                                         NextRoundCase{"NoOutcomeForLong", {}, 400ms, true},
                                         NextRoundCase{"Connected", {1, 2, 3}, 100ms, true},
                                         NextRoundCase{"OneConnectedAndOneFailed", {1, -2}, 100ms, false},
                                         NextRoundCase{"CutOff", {-1, -2, -3}, 100ms, false},
                                         NextRoundCase{"CutOffAndOneConnected", {-1, -2, -3, 4}, 100ms, false}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST(ReachMonitorTest, WithoutEndpointsNobodyIsCutOff)
{
    ReachMonitor monitor({}, 1);
    monitor.setEndpoints({address(1)});
    monitor.failed(address(1));
    EXPECT_TRUE(monitor.cutOff());
    monitor.setEndpoints({});
    EXPECT_FALSE(monitor.cutOff());
    EXPECT_TRUE(monitor.reachedSince(TimePoint(1h)));
}

} // namespace
} // namespace bergamot::reach
