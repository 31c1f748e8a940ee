#include "bergamot/samples/staleness_rule.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using std::chrono::seconds;

struct SpanCase
{
    std::vector<TokenSpan> spans;
    WeightVersion newest;
    std::uint64_t staleness;
};

class Staleness : public testing::TestWithParam<SpanCase>
{ };

TEST_P(Staleness, isCountedFromTheOldestSpan)
{
    EXPECT_EQ(stalenessOf(GetParam().spans, GetParam().newest), GetParam().staleness);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Staleness,
                         testing::Values(SpanCase{{{5, 10}}, 5, 0},
                                         SpanCase{{{4, 1}, {5, 99}}, 5, 1},
                                         SpanCase{{{5, 99}, {4, 1}}, 6, 2},
                                         SpanCase{{{7, 1}}, 5, 0},
                                         SpanCase{{{0, 1}}, 5, 5},
                                         SpanCase{{}, 5, 5}));

class StalenessForecast : public testing::Test
{
protected:
    TimePoint at(int second) const
    {
        return TimePoint(seconds(1000 + second));
    }

    StalenessRule m_rule;
};

TEST_F(StalenessForecast, countsVersionsBehindBeforeAPeriodIsKnown)
{
    m_rule.updateNewest(5, false, at(0));
    EXPECT_EQ(m_rule.forecast(5, at(1000)), 0U);
    EXPECT_EQ(m_rule.forecast(3, at(1000)), 2U);
}

TEST_F(StalenessForecast, addsTheVersionsExpectedBeforeDelivery)
{
    m_rule.updateNewest(5, false, at(0));
    m_rule.updateNewest(6, false, at(100));
    EXPECT_EQ(m_rule.forecast(6, at(199)), 0U);
    EXPECT_EQ(m_rule.forecast(6, at(200)), 1U);
    EXPECT_EQ(m_rule.forecast(5, at(350)), 3U);
}

TEST_F(StalenessForecast, newestDecreasesOnlyWhereAllowed)
{
    m_rule.updateNewest(6, false, at(0));
    m_rule.updateNewest(4, false, at(1));
    EXPECT_EQ(m_rule.newest(), 6U);
    m_rule.updateNewest(4, true, at(2));
    EXPECT_EQ(m_rule.newest(), 4U);
}

} // namespace
} // namespace bergamot
