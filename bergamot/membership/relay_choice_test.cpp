#include "bergamot/membership/relay_choice.h"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

std::vector<InstanceId> instances(std::size_t count)
{
    std::vector<InstanceId> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.emplace_back("i" + std::to_string(i));
    }
    return all;
}

const FailureDomainId Domain("east");

TEST(RelayChoice, doesNotDependOnTheOrderOfTheCandidates)
{
    std::vector<InstanceId> all = instances(18);
    const std::vector<InstanceId> relays = relaysOf(Domain, all);
    std::reverse(all.begin(), all.end());
    EXPECT_EQ(relaysOf(Domain, all), relays);
    EXPECT_EQ(relays.size(), RelaysPerDomain);
}

TEST(RelayChoice, losingOneRelayKeepsTheOther)
{
    std::vector<InstanceId> all = instances(18);
    const std::vector<InstanceId> before = relaysOf(Domain, all);
    std::erase(all, before.front());
    const std::vector<InstanceId> after = relaysOf(Domain, all);
    EXPECT_EQ(after.front(), before.back());
    EXPECT_EQ(after.size(), RelaysPerDomain);
}

TEST(RelayChoice, everyCandidateIsARelayIfThereAreFew)
{
    EXPECT_TRUE(relaysOf(Domain, {}).empty());
    EXPECT_EQ(relaysOf(Domain, instances(1)).size(), 1U);
    EXPECT_TRUE(isRelay(Domain, instances(1), InstanceId("i0")));
    EXPECT_FALSE(isRelay(Domain, instances(1), InstanceId("i7")));
}

TEST(RelayChoice, instancesShareTheRelaysEvenly)
{
    const std::vector<InstanceId> all = instances(200);
    const std::vector<InstanceId> relays = relaysOf(Domain, all);
    std::map<InstanceId, int> contacted;
    for (const InstanceId &instance : all) {
        ++contacted[contactOrder(instance, relays).front()];
    }
    for (const InstanceId &relay : relays) {
        EXPECT_GT(contacted[relay], 70);
    }
}

TEST(RelayChoice, pollsAreSpreadEvenlyOverTheDomain)
{
    const std::vector<InstanceId> all = instances(10);
    std::map<InstanceId, int> polls;
    for (int i = 0; i < 500; ++i) {
        for (const InstanceId &poller : pollersOf(EndpointId("e" + std::to_string(i)), all)) {
            ++polls[poller];
        }
    }
    for (const InstanceId &instance : all) {
        EXPECT_GT(polls[instance], 60);
        EXPECT_LT(polls[instance], 140);
    }
}

} // namespace
} // namespace bergamot
