#include "bergamot/control/key_router.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

const FailureDomainId East("east");
const FailureDomainId West("west");

/// A key whose home is `domain`.
std::string keyOf(const FailureDomainId &domain)
{
    for (int i = 0;; ++i) {
        const std::string key = "key-" + std::to_string(i);
        if (*keyHome(key, {East, West}) == domain) {
            return key;
        }
    }
}

struct PlaceCase
{
    std::string name;
    std::vector<FailureDomainId> configured;
    FailureDomainId home;
    bool isPassedOn;
    std::vector<InstanceId> instances; // of the home domain
    std::vector<InstanceId> elsewhere; // of other domains
    KeyPlace::Kind kind;
};

class PlaceKey : public testing::TestWithParam<PlaceCase>
{ };

TEST_P(PlaceKey, findsWhoDealsWithIt)
{
    const KeyPlacement placement{.self = InstanceId("e1"),
                                 .domain = East,
                                 .configuredDomains = GetParam().configured,
                                 .eligible =
                                     [](const FailureDomainId &domain) {
                                         EXPECT_EQ(domain, GetParam().home);
                                         return GetParam().instances;
                                     },
                                 .eligibleEverywhere =
                                     [] {
                                         return GetParam().elsewhere;
                                     }};
    const KeyPlace place = placeKey(keyOf(GetParam().home), GetParam().isPassedOn, placement);
    EXPECT_EQ(place.kind, GetParam().kind);
    EXPECT_EQ(place.problem.empty(), place.kind != KeyPlace::Kind::Nowhere);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    PlaceKey,
    testing::Values(
        PlaceCase{"nothingConfigured", {}, East, false, {}, {}, KeyPlace::Kind::Nowhere},
        PlaceCase{"alone", {East, West}, East, false, {InstanceId("e1")}, {}, KeyPlace::Kind::Here},
        PlaceCase{"neighbourCommits", {East, West}, East, false, {InstanceId("e2")}, {}, KeyPlace::Kind::Elsewhere},
        PlaceCase{"otherDomain", {East, West}, West, false, {InstanceId("w1")}, {}, KeyPlace::Kind::Elsewhere},
        PlaceCase{"nobodyKnown", {East, West}, West, false, {}, {}, KeyPlace::Kind::Nowhere},
        PlaceCase{"homeIsGone", {East, West}, West, false, {}, {InstanceId("e1")}, KeyPlace::Kind::Here},
        PlaceCase{
            "homeIsGoneOtherClaims", {East, West}, West, false, {}, {InstanceId("n1")}, KeyPlace::Kind::Elsewhere},
        PlaceCase{"passedOnWhileHomeIsGone", {East, West}, West, true, {}, {InstanceId("e1")}, KeyPlace::Kind::Here},
        PlaceCase{"passedOnToItsHome", {East, West}, East, true, {InstanceId("e2")}, {}, KeyPlace::Kind::Here},
        PlaceCase{
            "passedOnToTheWrongDomain", {East, West}, West, true, {InstanceId("w1")}, {}, KeyPlace::Kind::Nowhere}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

} // namespace
} // namespace bergamot
