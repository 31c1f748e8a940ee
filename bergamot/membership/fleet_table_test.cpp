#include "bergamot/membership/fleet_table.h"

#include <random>

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

const FailureDomainId Domain("east");

inner::EndpointT endpointNamed(const std::string &id, std::uint64_t version, std::uint32_t running = 0)
{
    inner::EndpointT endpoint;
    endpoint.id = id;
    endpoint.domain = Domain.value();
    endpoint.version = version;
    endpoint.running = running;
    return endpoint;
}

void put(FleetTable &table, const inner::EndpointT &endpoint, std::uint64_t tick)
{
    table.endpoints.put(endpoint.id, endpoint, fingerprintOf(endpoint), tick);
}

TEST(FleetTable, deltaHoldsOnlyWhatChanged)
{
    FleetTable table(Domain);
    put(table, endpointNamed("a", 1), 1);
    put(table, endpointNamed("b", 1), 1);
    put(table, endpointNamed("a", 1), 2);
    put(table, endpointNamed("b", 2), 2);
    const inner::ViewDeltaT delta = table.deltaSince(1, 2);
    ASSERT_EQ(delta.endpoints.size(), 1U);
    EXPECT_EQ(delta.endpoints.front()->id, "b");
    EXPECT_EQ(table.deltaSince(0, 2).endpoints.size(), 2U);
}

TEST(FleetTable, loadsAreSentAlthoughTheyAreNoChange)
{
    FleetTable table(Domain);
    FleetTable copy(Domain);
    put(table, endpointNamed("a", 1, 3), 1);
    ASSERT_TRUE(copy.apply(table.deltaSince(0, 1)));
    put(table, endpointNamed("a", 1, 70000), 2);
    const inner::ViewDeltaT delta = table.deltaSince(1, 2);
    EXPECT_TRUE(delta.endpoints.empty());
    ASSERT_TRUE(copy.apply(delta));
    EXPECT_EQ(copy.view().endpoints.front()->running, 65535U);
}

TEST(FleetTable, loadsOfOtherDomainsAreSent)
{
    FleetTable table(Domain);
    FleetTable copy(Domain);
    inner::EndpointT remote = endpointNamed("a", 1);
    remote.domain = "west";
    put(table, remote, 1);
    put(table, endpointNamed("b", 1, 4), 1);
    ASSERT_TRUE(copy.apply(table.deltaSince(0, 1)));
    remote.running = 7;
    remote.load_age_ms = 300;
    put(table, remote, 2);
    ASSERT_TRUE(copy.apply(table.deltaSince(1, 2)));
    EXPECT_EQ(copy.view().endpoints.front()->running, 7U);
    EXPECT_EQ(copy.view().endpoints.front()->load_age_ms, 300U);
    EXPECT_EQ(copy.view().endpoints.back()->running, 4U);
}

TEST(FleetTable, missedDeltaIsDetected)
{
    FleetTable table(Domain);
    FleetTable copy(Domain);
    put(table, endpointNamed("a", 1), 1);
    ASSERT_TRUE(copy.apply(table.deltaSince(0, 1)));
    put(table, endpointNamed("b", 1), 2);
    put(table, endpointNamed("c", 1), 3);
    EXPECT_FALSE(copy.apply(table.deltaSince(2, 3)));
    EXPECT_TRUE(copy.apply(table.deltaSince(0, 3)));
    EXPECT_EQ(copy.view().endpoints.size(), 3U);
}

class RandomChanges : public testing::TestWithParam<std::uint64_t>
{ };

TEST_P(RandomChanges, copiesStayEqualByDeltasAlone)
{
    std::mt19937_64 random(GetParam());
    FleetTable table(Domain);
    FleetTable copy(Domain);
    std::uint64_t seen = 0;
    for (std::uint64_t tick = 1; tick < 500; ++tick) {
        const std::string name = "e" + std::to_string(random() % 20);
        if (random() % 3 == 0) {
            table.endpoints.remove(name, tick);
        } else {
            put(table, endpointNamed(name, random() % 5), tick);
        }
        if (random() % 4 == 0) {
            ASSERT_TRUE(copy.apply(table.deltaSince(seen, tick)));
            seen = tick;
            ASSERT_EQ(copy.endpoints.rows().size(), table.endpoints.rows().size());
            for (const auto &[id, row] : table.endpoints.rows()) {
                ASSERT_EQ(copy.endpoints.rows().at(id).value.version, row.value.version);
            }
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomChanges, testing::Range<std::uint64_t>(1, 9));

struct SuspectCase
{
    std::string name;
    bool firstCleared;
    std::string secondEndpoint;
    bool secondCleared;
    bool cleared;
    std::size_t endpoints;
};

class MergeSuspects : public testing::TestWithParam<SuspectCase>
{ };

TEST_P(MergeSuspects, addsEndpointsAndStaysClearedUntilTheNextCrash)
{
    FleetTable table(Domain);
    inner::SuspectT suspect;
    suspect.fingerprint = 1;
    suspect.endpoints = {"a"};
    suspect.cleared = GetParam().firstCleared;
    table.mergeSuspect(suspect, 1);
    suspect.endpoints = {GetParam().secondEndpoint};
    suspect.cleared = GetParam().secondCleared;
    table.mergeSuspect(suspect, 2);
    const inner::SuspectT &merged = table.suspects.rows().at("1").value;
    EXPECT_EQ(merged.cleared, GetParam().cleared);
    EXPECT_EQ(merged.endpoints.size(), GetParam().endpoints);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         MergeSuspects,
                         testing::Values(SuspectCase{"twoCrashes", false, "b", false, false, 2},
                                         SuspectCase{"sameCrashTwice", false, "a", false, false, 1},
                                         SuspectCase{"clearedLater", false, "a", true, true, 1},
                                         SuspectCase{"knownCrashAfterClearance", true, "a", false, true, 1},
                                         SuspectCase{"newCrashAfterClearance", true, "b", false, false, 2}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

} // namespace
} // namespace bergamot
