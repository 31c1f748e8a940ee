#include "bergamot/membership/member_table.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

const FailureDomainId East("east");
const FailureDomainId West("west");
const InstanceId Other("other");

ListedMember listedInstance(const std::string &id, const FailureDomainId &domain)
{
    return {ListedKind::Instance, id, domain, {"10.0.0.2", 7000}, ListedState::Live, ""};
}

struct PresenceCase
{
    std::string name;
    std::function<void(MemberTable &table, TimePoint now)> events;
    Duration after;
    bool isPresent;
    bool isEligible;
};

class Presence : public testing::TestWithParam<PresenceCase>
{ };

TEST_P(Presence, followsTheBestSource)
{
    const TimePoint start(1h);
    MemberTable table({InstanceId("me"), East});
    GetParam().events(table, start);
    const TimePoint now = start + GetParam().after;
    EXPECT_EQ(table.isPresent(Other, now), GetParam().isPresent);
    const std::vector<InstanceId> eligible = table.eligible(East, now);
    const bool isEligible = std::find(eligible.begin(), eligible.end(), Other) != eligible.end();
    EXPECT_EQ(isEligible, GetParam().isEligible);
}

void hear(MemberTable &table, TimePoint now)
{
    table.heard({Other, East, "10.0.0.2:7000"}, now);
}

void list(MemberTable &table, TimePoint now)
{
    table.listed({listedInstance("other", East)}, now);
}

void tell(MemberTable &table, TimePoint now, std::uint64_t silent)
{
    inner::MemberStatusT status;
    status.instance = "other";
    status.domain = "east";
    status.silent_ms = silent;
    table.told(status, now);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Presence,
                         testing::Values(PresenceCase{"unknown", [](MemberTable &, TimePoint) {}, 0s, false, false},
                                         PresenceCase{"heardNow", hear, 1s, true, true},
                                         PresenceCase{"heardLongAgo", hear, 6s, false, false},
                                         PresenceCase{"listedNow", list, 1s, true, true},
                                         PresenceCase{"listedAndNeverHeard", list, 6s, false, false},
                                         PresenceCase{"toldPresent",
                                                      [](MemberTable &table, TimePoint now) {
                                                          tell(table, now, 0);
                                                      },
                                                      60s,
                                                      true,
                                                      true},
                                         PresenceCase{"toldSilentAlthoughListed",
                                                      [](MemberTable &table, TimePoint now) {
                                                          list(table, now);
                                                          tell(table, now, 6000);
                                                      },
                                                      1s,
                                                      false,
                                                      false},
                                         PresenceCase{"doesNotAnswer",
                                                      [](MemberTable &table, TimePoint now) {
                                                          tell(table, now, 0);
                                                          table.unanswered(Other, now);
                                                          table.unanswered(Other, now);
                                                      },
                                                      1s,
                                                      true,
                                                      false},
                                         PresenceCase{"answersAgain",
                                                      [](MemberTable &table, TimePoint now) {
                                                          hear(table, now);
                                                          table.unanswered(Other, now);
                                                          table.unanswered(Other, now);
                                                          table.answered(Other, now);
                                                      },
                                                      1s,
                                                      true,
                                                      true},
                                         PresenceCase{"draining",
                                                      [](MemberTable &table, TimePoint now) {
                                                          table.heard({Other, East, "a", "b", 1, true}, now);
                                                      },
                                                      1s,
                                                      true,
                                                      false},
                                         PresenceCase{"judgedAfterBeingTold",
                                                      [](MemberTable &table, TimePoint now) {
                                                          tell(table, now, 0);
                                                          table.startJudging(now);
                                                      },
                                                      6s,
                                                      false,
                                                      false}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST(MemberTable, otherDomainsAreTakenFromTheListAndTheirOwnRelays)
{
    const TimePoint now(1h);
    MemberTable table({InstanceId("me"), East});
    table.listed({listedInstance("w1", West), listedInstance("w2", West)}, now);
    EXPECT_EQ(table.eligible(West, now + 1h).size(), 2U);
    table.absentElsewhere(West, {"w2"});
    EXPECT_EQ(table.eligible(West, now + 1h), std::vector{InstanceId("w1")});
    table.absentElsewhere(West, {});
    EXPECT_EQ(table.eligible(West, now + 1h).size(), 2U);
}

TEST(MemberTable, forgetsWhoIsOffTheListAndSilent)
{
    const TimePoint now(1h);
    MemberTable table({InstanceId("me"), East});
    list(table, now);
    hear(table, now);
    table.listed({}, now + 1s);
    table.expire(now + 2s);
    EXPECT_TRUE(table.find(Other)) << "still heard: the list lags";
    table.expire(now + 10s);
    EXPECT_FALSE(table.find(Other));
}

TEST(MemberTable, aDrainingInstanceAloneStaysEligible)
{
    MemberTable table({InstanceId("me"), East});
    table.setDraining();
    EXPECT_EQ(table.eligible(East, TimePoint(1h)), std::vector{InstanceId("me")});
    hear(table, TimePoint(1h));
    EXPECT_EQ(table.eligible(East, TimePoint(1h)), std::vector{Other});
}

} // namespace
} // namespace bergamot
