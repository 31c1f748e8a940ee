#include "bergamot/membership/view_builder.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

const FailureDomainId East("east");
const TimePoint Start(1h);

ListedMember listedEngine(const std::string &id, const FailureDomainId &domain, ListedState state = ListedState::Live)
{
    return {ListedKind::Engine, id, domain, {"10.0.0.9", 9000}, state, "model"};
}

inner::EndpointReportT makeReport(bool isReachable, bool isLeaving, std::uint64_t version)
{
    inner::EndpointReportT report;
    report.endpoint = "e1";
    report.reachable = isReachable;
    report.leaving = isLeaving;
    report.version = version;
    report.slots = 4;
    return report;
}

struct ReportCase
{
    std::string name;
    ListedState listed;
    std::vector<inner::EndpointReportT> reports; // each from a different poller, 1 s apart
    Duration after; // time since the last report
    bool leaving;
    bool reachable;
    std::uint64_t version;
};

class CorrectedList : public testing::TestWithParam<ReportCase>
{ };

TEST_P(CorrectedList, freshReportsTakePrecedenceOverTheList)
{
    ViewBuilder builder(East);
    builder.setList({listedEngine("e1", East, GetParam().listed)});
    TimePoint now = Start;
    int poller = 0;
    for (const inner::EndpointReportT &report : GetParam().reports) {
        now += 1s;
        builder.report("i" + std::to_string(++poller), report, now);
    }
    const std::vector<inner::EndpointT> endpoints = builder.endpoints(now + GetParam().after);
    ASSERT_EQ(endpoints.size(), 1U);
    EXPECT_EQ(endpoints.front().leaving, GetParam().leaving);
    EXPECT_EQ(endpoints.front().reachable, GetParam().reachable);
    EXPECT_EQ(endpoints.front().version, GetParam().version);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CorrectedList,
    testing::Values(
        ReportCase{"noReport", ListedState::Live, {}, 0s, false, true, 0},
        ReportCase{"listedLeaving", ListedState::Leaving, {}, 0s, true, true, 0},
        ReportCase{
            "listedLeavingAlthoughNotReported", ListedState::Leaving, {makeReport(true, false, 3)}, 0s, true, true, 3},
        ReportCase{"reportsLeaving", ListedState::Live, {makeReport(true, true, 3)}, 0s, true, true, 3},
        ReportCase{"refuses", ListedState::Live, {makeReport(false, false, 3)}, 0s, false, false, 3},
        ReportCase{"oneOfTwoReachesIt",
                   ListedState::Live,
                   {makeReport(true, false, 3), makeReport(false, false, 0)},
                   0s,
                   false,
                   true,
                   3},
        ReportCase{"newerVersionWins",
                   ListedState::Live,
                   {makeReport(true, false, 3), makeReport(true, false, 4)},
                   0s,
                   false,
                   true,
                   4},
        ReportCase{"staleReport", ListedState::Live, {makeReport(false, true, 3)}, 9s, false, true, 0}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

TEST(ViewBuilder, showsABoundedNumberOfEndpointsOfOtherDomains)
{
    std::vector<ListedMember> list;
    for (int i = 0; i < 100; ++i) {
        list.push_back(listedEngine("e" + std::to_string(i), East));
        list.push_back(listedEngine("w" + std::to_string(i), FailureDomainId("west")));
    }
    ViewBuilder builder(East);
    builder.setList(list);
    std::size_t others = 0;
    for (const inner::EndpointT &endpoint : builder.endpoints(Start)) {
        others += endpoint.domain == "west" ? 1 : 0;
    }
    EXPECT_EQ(builder.endpoints(Start).size() - others, 100U);
    EXPECT_EQ(others, ViewBuilderOptions().remoteEndpointsPerService);
}

TEST(ViewBuilder, loadsAgeBetweenReports)
{
    ViewBuilder builder(East);
    builder.setList({listedEngine("e1", East)});
    builder.reportLoads("i1", {inner::PolledLoad(endpointHash("e1"), 5, 2, 3)}, Start);
    const inner::EndpointT endpoint = builder.endpoints(Start + 400ms).front();
    EXPECT_EQ(endpoint.running, 5U);
    EXPECT_EQ(endpoint.waiting, 2U);
    EXPECT_EQ(endpoint.load_age_ms, 700U);
}

TEST(ViewBuilder, distinguishesUnknownLoadsFromZero)
{
    ViewBuilder builder(East);
    builder.setList({listedEngine("e1", East)});
    EXPECT_EQ(builder.endpoints(Start).front().load_age_ms, std::uint64_t(UnknownLoadAge.count()));
    builder.reportLoads("i1", {inner::PolledLoad(endpointHash("e1"), 0, 0, 255)}, Start);
    EXPECT_EQ(builder.endpoints(Start + 1s).front().load_age_ms, std::uint64_t(UnknownLoadAge.count()));
}

TEST(ViewBuilder, sendsLoadsToOtherDomainsWithTheirAge)
{
    const FailureDomainId west("west");
    ViewBuilder here(East);
    ViewBuilder there(west);
    here.setList({listedEngine("e1", East), listedEngine("e2", East)});
    there.setList({listedEngine("e1", East), listedEngine("e2", East)});
    here.report("i1", makeReport(true, false, 1), Start);
    here.reportLoads("i1", {inner::PolledLoad(endpointHash("e1"), 5, 2, 3)}, Start);
    const std::vector<inner::EndpointReportT> reports = here.reportsForOtherDomains(Start + 1s);
    there.addLoads(here.loadsOf(reports, Start + 1s), Start + 1s);
    const std::vector<inner::EndpointT> endpoints = there.endpoints(Start + 2s);
    ASSERT_EQ(endpoints.size(), 2U);
    EXPECT_EQ(endpoints.front().running, 5U);
    EXPECT_EQ(endpoints.front().waiting, 2U);
    EXPECT_EQ(endpoints.front().load_age_ms, 2300U);
    EXPECT_EQ(endpoints.back().load_age_ms, std::uint64_t(UnknownLoadAge.count()));
}

struct SlotsCase
{
    std::string name;
    ListedKind kind;
    std::optional<std::uint32_t> reported;
    std::uint32_t shown;
};

class ShownSlots : public testing::TestWithParam<SlotsCase>
{ };

TEST_P(ShownSlots, areZeroForAServiceWithoutLoad)
{
    ViewBuilder builder(East);
    ListedMember member = listedEngine("e1", East);
    member.kind = GetParam().kind;
    builder.setList({member});
    if (GetParam().reported) {
        inner::EndpointReportT report = makeReport(true, false, 0);
        report.slots = *GetParam().reported;
        builder.report("i1", report, Start);
    }
    EXPECT_EQ(builder.endpoints(Start).front().slots, GetParam().shown);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ShownSlots,
                         testing::Values(SlotsCase{"UnpolledEngine", ListedKind::Engine, std::nullopt, 1},
                                         SlotsCase{"Engine", ListedKind::Engine, 8, 8},
                                         SlotsCase{"UnpolledService", ListedKind::Endpoint, std::nullopt, 0},
                                         SlotsCase{"SilentService", ListedKind::Endpoint, 0, 0},
                                         SlotsCase{"OneWorker", ListedKind::Endpoint, 1, 1}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST(ViewBuilder, canUseAPeersRowsAsItsList)
{
    ViewBuilder first(East);
    first.setList({listedEngine("e1", East, ListedState::Leaving)});
    ViewBuilder second(East);
    second.adoptList(first.endpoints(Start));
    ASSERT_EQ(second.endpoints(Start).size(), 1U);
    EXPECT_TRUE(second.endpoints(Start).front().leaving);
    EXPECT_FALSE(second.hasList());
}

} // namespace
} // namespace bergamot
