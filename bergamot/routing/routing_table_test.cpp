#include "bergamot/routing/routing_view.h"

#include <gtest/gtest.h>

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

std::unique_ptr<inner::EndpointT> endpoint(inner::EndpointKind kind, const std::string &serves, std::uint32_t slots)
{
    auto endpoint = std::make_unique<inner::EndpointT>();
    endpoint->id = serves + "-1";
    endpoint->kind = kind;
    endpoint->serves = serves;
    endpoint->domain = "a";
    endpoint->address = "127.0.0.1:9000";
    endpoint->slots = slots;
    endpoint->running = 3;
    endpoint->waiting = 2;
    endpoint->load_age_ms = 400;
    return endpoint;
}

Configuration exampleConfiguration()
{
    Configuration configuration;
    configuration.models[ModelId("agent")].model = ModelId("agent");
    configuration.services[ServiceId("stock")].service = ServiceId("stock");
    configuration.services[ServiceId("stock")].timeoutMilliseconds = 700;
    return configuration;
}

struct EndpointCase
{
    std::string name;
    inner::EndpointKind kind;
    std::string serves;
    std::uint32_t slots;
    std::string target; // empty if the endpoint is left out
    std::uint32_t expectedSlots;
    std::uint32_t expectedLoad;
};

class RoutedEndpoints : public testing::TestWithParam<EndpointCase>
{ };

TEST_P(RoutedEndpoints, ComeFromTheView)
{
    inner::ViewT view;
    view.endpoints.push_back(endpoint(GetParam().kind, GetParam().serves, GetParam().slots));
    const RoutingTable table = routingTable(view, exampleConfiguration());
    std::size_t endpoints = 0;
    for (const auto &[name, target] : table.targets) {
        endpoints += target.endpoints.size();
    }
    ASSERT_EQ(endpoints, GetParam().target.empty() ? 0U : 1U);
    if (!GetParam().target.empty()) {
        const RoutedEndpoint &routed = table.targets.at(GetParam().target).endpoints.front();
        EXPECT_EQ(routed.slots, GetParam().expectedSlots);
        EXPECT_EQ(routed.load, GetParam().expectedLoad);
        EXPECT_EQ(routed.loadAge, 400ms);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    RoutedEndpoints,
    testing::Values(EndpointCase{"Engine", inner::EndpointKind::Engine, "agent", 8, "model/agent", 8, 5},
                    EndpointCase{"SmallEngine", inner::EndpointKind::Engine, "agent", 1, "model/agent", 1, 5},
                    EndpointCase{"ProbedService", inner::EndpointKind::Service, "stock", 0, "service/stock", 0, 5},
                    EndpointCase{"OneWorker", inner::EndpointKind::Service, "stock", 1, "service/stock", 1, 5},
                    EndpointCase{"ReportingService", inner::EndpointKind::Service, "stock", 16, "service/stock", 16, 5},
                    EndpointCase{"NotConfigured", inner::EndpointKind::Service, "other", 1, "", 0, 0},
                    EndpointCase{"ServiceNamedAsModel", inner::EndpointKind::Service, "agent", 1, "", 0, 0}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

struct ReportCase
{
    std::string name;
    std::uint32_t slots;
    Duration age;
    bool reports;
};

class LoadReports : public testing::TestWithParam<ReportCase>
{ };

TEST_P(LoadReports, AreUsedWhileTheyAreRecent)
{
    EXPECT_EQ((RoutedEndpoint{.slots = GetParam().slots, .loadAge = GetParam().age}.reportsLoad()), GetParam().reports);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         LoadReports,
                         testing::Values(ReportCase{"Recent", 1, 2s, true},
                                         ReportCase{"NoSlots", 0, 0s, false},
                                         ReportCase{"Old", 1, 11s, false},
                                         ReportCase{"Unknown", 1, 25500ms, false}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST(RoutingTableTest, TakesTimeoutsAndSkipsBadAddresses)
{
    inner::ViewT view;
    view.endpoints.push_back(endpoint(inner::EndpointKind::Service, "stock", 1));
    view.endpoints.front()->address = "nowhere";
    const RoutingTable table = routingTable(view, exampleConfiguration());
    EXPECT_TRUE(table.targets.at("service/stock").endpoints.empty());
    EXPECT_EQ(table.targets.at("service/stock").defaultTimeout, 700ms);
}

TEST(SuspectFrames, KeepEveryField)
{
    const std::vector<SuspectReport> reports{
        {.fingerprint = 7, .endpoints = {EndpointId("a"), EndpointId("b")}, .ranAlone = true, .cleared = false},
        {.fingerprint = 8, .endpoints = {}, .ranAlone = false, .cleared = true}};
    EXPECT_EQ(fromFrames(toFrames(reports)), reports);
}

} // namespace

} // namespace bergamot
