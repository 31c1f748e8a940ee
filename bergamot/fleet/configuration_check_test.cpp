#include "bergamot/fleet/configuration_check.h"

#include <functional>

#include <gtest/gtest.h>

namespace bergamot::fleet
{
namespace
{

using namespace std::chrono_literals;

/// The parts of a configuration, to be changed by a case.
struct Parts
{
    std::uint64_t version = 7;
    std::vector<Route> routes{{.name = "quotes",
                               .host = "a.example",
                               .pathPrefix = "/quotes/",
                               .kind = RouteKind::Idempotent,
                               .services = {{.service = "desk"}}},
                              {.name = "samples",
                               .host = "a.example",
                               .pathPrefix = "/samples/",
                               .kind = RouteKind::Batch,
                               .services = {{.service = "llm"}}}};
    std::vector<Service> services{
        {.name = "desk"}, {.name = "llm", .engine = EngineTraits{.slots = 6, .memoryTokens = 1000, .models = {"m"}}}};
    CallerLimits limits;
    std::optional<std::vector<tenants::Tenant>> tenants;

    Route &quotes()
    {
        return routes[0];
    }
    Route &samples()
    {
        return routes[1];
    }
    Configuration configuration() const
    {
        return {
            version, routes, services, limits, tenants ? std::optional(tenants::TenantIndex(*tenants)) : std::nullopt};
    }
};

tenants::Tenant tenant(const std::string &name, const std::vector<std::string> &keys)
{
    tenants::Tenant tenant{.name = name};
    for (const std::string &key : keys) {
        tenant.keys.push_back(sha256(key));
    }
    return tenant;
}

constexpr const char *Quotes = "route quotes (a.example /quotes/)";
constexpr const char *Samples = "route samples (a.example /samples/)";

using Change = std::function<void(Parts &)>;

struct FindingCase
{
    const char *name;
    Change change;
    std::vector<std::pair<Severity, std::string>> found; // severity and subject
};

class FindingTest : public testing::TestWithParam<FindingCase>
{ };

TEST_P(FindingTest, NamesWhatIsWrong)
{
    Parts parts;
    GetParam().change(parts);
    std::vector<std::pair<Severity, std::string>> found;
    for (const Finding &finding : checkConfiguration(parts.configuration())) {
        found.emplace_back(finding.severity, finding.subject);
        EXPECT_FALSE(finding.problem.empty());
    }
    EXPECT_EQ(found, GetParam().found);
}

constexpr Severity Error = Severity::Error;
constexpr Severity Warning = Severity::Warning;

INSTANTIATE_TEST_SUITE_P(
    Configurations,
    FindingTest,
    testing::Values(FindingCase{"Sound", [](Parts &) {}, {}},
                    FindingCase{"VersionZero",
                                [](Parts &parts) {
                                    parts.version = 0;
                                },
                                {{Error, "configuration"}}},
                    FindingCase{"PrefixWithoutSlash",
                                [](Parts &parts) {
                                    parts.quotes().pathPrefix = "quotes/";
                                },
                                {{Error, "route quotes (a.example quotes/)"}}},
                    FindingCase{"NoService",
                                [](Parts &parts) {
                                    parts.quotes().services.clear();
                                },
                                {{Error, Quotes}, {Warning, "service desk"}}},
                    FindingCase{"UnlistedService",
                                [](Parts &parts) {
                                    parts.quotes().services.push_back({.service = "dusk"});
                                },
                                {{Error, Quotes}}},
                    FindingCase{"BatchesAtAPlainService",
                                [](Parts &parts) {
                                    parts.samples().services.push_back({.service = "desk"});
                                },
                                {{Error, Samples}}},
                    FindingCase{"NoAttempt",
                                [](Parts &parts) {
                                    parts.quotes().maxAttempts = 0;
                                },
                                {{Error, Quotes}}},
                    FindingCase{"NoTime",
                                [](Parts &parts) {
                                    parts.quotes().timeout = 0s;
                                },
                                {{Error, Quotes}, {Warning, Quotes}}},
                    FindingCase{"NoTimeForResults",
                                [](Parts &parts) {
                                    parts.samples().retention = 0s;
                                },
                                {{Error, Samples}, {Warning, Samples}}},
                    FindingCase{"NoWeight",
                                [](Parts &parts) {
                                    parts.quotes().services = {{.service = "desk", .weight = 0}};
                                },
                                {{Warning, Quotes}}},
                    FindingCase{"OneWeightOfTwo",
                                [](Parts &parts) {
                                    parts.quotes().services.push_back({.service = "llm", .weight = 0});
                                },
                                {}},
                    FindingCase{"TargetAboveTheLimit",
                                [](Parts &parts) {
                                    parts.quotes().latencyObjective = parts.quotes().timeout + 1ms;
                                },
                                {{Warning, Quotes}}},
                    FindingCase{"TargetAtTheLimit",
                                [](Parts &parts) {
                                    parts.quotes().latencyObjective = parts.quotes().timeout;
                                },
                                {}},
                    FindingCase{"DueAfterGivenUp",
                                [](Parts &parts) {
                                    parts.samples().resultDeadline = parts.samples().retention + 1ms;
                                },
                                {{Warning, Samples}}},
                    FindingCase{"ResumableWithoutStream",
                                [](Parts &parts) {
                                    parts.quotes().resumable = true;
                                },
                                {{Warning, Quotes}}},
                    FindingCase{"SingleVersionWithoutBatch",
                                [](Parts &parts) {
                                    parts.quotes().singleVersion = true;
                                },
                                {{Warning, Quotes}}},
                    FindingCase{"DoubledRoute",
                                [](Parts &parts) {
                                    Route second = parts.quotes();
                                    second.name = "second";
                                    parts.routes.push_back(second);
                                },
                                {{Error, "route second (a.example /quotes/)"}}},
                    FindingCase{"LongerPrefixOfTheSameHost",
                                [](Parts &parts) {
                                    Route second = parts.quotes();
                                    second.pathPrefix = "/quotes/now/";
                                    parts.routes.push_back(second);
                                },
                                {}},
                    FindingCase{"NoSlots",
                                [](Parts &parts) {
                                    parts.services[1].engine->slots = 0;
                                },
                                {{Error, "service llm"}}},
                    FindingCase{"NoModels",
                                [](Parts &parts) {
                                    parts.services[1].engine->models.clear();
                                },
                                {{Warning, "service llm"}}},
                    FindingCase{"UnusedService",
                                [](Parts &parts) {
                                    parts.services.push_back({.name = "spare"});
                                },
                                {{Warning, "service spare"}}},
                    FindingCase{"NoTenantAndNothingPublic",
                                [](Parts &parts) {
                                    parts.tenants.emplace();
                                },
                                {{Error, "configuration"}}},
                    FindingCase{"NoTenantButAPublicRoute",
                                [](Parts &parts) {
                                    parts.tenants.emplace();
                                    parts.quotes().isPublic = true;
                                },
                                {}},
                    FindingCase{"TenantWithoutKey",
                                [](Parts &parts) {
                                    parts.tenants = {tenant("north", {"k1"}), tenant("south", {})};
                                },
                                {{Warning, "tenant south"}}},
                    FindingCase{"KeyOfTwoTenants",
                                [](Parts &parts) {
                                    parts.tenants = {tenant("north", {"k1"}), tenant("south", {"k2", "k1"})};
                                },
                                {{Error, "tenant north"}, {Error, "tenant south"}}},
                    FindingCase{"TenantTwice",
                                [](Parts &parts) {
                                    parts.tenants = {tenant("north", {"k1"}), tenant("north", {"k2"})};
                                },
                                {{Error, "tenant north"}}},
                    FindingCase{"NoBody",
                                [](Parts &parts) {
                                    parts.limits.bodyBytes = 0;
                                },
                                {{Error, "limits"}}},
                    FindingCase{"IdleBeforeTheHeaders",
                                [](Parts &parts) {
                                    parts.limits.idleTimeout = parts.limits.headerTimeout - 1ms;
                                },
                                {{Warning, "limits"}}}),
    [](const auto &test) {
        return test.param.name;
    });

struct DifferenceCase
{
    const char *name;
    Change change; // of the next version
    std::vector<Difference> found;
};

class DifferenceTest : public testing::TestWithParam<DifferenceCase>
{ };

TEST_P(DifferenceTest, NamesTheFields)
{
    Parts before;
    before.tenants = {tenant("north", {"k1"})};
    Parts next = before;
    next.version = before.version + 1;
    GetParam().change(next);
    EXPECT_EQ(differences(before.configuration(), next.configuration()), GetParam().found);
    EXPECT_TRUE(checkSuccession(before.configuration(), next.configuration()).empty());
}

INSTANTIATE_TEST_SUITE_P(
    Changes,
    DifferenceTest,
    testing::Values(DifferenceCase{"Nothing", [](Parts &) {}, {}},
                    DifferenceCase{"OrderOfRoutes",
                                   [](Parts &parts) {
                                       std::swap(parts.routes[0], parts.routes[1]);
                                   },
                                   {}},
                    DifferenceCase{"AnotherPrefix",
                                   [](Parts &parts) {
                                       parts.quotes().pathPrefix = "/q/";
                                   },
                                   {{Quotes, "removed"}, {"route quotes (a.example /q/)", "added"}}},
                    DifferenceCase{"FieldsOfARoute",
                                   [](Parts &parts) {
                                       parts.quotes().timeout = 3s;
                                       parts.quotes().services = {{.service = "desk", .weight = 2}};
                                   },
                                   {{Quotes, "services, time limit"}}},
                    DifferenceCase{"Service",
                                   [](Parts &parts) {
                                       parts.services[0].maxConnections = 9;
                                       parts.services.push_back({.name = "spare"});
                                   },
                                   {{"service desk", "connections"}, {"service spare", "added"}}},
                    DifferenceCase{"Keys",
                                   [](Parts &parts) {
                                       parts.tenants = {tenant("north", {"k2"}), tenant("south", {"k3"})};
                                   },
                                   {{"tenant north", "keys"}, {"tenant south", "added"}}},
                    DifferenceCase{"Limits",
                                   [](Parts &parts) {
                                       parts.limits.bodyBytes = 1;
                                       parts.limits.idleTimeout = 60s;
                                   },
                                   {{"limits", "body bytes, idle time limit"}}}),
    [](const auto &test) {
        return test.param.name;
    });

struct SuccessionCase
{
    const char *name;
    std::uint64_t inForce;
    std::uint64_t next;
    bool keepsTenants;
    std::vector<Severity> found;
};

class SuccessionTest : public testing::TestWithParam<SuccessionCase>
{ };

TEST_P(SuccessionTest, FindsWhatInstancesWouldIgnore)
{
    Parts before;
    before.version = GetParam().inForce;
    before.tenants = {tenant("north", {"k1"})};
    Parts next = before;
    next.version = GetParam().next;
    if (!GetParam().keepsTenants) {
        next.tenants.reset();
    }
    std::vector<Severity> found;
    for (const Finding &finding : checkSuccession(before.configuration(), next.configuration())) {
        found.push_back(finding.severity);
    }
    EXPECT_EQ(found, GetParam().found);
}

INSTANTIATE_TEST_SUITE_P(Successions,
                         SuccessionTest,
                         testing::Values(SuccessionCase{"Next", 7, 8, true, {}},
                                         SuccessionCase{"Later", 7, 70, true, {}},
                                         SuccessionCase{"Same", 7, 7, true, {Error}},
                                         SuccessionCase{"Earlier", 7, 6, true, {Error}},
                                         SuccessionCase{"WithoutTenants", 7, 8, false, {Warning}}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot::fleet
