#include <gtest/gtest.h>

#include "bergamot/membership/internal/simulated_fleet.h"

namespace bergamot
{
namespace
{

using internal::SimulatedFleet;
using internal::SimulatedFleetOptions;
using namespace std::chrono_literals;

constexpr Duration InForceLimit = 7s; // target time until a change is in force on every instance

/// Creates a fleet and runs it until the relays are chosen and every instance has the first change.
std::unique_ptr<SimulatedFleet> makeStableFleet(SimulatedFleetOptions options = {})
{
    auto fleet = std::make_unique<SimulatedFleet>(options);
    fleet->publishChange();
    fleet->run(15s);
    return fleet;
}

class LossyNetwork : public testing::TestWithParam<std::uint64_t>
{ };

TEST_P(LossyNetwork, everyNodeReachesTheNewestVersionInTimeAndNeverAnOlderOne)
{
    SimulatedFleet fleet({.domains = 3, .instancesPerDomain = 18, .seed = GetParam(), .dropProbability = 0.05});
    fleet.publishChange();
    fleet.run(15s);
    for (int change = 0; change < 10; ++change) {
        const std::uint64_t version = fleet.publishChange();
        EXPECT_TRUE(fleet.timeUntilEverywhere(version, InForceLimit)) << fleet.missing(version).size() << " missing";
        fleet.run(std::chrono::milliseconds(300 * change));
    }
    EXPECT_FALSE(fleet.hasRegressed());
}

INSTANTIATE_TEST_SUITE_P(Seeds, LossyNetwork, testing::Range<std::uint64_t>(1, 7));

TEST(Dissemination, onlyTwoInstancesOfEachDomainReadTheLog)
{
    const auto stableFleet = makeStableFleet();
    SimulatedFleet &fleet = *stableFleet;
    std::map<std::string, std::uint64_t> before;
    for (const std::string &instance : fleet.instances()) {
        before[instance] = fleet.traffic(instance).logReads;
    }
    fleet.run(10s);
    for (std::size_t domain = 0; domain < 3; ++domain) {
        EXPECT_EQ(fleet.relays(SimulatedFleet::domainName(domain)).size(), 2U);
    }
    std::size_t readers = 0;
    for (const std::string &instance : fleet.instances()) {
        readers += fleet.traffic(instance).logReads > before[instance] ? 1 : 0;
    }
    EXPECT_EQ(readers, 6U);
}

TEST(Dissemination, everyInstanceSeesEveryEndpointAndMember)
{
    const auto stableFleet = makeStableFleet();
    SimulatedFleet &fleet = *stableFleet;
    for (const std::string &instance : fleet.instances()) {
        const inner::ViewT view = fleet.node(instance).view(fleet.now());
        EXPECT_EQ(view.endpoints.size(), 12U) << instance;
        EXPECT_EQ(view.members.size(), 18U) << instance;
        EXPECT_TRUE(view.confirmed);
    }
}

TEST(Dissemination, versionsOfEnginesArriveEverywhereAndLoadsInTheirDomain)
{
    const auto stableFleet = makeStableFleet();
    SimulatedFleet &fleet = *stableFleet;
    EngineState busy{ModelId("model"), 9, 10, 7, 5, 8};
    fleet.setEngine("d0-e1", busy);
    fleet.run(4s);
    for (const std::string &instance : fleet.instances()) {
        for (const auto &endpoint : fleet.node(instance).view(fleet.now()).endpoints) {
            if (endpoint->id != "d0-e1") {
                continue;
            }
            EXPECT_EQ(endpoint->version, 9U) << instance;
            EXPECT_EQ(endpoint->loading, 10U) << instance;
            EXPECT_EQ(endpoint->slots, 8U) << instance;
            if (instance.starts_with("d0")) {
                EXPECT_EQ(endpoint->running, 7U);
                EXPECT_EQ(endpoint->waiting, 5U);
            }
        }
    }
}

TEST(Dissemination, loadsReachTheOtherDomains)
{
    const auto stableFleet = makeStableFleet();
    SimulatedFleet &fleet = *stableFleet;
    const std::uint32_t unchangedLoad = fleet.node("d0-i0").view(fleet.now()).endpoints.front()->running;
    ASSERT_NE(unchangedLoad, 7U);
    fleet.setEngine("d0-e1", EngineState{ModelId("model"), 9, 10, 7, 5, 8});
    fleet.run(8s); // time for a poll, a digest between relays, and a digest of each instance to its relay
    for (const std::string &instance : fleet.instances()) {
        for (const auto &endpoint : fleet.node(instance).view(fleet.now()).endpoints) {
            EXPECT_LT(endpoint->load_age_ms, 8000U) << endpoint->id << " on " << instance;
            EXPECT_EQ(endpoint->running, endpoint->id == "d0-e1" ? 7U : unchangedLoad)
                << endpoint->id << " on " << instance;
        }
    }
}

struct CorrectionCase
{
    std::string name;
    std::optional<EngineState> state;
    bool leaving;
    bool reachable;
};

class ListCorrectedByPolls : public testing::TestWithParam<CorrectionCase>
{ };

TEST_P(ListCorrectedByPolls, onEveryInstanceWithinThreeSeconds)
{
    const auto stableFleet = makeStableFleet();
    SimulatedFleet &fleet = *stableFleet;
    fleet.setEngine("d1-e0", GetParam().state);
    fleet.run(3s);
    for (const std::string &instance : fleet.instances()) {
        for (const auto &endpoint : fleet.node(instance).view(fleet.now()).endpoints) {
            if (endpoint->id == "d1-e0") {
                EXPECT_EQ(endpoint->leaving, GetParam().leaving) << instance;
                EXPECT_EQ(endpoint->reachable, GetParam().reachable) << instance;
            }
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ListCorrectedByPolls,
    testing::Values(CorrectionCase{"refuses", std::nullopt, false, false},
                    CorrectionCase{
                        "reportsLeaving", EngineState{ModelId("model"), 1, 0, 0, 0, 8, 0ms, true, 0}, true, true},
                    CorrectionCase{"serves", EngineState{ModelId("model"), 1, 0, 0, 0, 8, 0ms, false, 0}, false, true}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

TEST(Dissemination, suspectsReachTheWholeDomainAndNoOther)
{
    const auto stableFleet = makeStableFleet();
    SimulatedFleet &fleet = *stableFleet;
    inner::SuspectT suspect;
    suspect.fingerprint = 42;
    suspect.endpoints = {"d0-e0"};
    fleet.node("d0-i3").suspectSeen(suspect, fleet.now());
    fleet.run(3s);
    for (const std::string &instance : fleet.instances()) {
        const std::size_t expected = instance.starts_with("d0") ? 1 : 0;
        EXPECT_EQ(fleet.node(instance).view(fleet.now()).suspects.size(), expected) << instance;
    }
}

TEST(Dissemination, crashesReportedByTwoInstancesAreMergedAndAClearanceSpreads)
{
    const auto stableFleet = makeStableFleet();
    SimulatedFleet &fleet = *stableFleet;
    inner::SuspectT suspect;
    suspect.fingerprint = 42;
    suspect.endpoints = {"d0-e0"};
    fleet.node("d0-i1").suspectSeen(suspect, fleet.now());
    suspect.endpoints = {"d0-e1"};
    fleet.node("d0-i2").suspectSeen(suspect, fleet.now());
    fleet.run(3s);
    const inner::ViewT view = fleet.node("d0-i5").view(fleet.now());
    ASSERT_EQ(view.suspects.size(), 1U);
    EXPECT_EQ(view.suspects.front()->endpoints, (std::vector<std::string>{"d0-e0", "d0-e1"}));
    suspect.cleared = true;
    fleet.node("d0-i2").suspectSeen(suspect, fleet.now());
    fleet.run(3s);
    EXPECT_TRUE(fleet.node("d0-i5").view(fleet.now()).suspects.front()->cleared);
}

TEST(Dissemination, publishedVersionsReachTheWholeDomain)
{
    const auto stableFleet = makeStableFleet();
    SimulatedFleet &fleet = *stableFleet;
    fleet.node("d2-i4").published(ModelId("model"), 31);
    fleet.run(3s);
    for (const std::string &instance : fleet.instances()) {
        if (instance.starts_with("d2")) {
            const inner::ViewT view = fleet.node(instance).view(fleet.now());
            ASSERT_EQ(view.published.size(), 1U) << instance;
            EXPECT_EQ(view.published.front()->version, 31U);
        }
    }
}

TEST(Dissemination, statusNamesTheInstancesWithoutTheNewestVersion)
{
    const auto stableFleet = makeStableFleet();
    SimulatedFleet &fleet = *stableFleet;
    EXPECT_EQ(fleet.node("d0-i0").status().inForce, 18U);
    fleet.kill("d1-i2");
    fleet.run(12s);
    for (const std::string &observer : {std::string("d0-i0"), std::string("d1-i0"), std::string("d2-i5")}) {
        const FleetStatus status = fleet.node(observer).status();
        ASSERT_EQ(status.missing().size(), 1U) << observer;
        EXPECT_EQ(status.missing().front().instance.value(), "d1-i2");
        EXPECT_EQ(status.missing().front().condition, InstanceCondition::Absent);
    }
    fleet.removeFromList("d1-i2"); // after it left the list it no longer counts
    fleet.run(20s);
    EXPECT_EQ(fleet.node("d0-i0").status().instances.size(), 17U);
    EXPECT_TRUE(fleet.node("d0-i0").status().missing().empty());
}

TEST(Dissemination, aDrainingInstanceIsNoRelayAndReportsDraining)
{
    const auto stableFleet = makeStableFleet();
    SimulatedFleet &fleet = *stableFleet;
    const std::string relay = fleet.relays("d0").front();
    fleet.node(relay).startDraining();
    fleet.run(3s);
    EXPECT_FALSE(fleet.node(relay).isRelay());
    EXPECT_EQ(fleet.relays("d0").size(), 2U);
    for (const auto &member : fleet.node("d0-i0").view(fleet.now()).members) {
        EXPECT_EQ(member->draining, member->instance == relay) << member->instance;
    }
}

TEST(Dissemination, checkpointsAreAppendedByOneRelayAtATime)
{
    const auto stableFleet = makeStableFleet({.checkpointPeriod = 20s});
    SimulatedFleet &fleet = *stableFleet;
    fleet.run(100s);
    EXPECT_GE(fleet.checkpointsAppended(), 2U);
    EXPECT_LE(fleet.checkpointsAppended(), 6U);
}

} // namespace
} // namespace bergamot
