#include <gtest/gtest.h>

#include "bergamot/base/hash.h"
#include "bergamot/relay/relay_admission.h"

namespace bergamot::relay
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t Configuration = 5;
constexpr std::uint64_t Epoch = 3;

fleet::Route route(std::vector<fleet::WeightedService> services = {{"desk", 1}})
{
    return {.name = "r",
            .kind = fleet::RouteKind::Idempotent,
            .services = std::move(services),
            .timeout = 2s,
            .maxAttempts = 3};
}

/// What another instance says with a request, and what this one has read.
struct Situation
{
    RelayedRequest request;
    std::string tenant;
    std::optional<fleet::Route> route = bergamot::relay::route(); // of this instance
    std::optional<tenants::TenantIndex> tenants;
    LocalView view{.configuration = Configuration, .batchOpen = true, .ownerEpoch = Epoch};
};

Situation callersRequest()
{
    return {.request = {.service = "desk",
                        .route = {.name = "r", .kind = fleet::RouteKind::Idempotent, .maxAttempts = 2},
                        .deadlineLeft = 1s,
                        .basis = {.configuration = Configuration}}};
}

Situation scoringCall()
{
    Situation situation = callersRequest();
    situation.request.owed = true;
    situation.request.basis.batch = "b1";
    situation.request.basis.ownerEpoch = Epoch;
    return situation;
}

Situation keyedRequest(const std::string &tenantNow, const std::string &keyNow)
{
    Situation situation = callersRequest();
    situation.tenant = "bakery";
    situation.request.basis.callerKey = sha256("key");
    situation.tenants.emplace(std::vector<tenants::Tenant>{{.name = tenantNow, .keys = {sha256(keyNow)}}});
    return situation;
}

struct AdmissionCase
{
    const char *name;
    Situation (*begin)();
    void (*change)(Situation &);
    RelayVerdict verdict;
    std::string service = "desk"; // if it is sent; empty: to be chosen
};

class AdmissionTest : public testing::TestWithParam<AdmissionCase>
{ };

// review/11: whatever an instance says of a batch, a route or a key, those who have read more decide.
TEST_P(AdmissionTest, WhatThisInstanceHasReadDecides)
{
    Situation situation = GetParam().begin();
    GetParam().change(situation);
    situation.view.route = situation.route ? &*situation.route : nullptr;
    situation.view.tenants = situation.tenants ? &*situation.tenants : nullptr;
    const RelayDecision decision = decideRelay(situation.request, situation.tenant, situation.view);
    EXPECT_EQ(relayVerdictName(decision.verdict), relayVerdictName(GetParam().verdict)) << decision.reason;
    EXPECT_EQ(decision.reason.empty(), GetParam().verdict == RelayVerdict::Send);
    if (GetParam().verdict == RelayVerdict::Send) {
        EXPECT_EQ(decision.service, GetParam().service);
        EXPECT_EQ(decision.route.timeout, 1s);
        EXPECT_EQ(decision.route.maxAttempts, 2U);
    }
}

constexpr auto NoChange = [](Situation &) {};

INSTANTIATE_TEST_SUITE_P(ScoringCalls,
                         AdmissionTest,
                         testing::Values(AdmissionCase{"OfAnOpenBatch", scoringCall, NoChange, RelayVerdict::Send},
                                         AdmissionCase{"OfABatchThatHasEnded",
                                                       scoringCall,
                                                       [](Situation &situation) {
                                                           situation.view.batchOpen = false;
                                                       },
                                                       RelayVerdict::Outdated},
                                         AdmissionCase{"OfABatchThatIsNotKnownHere",
                                                       scoringCall,
                                                       [](Situation &situation) {
                                                           situation.view.batchOpen = std::nullopt;
                                                       },
                                                       RelayVerdict::NotReadYet},
                                         AdmissionCase{"OfAnOwnerThatWasSucceeded",
                                                       scoringCall,
                                                       [](Situation &situation) {
                                                           situation.view.ownerEpoch = Epoch + 1;
                                                       },
                                                       RelayVerdict::Outdated},
                                         AdmissionCase{"OfAnOwnerThatWasSucceededAndABatchThatIsNotKnownHere",
                                                       scoringCall,
                                                       [](Situation &situation) {
                                                           situation.view.ownerEpoch = Epoch + 1;
                                                           situation.view.batchOpen = std::nullopt;
                                                       },
                                                       RelayVerdict::Outdated},
                                         AdmissionCase{"OfAnOwnerThatIsNotKnownHere",
                                                       scoringCall,
                                                       [](Situation &situation) {
                                                           situation.view.ownerEpoch = Epoch - 1;
                                                       },
                                                       RelayVerdict::NotReadYet},
                                         AdmissionCase{"OfABatchThatHasEndedAndAnOwnerThatIsNotKnownHere",
                                                       scoringCall,
                                                       [](Situation &situation) {
                                                           situation.view.ownerEpoch = Epoch - 1;
                                                           situation.view.batchOpen = false;
                                                       },
                                                       RelayVerdict::Outdated},
                                         AdmissionCase{"ThatNamesNoBatch",
                                                       scoringCall,
                                                       [](Situation &situation) {
                                                           situation.request.basis.batch.clear();
                                                       },
                                                       RelayVerdict::NotReadYet},
                                         AdmissionCase{"WhereCallersNeedKeys",
                                                       scoringCall,
                                                       [](Situation &situation) {
                                                           situation.tenants.emplace(
                                                               std::vector<tenants::Tenant>{{.name = "bakery"}});
                                                       },
                                                       RelayVerdict::Send},
                                         AdmissionCase{"WhoseRouteWasRemoved",
                                                       scoringCall,
                                                       [](Situation &situation) {
                                                           situation.route.reset();
                                                       },
                                                       RelayVerdict::Outdated},
                                         AdmissionCase{"WhoseRouteLeadsElsewhere",
                                                       scoringCall,
                                                       [](Situation &situation) {
                                                           situation.route = route({{"other", 1}});
                                                       },
                                                       RelayVerdict::Send,
                                                       ""}),
                         [](const auto &test) {
                             return test.param.name;
                         });

