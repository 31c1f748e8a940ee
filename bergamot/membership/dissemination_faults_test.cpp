#include <gtest/gtest.h>

#include "bergamot/membership/internal/simulated_fleet.h"

namespace bergamot
{
namespace
{

using internal::SimulatedFleet;
using namespace std::chrono_literals;

constexpr Duration InForceLimit = 7s; // the brief's target

/// A fault, and who must have a change within the limit although the fault goes on.
struct FaultCase
{
    std::string name;
    std::function<void(SimulatedFleet &fleet)> inject;
    std::function<void(SimulatedFleet &fleet)> heal;
    std::set<std::string> lagging; // domains that can only have the change once the fault has healed
};

void killRelays(SimulatedFleet &fleet, const std::string &domain, std::size_t count)
{
    for (const std::string &relay : fleet.relays(domain)) {
        if (count-- > 0) {
            fleet.kill(relay);
        }
    }
}

void cutFromAll(SimulatedFleet &fleet, const std::string &domain, bool isCut)
{
    for (const std::string other : {"d0", "d1", "d2"}) {
        if (other != domain) {
            fleet.cutDomains(domain, other, isCut);
        }
    }
}

void replace(SimulatedFleet &fleet, const std::string &instance)
{
    fleet.kill(instance);
    fleet.unlist(instance);
    fleet.start(instance + "r", instance.substr(0, 2));
}

void nothing(SimulatedFleet &)
{ }

class DisseminationFaults : public testing::TestWithParam<FaultCase>
{ };

TEST_P(DisseminationFaults, changeArrivesWhereItCanAndEverywhereOnceHealed)
{
    SimulatedFleet fleet({.domains = 3, .instancesPerDomain = 6, .seed = 11});
    fleet.publishChange();
    fleet.run(15s);
    GetParam().inject(fleet);
    const std::uint64_t version = fleet.publishChange();
    fleet.run(InForceLimit);
    for (const std::string &instance : fleet.missing(version)) {
        EXPECT_TRUE(GetParam().lagging.contains(instance.substr(0, 2))) << instance << " lacks the change";
    }
    for (const std::string &instance : fleet.instances()) {
        if (GetParam().lagging.contains(instance.substr(0, 2))) {
            EXPECT_LT(fleet.versionOn(instance), version) << "the fault did not bite";
        }
    }
    GetParam().heal(fleet);
    EXPECT_TRUE(fleet.timeUntilEverywhere(version, InForceLimit)) << fleet.missing(version).size() << " still missing";
    EXPECT_FALSE(fleet.everFell());
}

INSTANTIATE_TEST_SUITE_P(Table,
                         DisseminationFaults,
                         testing::Values(FaultCase{"none", nothing, nothing, {}},
                                         FaultCase{"relayKilled",
                                                   [](SimulatedFleet &fleet) {
                                                       killRelays(fleet, "d0", 1);
                                                   },
                                                   nothing,
                                                   {}},
                                         FaultCase{"bothRelaysKilled",
                                                   [](SimulatedFleet &fleet) {
                                                       killRelays(fleet, "d0", 2);
                                                   },
                                                   nothing,
                                                   {}},
                                         FaultCase{"bothRelaysOfEveryDomainKilled",
                                                   [](SimulatedFleet &fleet) {
                                                       for (const std::string domain : {"d0", "d1", "d2"}) {
                                                           killRelays(fleet, domain, 2);
                                                       }
                                                   },
                                                   nothing,
                                                   {}},
                                         FaultCase{"domainCutFromPlatform",
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.cutFromPlatform("d1", true);
                                                   },
                                                   nothing,
                                                   {}},
                                         FaultCase{"domainCutFromOthers",
                                                   [](SimulatedFleet &fleet) {
                                                       cutFromAll(fleet, "d1", true);
                                                   },
                                                   [](SimulatedFleet &fleet) {
                                                       cutFromAll(fleet, "d1", false);
                                                   },
                                                   {}},
                                         FaultCase{"domainCutFromBoth",
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.cutFromPlatform("d1", true);
                                                       cutFromAll(fleet, "d1", true);
                                                   },
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.cutFromPlatform("d1", false);
                                                       cutFromAll(fleet, "d1", false);
                                                   },
                                                   {"d1"}},
                                         FaultCase{"twoDomainsCutFromPlatform",
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.cutFromPlatform("d1", true);
                                                       fleet.cutFromPlatform("d2", true);
                                                   },
                                                   nothing,
                                                   {}},
                                         FaultCase{"logOutForLong",
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.setLogOut(true);
                                                       fleet.run(300s);
                                                   },
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.setLogOut(false);
                                                   },
                                                   {"d0", "d1", "d2"}},
                                         FaultCase{"listOutForLong",
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.setListOut(true);
                                                       fleet.run(300s);
                                                   },
                                                   nothing,
                                                   {}},
                                         FaultCase{"listOutAndRelaysKilled",
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.setListOut(true);
                                                       fleet.run(30s);
                                                       killRelays(fleet, "d2", 2);
                                                   },
                                                   nothing,
                                                   {}},
                                         FaultCase{"cutFromPlatformAndRelayKilled",
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.cutFromPlatform("d1", true);
                                                       fleet.run(10s);
                                                       killRelays(fleet, "d1", 1);
                                                   },
                                                   nothing,
                                                   {}},
                                         FaultCase{"retentionPassedDuringCut",
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.cutFromPlatform("d1", true);
                                                       cutFromAll(fleet, "d1", true);
                                                       fleet.appendNoise(50);
                                                       fleet.run(20s);
                                                       fleet.expireLogBefore(fleet.logEnd());
                                                   },
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.cutFromPlatform("d1", false);
                                                       cutFromAll(fleet, "d1", false);
                                                   },
                                                   {"d1"}},
                                         FaultCase{"everyInstanceReplacedOneByOne",
                                                   [](SimulatedFleet &fleet) {
                                                       for (const std::string &instance : fleet.instances()) {
                                                           replace(fleet, instance);
                                                           fleet.run(3s);
                                                       }
                                                   },
                                                   nothing,
                                                   {}},
                                         FaultCase{"everyInstanceReplacedWithinAMinute",
                                                   [](SimulatedFleet &fleet) {
                                                       for (const std::string &instance : fleet.instances()) {
                                                           replace(fleet, instance);
                                                           fleet.run(1s);
                                                       }
                                                   },
                                                   nothing,
                                                   {}},
                                         FaultCase{"allReplacedAtOnce",
                                                   [](SimulatedFleet &fleet) {
                                                       for (const std::string &instance : fleet.instances()) {
                                                           replace(fleet, instance);
                                                       }
                                                   },
                                                   nothing,
                                                   {}}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

