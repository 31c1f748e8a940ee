#include <gtest/gtest.h>

#include "bergamot/membership/internal/simulated_fleet.h"

namespace bergamot
{
namespace
{

using internal::SimulatedFleet;
using namespace std::chrono_literals;

constexpr Duration InForceLimit = 7s; // target time until a change is in force on every instance

/// A fault, and the domains that can't receive a change while it lasts. All others must have it within the limit.
struct FaultCase
{
    std::string name;
    std::function<void(SimulatedFleet &fleet)> inject;
    std::function<void(SimulatedFleet &fleet)> heal;
    std::set<std::string> lagging; // domains that receive the change only after the fault is healed
};

void killRelays(SimulatedFleet &fleet, const std::string &domain, std::size_t count)
{
    for (const std::string &relay : fleet.relays(domain)) {
        if (count-- > 0) {
            fleet.kill(relay);
        }
    }
}

void partitionFromAllDomains(SimulatedFleet &fleet, const std::string &domain, bool isPartitioned)
{
    for (const std::string other : {"d0", "d1", "d2"}) {
        if (other != domain) {
            fleet.setDomainPartition(domain, other, isPartitioned);
        }
    }
}

void replace(SimulatedFleet &fleet, const std::string &instance)
{
    fleet.kill(instance);
    fleet.removeFromList(instance);
    fleet.start(instance + "r", instance.substr(0, 2));
}

void nothing(SimulatedFleet &)
{ }

class DisseminationFaults : public testing::TestWithParam<FaultCase>
{ };

TEST_P(DisseminationFaults, changeReachesConnectedDomainsAndAllOthersOnceHealed)
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
            EXPECT_LT(fleet.versionOn(instance), version) << "the fault had no effect";
        }
    }
    GetParam().heal(fleet);
    EXPECT_TRUE(fleet.timeUntilEverywhere(version, InForceLimit)) << fleet.missing(version).size() << " still missing";
    EXPECT_FALSE(fleet.hasRegressed());
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
                                         FaultCase{"domainPartitionedFromPlatform",
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.setPlatformPartition("d1", true);
                                                   },
                                                   nothing,
                                                   {}},
                                         FaultCase{"domainPartitionedFromOthers",
                                                   [](SimulatedFleet &fleet) {
                                                       partitionFromAllDomains(fleet, "d1", true);
                                                   },
                                                   [](SimulatedFleet &fleet) {
                                                       partitionFromAllDomains(fleet, "d1", false);
                                                   },
                                                   {}},
                                         FaultCase{"domainPartitionedFromBoth",
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.setPlatformPartition("d1", true);
                                                       partitionFromAllDomains(fleet, "d1", true);
                                                   },
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.setPlatformPartition("d1", false);
                                                       partitionFromAllDomains(fleet, "d1", false);
                                                   },
                                                   {"d1"}},
                                         FaultCase{"twoDomainsPartitionedFromPlatform",
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.setPlatformPartition("d1", true);
                                                       fleet.setPlatformPartition("d2", true);
                                                   },
                                                   nothing,
                                                   {}},
                                         FaultCase{"logUnavailableForLong",
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.setLogUnavailable(true);
                                                       fleet.run(300s);
                                                   },
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.setLogUnavailable(false);
                                                   },
                                                   {"d0", "d1", "d2"}},
                                         FaultCase{"listUnavailableForLong",
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.setListUnavailable(true);
                                                       fleet.run(300s);
                                                   },
                                                   nothing,
                                                   {}},
                                         FaultCase{"listUnavailableAndRelaysKilled",
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.setListUnavailable(true);
                                                       fleet.run(30s);
                                                       killRelays(fleet, "d2", 2);
                                                   },
                                                   nothing,
                                                   {}},
                                         FaultCase{"partitionedFromPlatformAndRelayKilled",
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.setPlatformPartition("d1", true);
                                                       fleet.run(10s);
                                                       killRelays(fleet, "d1", 1);
                                                   },
                                                   nothing,
                                                   {}},
                                         FaultCase{"recordsExpiredDuringPartition",
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.setPlatformPartition("d1", true);
                                                       partitionFromAllDomains(fleet, "d1", true);
                                                       fleet.appendUnrelatedRecords(50);
                                                       fleet.run(20s);
                                                       fleet.expireLogBefore(fleet.logEnd());
                                                   },
                                                   [](SimulatedFleet &fleet) {
                                                       fleet.setPlatformPartition("d1", false);
                                                       partitionFromAllDomains(fleet, "d1", false);
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
    bool isListUnavailable;
    bool hasSeeds;
};

class StartDuringOutage : public testing::TestWithParam<OutageStartCase>
{ };

TEST_P(StartDuringOutage, servesFromPeersAndReportsItIsUnconfirmed)
{
    SimulatedFleet fleet({.seed = 5});
    const std::uint64_t version = fleet.publishChange();
    fleet.run(15s);
    fleet.setLogUnavailable(true);
    fleet.setListUnavailable(GetParam().isListUnavailable);
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
    fleet.setLogUnavailable(false);
    fleet.run(7s);
    EXPECT_TRUE(fleet.node("d0-new").isConfirmed());
}

INSTANTIATE_TEST_SUITE_P(Table,
                         StartDuringOutage,
                         testing::Values(OutageStartCase{"listAvailable", false, false},
                                         OutageStartCase{"listUnavailableWithSeeds", true, true}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST(DisseminationFaults, replacedInstancesStartFromACheckpointOnTheLog)
{
    SimulatedFleet fleet({.seed = 3, .checkpointPeriod = 20s});
    const std::uint64_t version = fleet.publishChange();
    fleet.appendUnrelatedRecords(20);
    fleet.run(60s);
    ASSERT_GT(fleet.checkpointsAppended(), 0U);
    fleet.expireLogBefore(20); // the change has expired, but the records needed to restore the checkpoint have not
    for (const std::string &instance : fleet.instances()) {
        replace(fleet, instance);
    }
    EXPECT_TRUE(fleet.timeUntilEverywhere(version, 15s));
    EXPECT_FALSE(fleet.hasRegressed());
}

TEST(DisseminationFaults, reconnectedDomainGetsMissedChangeFromPeersWhileTheLogIsUnavailable)
{
    // A partitioned domain misses a change and is reconnected while the log is unavailable: it must receive the change
    // from the relays of the other domains.
    SimulatedFleet fleet({.seed = 9});
    fleet.publishChange();
    fleet.run(15s);
    fleet.setPlatformPartition("d1", true);
    partitionFromAllDomains(fleet, "d1", true);
    const std::uint64_t version = fleet.publishChange();
    fleet.run(20s);
    fleet.setLogUnavailable(true);
    fleet.setPlatformPartition("d1", false);
    partitionFromAllDomains(fleet, "d1", false);
    EXPECT_TRUE(fleet.timeUntilEverywhere(version, 15s)) << fleet.missing(version).size();
    EXPECT_FALSE(fleet.hasRegressed());
}

TEST(DisseminationFaults, partitionedDomainIsUnheardAndNotBehind)
{
    SimulatedFleet fleet({.seed = 4});
    fleet.publishChange();
    fleet.run(15s);
    fleet.setPlatformPartition("d1", true);
    partitionFromAllDomains(fleet, "d1", true);
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