INSTANTIATE_TEST_SUITE_P(Routes,
                         AdmissionTest,
                         testing::Values(AdmissionCase{"TheSame", callersRequest, NoChange, RelayVerdict::Send},
                                         AdmissionCase{"Removed",
                                                       callersRequest,
                                                       [](Situation &situation) {
                                                           situation.request.basis.configuration = Configuration - 1;
                                                           situation.route.reset();
                                                       },
                                                       RelayVerdict::Outdated},
                                         AdmissionCase{"NotReadYet",
                                                       callersRequest,
                                                       [](Situation &situation) {
                                                           situation.request.basis.configuration = Configuration + 1;
                                                           situation.route.reset();
                                                       },
                                                       RelayVerdict::Send},
                                         AdmissionCase{"OfAnEarlierBuild",
                                                       callersRequest,
                                                       [](Situation &situation) {
                                                           situation.request.basis.configuration = 0;
                                                       },
                                                       RelayVerdict::Send},
                                         AdmissionCase{"WithoutAConfigurationHere",
                                                       callersRequest,
                                                       [](Situation &situation) {
                                                           situation.view.configuration = 0;
                                                           situation.route.reset();
                                                       },
                                                       RelayVerdict::NotReadYet},
                                         AdmissionCase{"OfAnotherKind",
                                                       callersRequest,
                                                       [](Situation &situation) {
                                                           situation.route->kind = fleet::RouteKind::NonIdempotent;
                                                       },
                                                       RelayVerdict::Outdated},
                                         AdmissionCase{"ToAnotherService",
                                                       callersRequest,
                                                       [](Situation &situation) {
                                                           situation.route = route({{"other", 1}});
                                                       },
                                                       RelayVerdict::Send,
                                                       ""},
                                         AdmissionCase{"ToAServiceWithoutWeight",
                                                       callersRequest,
                                                       [](Situation &situation) {
                                                           situation.route = route({{"desk", 0}, {"other", 1}});
                                                       },
                                                       RelayVerdict::Send,
                                                       ""},
                                         AdmissionCase{"ToNoServiceWithWeight",
                                                       callersRequest,
                                                       [](Situation &situation) {
                                                           situation.route = route({{"desk", 0}});
                                                       },
                                                       RelayVerdict::Outdated},
                                         AdmissionCase{"OfAStreamWhoseServiceWasReplaced",
                                                       callersRequest,
                                                       [](Situation &situation) {
                                                           situation.request.softwareVersion = "v1";
                                                           situation.route = route({{"other", 1}});
                                                       },
                                                       RelayVerdict::Outdated}),
                         [](const auto &test) {
                             return test.param.name;
                         });

INSTANTIATE_TEST_SUITE_P(Keys,
                         AdmissionTest,
                         testing::Values(AdmissionCase{"Held",
                                                       [] {
                                                           return keyedRequest("bakery", "key");
                                                       },
                                                       NoChange,
                                                       RelayVerdict::Send},
                                         AdmissionCase{"Revoked",
                                                       [] {
                                                           return keyedRequest("bakery", "other");
                                                       },
                                                       NoChange,
                                                       RelayVerdict::Outdated},
                                         AdmissionCase{"OfAnotherTenant",
                                                       [] {
                                                           return keyedRequest("mill", "key");
                                                       },
                                                       NoChange,
                                                       RelayVerdict::Outdated},
                                         AdmissionCase{"RevokedInAConfigurationThatIsOlder",
                                                       [] {
                                                           return keyedRequest("bakery", "other");
                                                       },
                                                       [](Situation &situation) {
                                                           situation.request.basis.configuration = Configuration + 1;
                                                       },
                                                       RelayVerdict::Send},
                                         AdmissionCase{"NotToldForATenantThatExists",
                                                       [] {
                                                           return keyedRequest("bakery", "key");
                                                       },
                                                       [](Situation &situation) {
                                                           situation.request.basis.callerKey.reset();
                                                       },
                                                       RelayVerdict::Send},
                                         AdmissionCase{"NotToldForATenantThatIsGone",
                                                       [] {
                                                           return keyedRequest("mill", "key");
                                                       },
                                                       [](Situation &situation) {
                                                           situation.request.basis.callerKey.reset();
                                                       },
                                                       RelayVerdict::Outdated},
                                         AdmissionCase{"NotNeededOnAPublicRoute",
                                                       [] {
                                                           return keyedRequest("bakery", "key");
                                                       },
                                                       [](Situation &situation) {
                                                           situation.request.basis.callerKey.reset();
                                                           situation.tenant.clear();
                                                           situation.route->isPublic = true;
                                                       },
                                                       RelayVerdict::Send},
                                         AdmissionCase{"NeededOnARouteThatIsNotPublicAnyMore",
                                                       [] {
                                                           return keyedRequest("bakery", "key");
                                                       },
                                                       [](Situation &situation) {
                                                           situation.request.basis.callerKey.reset();
                                                           situation.tenant.clear();
                                                       },
                                                       RelayVerdict::Outdated}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot::relay
