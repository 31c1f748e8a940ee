#include "bergamot/membership/domain_summaries.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

const FailureDomainId East("east");

inner::MemberStatusT member(const std::string &name, const std::string &domain, std::uint64_t version, bool isSilent)
{
    inner::MemberStatusT status;
    status.instance = name;
    status.domain = domain;
    status.config_version = version;
    status.silent_ms = isSilent ? 9000 : 0;
    return status;
}

TEST(Summarize, distinguishesAbsentMembersFromThoseBehind)
{
    const inner::DomainSummaryT summary = summarize(East,
                                                    {member("a", "east", 7, false),
                                                     member("b", "east", 6, false),
                                                     member("c", "east", 1, true),
                                                     member("w", "west", 9, false)});
    EXPECT_EQ(summary.members, 3U);
    EXPECT_EQ(summary.newest_version, 7U);
    EXPECT_EQ(summary.config_version, 6U);
    EXPECT_EQ(summary.behind, std::vector<std::string>{"b"});
    EXPECT_EQ(summary.absent, std::vector<std::string>{"c"});
}

struct ConditionCase
{
    std::string name;
    inner::MemberStatusT status;
    InstanceCondition condition;
};

class Conditions : public testing::TestWithParam<ConditionCase>
{ };

TEST_P(Conditions, areDistinguished)
{
    FleetTable table(East);
    const auto put = [&table](const inner::MemberStatusT &status) {
        table.members.put(status.instance, status, fingerprintOf(status), 1);
    };
    put(GetParam().status);
    inner::DomainSummaryT west =
        summarize(FailureDomainId("west"),
                  {member("w1", "west", 7, false), member("w2", "west", 6, false), member("w3", "west", 7, true)});
    table.domains.put("west", west, fingerprintOf(west), 1);
    west.domain = "north";
    west.silent_ms = 20000;
    table.domains.put("north", west, fingerprintOf(west), 1);
    const FleetStatus status = fleetStatus(table, East, 7);
    ASSERT_EQ(status.instances.size(), 1U);
    EXPECT_EQ(conditionName(status.instances.front().condition), conditionName(GetParam().condition));
    EXPECT_EQ(status.inForce, GetParam().condition == InstanceCondition::InForce ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Conditions,
    testing::Values(ConditionCase{"inForce", member("a", "east", 7, false), InstanceCondition::InForce},
                    ConditionCase{"behind", member("a", "east", 6, false), InstanceCondition::Behind},
                    ConditionCase{"joining", member("a", "east", 0, false), InstanceCondition::Joining},
                    ConditionCase{"absent", member("a", "east", 7, true), InstanceCondition::Absent},
                    ConditionCase{"inForceElsewhere", member("w1", "west", 0, false), InstanceCondition::InForce},
                    ConditionCase{"behindElsewhere", member("w2", "west", 0, false), InstanceCondition::Behind},
                    ConditionCase{"absentElsewhere", member("w3", "west", 0, false), InstanceCondition::Absent},
                    ConditionCase{"silentDomain", member("n1", "north", 0, false), InstanceCondition::Unheard},
                    ConditionCase{"unknownDomain", member("s1", "south", 0, false), InstanceCondition::Unheard}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

TEST(DomainSummaries, becomeSilentOnceNotUpdated)
{
    DomainSummaries summaries;
    summaries.update(summarize(East, {}), TimePoint(1h));
    EXPECT_EQ(summaries.all(TimePoint(1h) + 14s).front().silent_ms, 0U);
    EXPECT_GT(summaries.all(TimePoint(1h) + 16s).front().silent_ms, 0U);
}

} // namespace
} // namespace bergamot
