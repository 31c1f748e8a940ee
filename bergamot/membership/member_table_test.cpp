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

TEST_P(Presence, followsTheSourceWithPrecedence)
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

void recordDigest(MemberTable &table, TimePoint now)
{
    table.recordContact({Other, East, "10.0.0.2:7000"}, now);
}

void applyListWithOther(MemberTable &table, TimePoint now)
{
    table.applyList({listedInstance("other", East)}, now);
}

void applyStatusFromRelay(MemberTable &table, TimePoint now, std::uint64_t silent)
{
    inner::MemberStatusT status;
    status.instance = "other";
    status.domain = "east";
    status.silent_ms = silent;
    table.applyRelayStatus(status, now);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Presence,
                         testing::Values(PresenceCase{"unknown", [](MemberTable &, TimePoint) {}, 0s, false, false},
                                         PresenceCase{"reportedNow", recordDigest, 1s, true, true},
                                         PresenceCase{"reportedLongAgo", recordDigest, 6s, false, false},
                                         PresenceCase{"listedNow", applyListWithOther, 1s, true, true},
                                         PresenceCase{"listedAndNeverReported", applyListWithOther, 6s, false, false},
                                         PresenceCase{"presentByRelay",
                                                      [](MemberTable &table, TimePoint now) {
                                                          applyStatusFromRelay(table, now, 0);
                                                      },
                                                      60s,
                                                      true,
                                                      true},
                                         PresenceCase{"silentByRelayAlthoughListed",
                                                      [](MemberTable &table, TimePoint now) {
                                                          applyListWithOther(table, now);
                                                          applyStatusFromRelay(table, now, 6000);
                                                      },
                                                      1s,
                                                      false,
                                                      false},
                                         PresenceCase{"doesNotAnswer",
                                                      [](MemberTable &table, TimePoint now) {
                                                          applyStatusFromRelay(table, now, 0);
                                                          table.recordNoAnswer(Other, now);
                                                          table.recordNoAnswer(Other, now);
                                                      },
                                                      1s,
                                                      true,
                                                      false},
                                         PresenceCase{"answersAgain",
                                                      [](MemberTable &table, TimePoint now) {
                                                          recordDigest(table, now);
                                                          table.recordNoAnswer(Other, now);
                                                          table.recordNoAnswer(Other, now);
                                                          table.recordAnswer(Other, now);
                                                      },
                                                      1s,
                                                      true,
                                                      true},
                                         PresenceCase{"draining",
                                                      [](MemberTable &table, TimePoint now) {
                                                          table.recordContact({Other, East, "a", "b", 1, true}, now);
                                                      },
                                                      1s,
                                                      true,
                                                      false},
                                         PresenceCase{"detectionStartedAfterRelayStatus",
                                                      [](MemberTable &table, TimePoint now) {
                                                          applyStatusFromRelay(table, now, 0);
                                                          table.startFailureDetection(now);
                                                      },
                                                      6s,
                                                      false,
                                                      false}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST(MemberTable, membersOfOtherDomainsComeFromTheListAndTheirRelays)
{
    const TimePoint now(1h);
    MemberTable table({InstanceId("me"), East});
    table.applyList({listedInstance("w1", West), listedInstance("w2", West)}, now);
    EXPECT_EQ(table.eligible(West, now + 1h).size(), 2U);
    table.applyRemoteAbsences(West, {"w2"});
    EXPECT_EQ(table.eligible(West, now + 1h), std::vector{InstanceId("w1")});
    table.applyRemoteAbsences(West, {});
    EXPECT_EQ(table.eligible(West, now + 1h).size(), 2U);
}

TEST(MemberTable, removesSilentMembersThatAreNotInTheList)
{
    const TimePoint now(1h);
    MemberTable table({InstanceId("me"), East});
    applyListWithOther(table, now);
    recordDigest(table, now);
    table.applyList({}, now + 1s);
    table.expire(now + 2s);
    EXPECT_TRUE(table.find(Other)) << "has reported recently; the list may lag";
    table.expire(now + 10s);
    EXPECT_FALSE(table.find(Other));
}

TEST(MemberTable, aSingleDrainingInstanceStaysEligible)
{
    MemberTable table({InstanceId("me"), East});
    table.setDraining();
    EXPECT_EQ(table.eligible(East, TimePoint(1h)), std::vector{InstanceId("me")});
    recordDigest(table, TimePoint(1h));
    EXPECT_EQ(table.eligible(East, TimePoint(1h)), std::vector{Other});
}

} // namespace
} // namespace bergamot
