#include <gtest/gtest.h>

#include "bergamot/routing/concurrency_limit.h"
#include "bergamot/routing/latency_quantile.h"
#include "bergamot/routing/load_estimate.h"
#include "bergamot/routing/report_limit.h"
#include "bergamot/routing/retry_budget.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

const TimePoint Now(1h);

/// Answers of an endpoint with `slots` places that works 10 ms on each request and queues the rest.
void answerAll(ConcurrencyLimit &limit, int answers, double slots)
{
    for (int count = 0; count < answers; ++count) {
        const double inFlight = limit.allowed();
        const double milliseconds = 10.0 * std::max(1.0, inFlight / slots);
        limit.answered(std::chrono::microseconds(static_cast<std::int64_t>(1000 * milliseconds)), limit.allowed());
    }
}

TEST(ConcurrencyLimitTest, SettlesNearWhatTheEndpointCanHold)
{
    ConcurrencyLimit limit;
    answerAll(limit, 5000, 20);
    EXPECT_GE(limit.allowed(), 20U);
    EXPECT_LE(limit.allowed(), 30U);
}

TEST(ConcurrencyLimitTest, StaysWhereItIsNotUsed)
{
    ConcurrencyLimit limit({.initial = 16});
    for (int count = 0; count < 1000; ++count) {
        limit.answered(10ms, 2);
    }
    EXPECT_EQ(limit.allowed(), 16U);
}

TEST(ConcurrencyLimitTest, CutsOnceForEachWindowOfOverload)
{
    ConcurrencyLimit limit({.initial = 100});
    for (int count = 0; count < 10; ++count) {
        limit.overloaded();
    }
    EXPECT_EQ(limit.allowed(), 80U);
}

struct ReportCase
{
    std::string name;
    double perSlot;
    std::uint32_t inFlight;
    double least;
    double most;
};

class ReportRules : public testing::TestWithParam<ReportCase>
{ };

TEST_P(ReportRules, MoveTheLimit)
{
    ReportLimit limit({.initial = 100});
    limit.reported(2.0, Now);
    const double before = limit.allowed();
    limit.dispatched(GetParam().inFlight);
    limit.reported(GetParam().perSlot, Now + 1s);
    EXPECT_GE(limit.allowed() / before, GetParam().least);
    EXPECT_LE(limit.allowed() / before, GetParam().most);
    limit.reported(5.0, Now + 1s);
    EXPECT_GE(limit.allowed() / before, GetParam().least);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ReportRules,
                         testing::Values(ReportCase{"FarOver", 3.0, 100, 0.69, 0.71},
                                         ReportCase{"JustRight", 1.2, 100, 1.0, 1.0},
                                         ReportCase{"RoomAndUsed", 0.8, 100, 1.05, 1.2},
                                         ReportCase{"RoomButUnused", 0.8, 3, 1.0, 1.0}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST(ReportLimitTest, IsNoLimitWithoutReports)
{
    ReportLimit limit;
    EXPECT_GT(limit.allowed(), 1e9);
    limit.reported(1.0, Now);
    EXPECT_LT(limit.allowed(), 1e9);
    limit.silent();
    EXPECT_GT(limit.allowed(), 1e9);
}

TEST(LoadEstimateTest, CorrectsAReportByOwnChangesSince)
{
    LoadEstimate load;
    load.dispatched(Now);
    load.dispatched(Now + 2s);
    load.reported(5, Now + 1s);
    EXPECT_NEAR(load.load(Now + 2s, 1h), 2 + 4, 0.01);
    load.finished(Now + 3s);
    EXPECT_NEAR(load.load(Now + 3s, 1h), 1 + 4, 0.01);
    EXPECT_EQ(load.inFlight(), 1U);
}

TEST(LoadEstimateTest, ForgetsOldReports)
{
    LoadEstimate load;
    load.dispatched(Now);
    load.reported(50, Now + 1ms);
    EXPECT_GT(load.load(Now + 1ms, 1s), 40);
    EXPECT_EQ(load.load(Now + 11s, 1s), 1);
    EXPECT_LT(load.freshness(Now + 10s, 10ms), 0.01);
}

TEST(ShareBudgetTest, LetsThroughAShareOfSuccesses)
{
    ShareBudget budget({.share = 0.1, .reserve = 2, .most = 5});
    EXPECT_TRUE(budget.spend());
    EXPECT_TRUE(budget.spend());
    EXPECT_FALSE(budget.spend());
    for (int count = 0; count < 1000; ++count) {
        budget.earn();
    }
    int spent = 0;
    while (budget.spend()) {
        ++spent;
    }
    EXPECT_EQ(spent, 5);
}

TEST(BackoffTest, DoublesWithJitterUpToItsLongest)
{
    std::mt19937_64 random(1);
    const BackoffOptions options{.shortest = 10ms, .longest = 1s};
    for (std::uint32_t retry = 0; retry < 40; ++retry) {
        const Duration pause = backoff(options, retry, random);
        EXPECT_GT(pause, Duration::zero());
        EXPECT_LE(pause, std::min<Duration>(10ms * (std::int64_t{1} << std::min(retry, 10U)), 1s));
    }
}

TEST(LatencyQuantileTest, SettlesWhereTheShareSays)
{
    LatencyQuantile quantile(0.97);
    std::mt19937_64 random(1);
    std::uniform_int_distribution<int> spread(1, 1000);
    for (int count = 0; count < 20000; ++count) {
        quantile.add(std::chrono::milliseconds(spread(random)));
    }
    EXPECT_NEAR(std::chrono::duration<double>(quantile.value()).count(), 0.97, 0.05);
}

} // namespace

} // namespace bergamot
