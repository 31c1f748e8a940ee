#include "bergamot/membership/endpoint_poller.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

const EndpointId Engine("e1");
const TimePoint Start(1h);

const Result<EngineState> Serving = EngineState{ModelId("m"), 3, 0, 1, 0, 8};
const Result<EngineState> Leaving = EngineState{ModelId("m"), 3, 0, 1, 0, 8, 0ms, true};
const Result<EngineState> Refused = failure(ErrorCode::Unavailable, "refused");
const Result<EngineState> TimedOut = failure(ErrorCode::DeadlineExceeded, "timed out");

struct PollCase
{
    std::string name;
    std::vector<Result<EngineState>> answers;
    bool reachable;
    bool leaving;
    bool urgent; // the last answer
};

class PollAnswers : public testing::TestWithParam<PollCase>
{ };

TEST_P(PollAnswers, produceReports)
{
    EndpointPoller poller;
    poller.assign({{Engine, inner::EndpointKind::Engine, {"10.0.0.1", 1}}});
    bool isUrgent = false;
    TimePoint now = Start;
    for (const Result<EngineState> &answer : GetParam().answers) {
        ASSERT_EQ(poller.due(now).size(), 1U);
        isUrgent = poller.polled(Engine, answer, now);
        now += 1s;
    }
    ASSERT_EQ(poller.reports().size(), 1U);
    EXPECT_EQ(poller.reports().front().reachable, GetParam().reachable);
    EXPECT_EQ(poller.reports().front().leaving, GetParam().leaving);
    EXPECT_EQ(isUrgent, GetParam().urgent);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    PollAnswers,
    testing::Values(PollCase{"serves", {Serving}, true, false, false},
                    PollCase{"refusesAtFirst", {Refused}, false, false, true},
                    PollCase{"refusesLater", {Serving, Refused}, false, false, true},
                    PollCase{"oneTimeoutIsTolerated", {Serving, TimedOut}, true, false, false},
                    PollCase{"twoTimeoutsMakeItUnreachable", {Serving, TimedOut, TimedOut}, false, false, true},
                    PollCase{"servesAgain", {Serving, Refused, Serving}, true, false, true},
                    PollCase{"leaves", {Serving, Leaving}, true, true, true},
                    PollCase{"leavesAndThenRefuses", {Serving, Leaving, Refused}, false, true, true},
                    PollCase{"staysLeaving", {Serving, Leaving, Leaving}, true, true, false}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

TEST(EndpointPoller, pollsOncePerPeriodAndTimesOut)
{
    EndpointPoller poller;
    poller.assign({{Engine, inner::EndpointKind::Engine, {"10.0.0.1", 1}}});
    EXPECT_EQ(poller.due(Start).size(), 1U);
    EXPECT_TRUE(poller.due(Start + 2s).empty()) << "one poll at a time";
    EXPECT_EQ(poller.due(Start + 3s).size(), 1U);
    EXPECT_FALSE(poller.polled(EndpointId("other"), Serving, Start));
}

TEST(EndpointPoller, reportsOnlyChangesAndDropsUnassignedEndpoints)
{
    EndpointPoller poller;
    poller.assign({{Engine, inner::EndpointKind::Engine, {"10.0.0.1", 1}}});
    poller.due(Start);
    poller.polled(Engine, Serving, Start);
    const std::uint64_t seen = poller.tick();
    poller.due(Start + 1s);
    poller.polled(Engine, Serving, Start + 1s);
    EXPECT_TRUE(poller.reportsSince(seen).empty());
    EXPECT_EQ(poller.loads().size(), 1U);
    poller.assign({});
    EXPECT_TRUE(poller.reports().empty());
}

struct LoadCase
{
    std::string name;
    std::uint32_t slots; // 0: the service reports no load
    std::size_t loads;
};

class ServiceLoads : public testing::TestWithParam<LoadCase>
{ };

TEST_P(ServiceLoads, areReportedIfTheServiceHasSlots)
{
    EndpointPoller poller;
    poller.assign({{Engine, inner::EndpointKind::Service, {"10.0.0.1", 1}}});
    poller.due(Start);
    poller.polled(Engine, EngineState{.running = 5, .slots = GetParam().slots}, Start);
    EXPECT_EQ(poller.reports().front().slots, GetParam().slots);
    EXPECT_EQ(poller.loads().size(), GetParam().loads);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ServiceLoads,
                         testing::Values(LoadCase{"Reported", 16, 1},
                                         LoadCase{"OneWorker", 1, 1},
                                         LoadCase{"None", 0, 0}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

} // namespace
} // namespace bergamot
