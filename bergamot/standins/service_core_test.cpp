#include "bergamot/standins/service_core.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

const TimePoint Start{1h};

ServiceRequest confirm(const std::string &id, const std::string &lot)
{
    return {id, "POST", "/confirm", R"({"lot":")" + lot + R"("})"};
}

struct RouteCase
{
    ServiceRequest request;
    int status;
    std::string run; // the name under which the run is counted, or empty
};

class ServiceRoutes : public testing::TestWithParam<RouteCase>
{ };

TEST_P(ServiceRoutes, answerAndCount)
{
    ServiceCore service;
    ASSERT_TRUE(service.submit(GetParam().request, Start));
    service.advance(Start + 5ms);
    const std::vector<ServiceEvent> events = service.takeEvents();
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events.front().status, GetParam().status) << events.front().body;
    EXPECT_EQ(service.runs().total(), GetParam().run.empty() ? 0U : 1U);
    EXPECT_EQ(service.runs().count(GetParam().run), GetParam().run.empty() ? 0U : 1U);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ServiceRoutes,
                         testing::Values(RouteCase{{"1", "GET", "/stock/fettuccine", ""}, 200, "GET /stock/fettuccine"},
                                         RouteCase{{"1", "GET", "/status/17", ""}, 200, "GET /status/17"},
                                         RouteCase{confirm("1", "lot-7"), 200, "POST /confirm lot-7"},
                                         RouteCase{{"1", "POST", "/pull", R"({"record":"r1"})"}, 200, "POST /pull r1"},
                                         RouteCase{{"1", "POST", "/confirm", "{}"}, 400, ""},
                                         RouteCase{{"1", "POST", "/confirm", "lot"}, 400, ""},
                                         RouteCase{{"1", "GET", "/price", ""}, 404, ""}));

TEST(ServiceCore, worksOffItsQueueInOrder)
{
    ServiceCore service({.workers = 1, .maxWaiting = 1, .serviceTime = 10ms});
    ASSERT_TRUE(service.submit(confirm("1", "a"), Start));
    ASSERT_TRUE(service.submit(confirm("2", "b"), Start));
    EXPECT_EQ(service.submit(confirm("3", "c"), Start).error().code, ErrorCode::Overloaded);
    service.advance(Start + 10ms);
    EXPECT_EQ(service.takeEvents().size(), 1U);
    service.advance(Start + 20ms);
    EXPECT_EQ(service.takeEvents().front().id, "2");
    EXPECT_EQ(service.runs().count("POST /confirm c"), 0U) << "refused means not run";
}

TEST(ServiceCore, tellsItsLoadWithALag)
{
    ServiceCore service({.workers = 1, .serviceTime = 2s, .loadLag = 500ms});
    EXPECT_EQ(service.state(Start), (ServiceState{.slots = 1}));
    ASSERT_TRUE(service.submit(confirm("1", "a"), Start + 100ms));
    ASSERT_TRUE(service.submit(confirm("2", "b"), Start + 100ms));
    EXPECT_EQ(service.state(Start + 499ms), (ServiceState{.slots = 1, .loadAge = 499ms}));
    EXPECT_EQ(service.state(Start + 600ms), (ServiceState{.running = 1, .waiting = 1, .slots = 1, .loadAge = 100ms}));
    EXPECT_EQ(service.state(Start + 2500ms), (ServiceState{.running = 1, .slots = 1}));
}

TEST(ServiceCore, countsARequestThatRunsTwice)
{
    ServiceCore service;
    ASSERT_TRUE(service.submit(confirm("1", "a"), Start));
    ASSERT_TRUE(service.submit(confirm("2", "a"), Start));
    EXPECT_EQ(service.runs().count("POST /confirm a"), 2U);
}

struct ServiceFaultCase
{
    FaultCommand command;
    bool accepted;
    AnswerFate fate;
    Duration done; // when the answer is ready
};

class ServiceFaults : public testing::TestWithParam<ServiceFaultCase>
{ };

TEST_P(ServiceFaults, showOnARequest)
{
    ServiceCore service({.serviceTime = 5ms});
    ASSERT_TRUE(service.apply(GetParam().command, Start));
    ASSERT_EQ(service.submit(confirm("1", "a"), Start).has_value(), GetParam().accepted);
    EXPECT_EQ(service.runs().total(), GetParam().accepted ? 1U : 0U);
    if (GetParam().accepted) {
        ASSERT_EQ(service.nextDue(), Start + GetParam().done);
        service.advance(Start + GetParam().done);
        EXPECT_EQ(service.takeEvents().front().fate, GetParam().fate);
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ServiceFaults,
                         testing::Values(ServiceFaultCase{{.fault = "refuse"}, false, AnswerFate::Whole, 0ms},
                                         ServiceFaultCase{{.fault = "out"}, false, AnswerFate::Whole, 0ms},
                                         ServiceFaultCase{{.fault = "crash"}, false, AnswerFate::Whole, 0ms},
                                         ServiceFaultCase{{.fault = "half"}, true, AnswerFate::Half, 5ms},
                                         ServiceFaultCase{{.fault = "close"}, true, AnswerFate::Closed, 5ms},
                                         ServiceFaultCase{{.fault = "silent"}, true, AnswerFate::Silent, 5ms},
                                         ServiceFaultCase{
                                             {.fault = "slow", .duration = 50ms}, true, AnswerFate::Whole, 50ms}));

TEST(ServiceCore, losesAllInFlightToAPoisonedRequest)
{
    ServiceCore service({.workers = 2, .serviceTime = 5ms, .restartTime = 1s});
    ASSERT_TRUE(service.apply({.fault = "poison", .text = "bad"}, Start));
    ASSERT_TRUE(service.submit(confirm("1", "bad-lot"), Start));
    ASSERT_TRUE(service.submit(confirm("2", "good-lot"), Start + 1ms));
    ASSERT_TRUE(service.submit(confirm("3", "waiting-lot"), Start + 1ms));
    service.advance(Start + 5ms);
    const std::vector<ServiceEvent> events = service.takeEvents();
    ASSERT_EQ(events.size(), 3U);
    EXPECT_TRUE(events[0].lost && events[1].lost && events[2].lost);
    EXPECT_TRUE(service.down());
    EXPECT_EQ(service.crashes(), 1U);
    EXPECT_EQ(service.runs().count("POST /confirm waiting-lot"), 0U);
    EXPECT_FALSE(service.submit(confirm("4", "a"), Start + 1s));
    EXPECT_TRUE(service.submit(confirm("4", "a"), Start + 1s + 5ms));
}

TEST(ServiceCore, tellsOfWorkHandedInAfterLeaving)
{
    ServiceCore service;
    ASSERT_TRUE(service.submit(confirm("1", "a"), Start));
    ASSERT_TRUE(service.apply({.fault = "leave"}, Start));
    EXPECT_EQ(service.runs().lastAfterLeaving(), std::nullopt);
    ASSERT_TRUE(service.submit(confirm("2", "b"), Start + 2s));
    EXPECT_EQ(service.runs().lastAfterLeaving(), Duration(2s));
}

} // namespace
} // namespace bergamot