struct OutageStartCase
{
    std::string name;
    bool isListOut;
    bool hasSeeds;
};

class StartDuringOutage : public testing::TestWithParam<OutageStartCase>
{ };

TEST_P(StartDuringOutage, servesFromPeersAndSaysItIsUnconfirmed)
{
    SimulatedFleet fleet({.seed = 5});
    const std::uint64_t version = fleet.publishChange();
    fleet.run(15s);
    fleet.setLogOut(true);
    fleet.setListOut(GetParam().isListOut);
    fleet.run(30s);
    std::vector<std::string> seeds;
    for (const auto &member : fleet.node("d0-i0").view(fleet.now()).members) {
        if (GetParam().hasSeeds && member->domain == "d0") {
            seeds.push_back(member->control_address);
        }
    }
    fleet.start("d0-new", "d0", seeds);
    fleet.run(7s);
    EXPECT_EQ(fleet.versionOn("d0-new"), version);
    const inner::ViewT view = fleet.node("d0-new").view(fleet.now());
    EXPECT_FALSE(view.confirmed);
    EXPECT_EQ(view.endpoints.size(), 12U);
    fleet.setLogOut(false);
    fleet.run(7s);
    EXPECT_TRUE(fleet.node("d0-new").isConfirmed());
}

INSTANTIATE_TEST_SUITE_P(Table,
                         StartDuringOutage,
                         testing::Values(OutageStartCase{"listServes", false, false},
                                         OutageStartCase{"listOutWithSeeds", true, true}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST(DisseminationFaults, allReplacedAfterRetentionStartFromACheckpointOnTheLog)
{
    SimulatedFleet fleet({.seed = 3, .checkpointPeriod = 20s});
    const std::uint64_t version = fleet.publishChange();
    fleet.appendNoise(20);
    fleet.run(60s);
    ASSERT_GT(fleet.checkpointsAppended(), 0U);
    fleet.expireLogBefore(20); // the change itself has expired, what the checkpoint stands on has not
    for (const std::string &instance : fleet.instances()) {
        replace(fleet, instance);
    }
    EXPECT_TRUE(fleet.timeUntilEverywhere(version, 15s));
    EXPECT_FALSE(fleet.everFell());
}

TEST(DisseminationFaults, newestSnapshotWinsWhicheverRelayIsAsked)
{
    // One domain is cut off, misses changes, and heals while the log is out: it must take its peers' newer state.
    SimulatedFleet fleet({.seed = 9});
    fleet.publishChange();
    fleet.run(15s);
    fleet.cutFromPlatform("d1", true);
    cutFromAll(fleet, "d1", true);
    const std::uint64_t version = fleet.publishChange();
    fleet.run(20s);
    fleet.setLogOut(true);
    fleet.cutFromPlatform("d1", false);
    cutFromAll(fleet, "d1", false);
    EXPECT_TRUE(fleet.timeUntilEverywhere(version, 15s)) << fleet.missing(version).size();
    EXPECT_FALSE(fleet.everFell());
}

TEST(DisseminationFaults, cutOffDomainIsUnheardAndNotBehind)
{
    SimulatedFleet fleet({.seed = 4});
    fleet.publishChange();
    fleet.run(15s);
    fleet.cutFromPlatform("d1", true);
    cutFromAll(fleet, "d1", true);
    fleet.publishChange();
    fleet.run(30s);
    const FleetStatus status = fleet.node("d0-i0").status();
    EXPECT_EQ(status.inForce, 12U);
    for (const InstanceStatus &instance : status.missing()) {
        EXPECT_EQ(instance.domain.value(), "d1");
        EXPECT_EQ(instance.condition, InstanceCondition::Unheard) << instance.instance.value();
    }
}

} // namespace
} // namespace bergamot
