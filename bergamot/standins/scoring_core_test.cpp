#include "bergamot/standins/scoring_core.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

TEST(ScoringCore, scoresTheSameTextAlike)
{
    ScoringCore scoring(5ms);
    const Answer<double> first = scoring.score("prompt", "text");
    EXPECT_EQ(first.delay, 5ms);
    EXPECT_GE(first.result.value(), 0);
    EXPECT_LT(first.result.value(), 1);
    EXPECT_EQ(scoring.score("prompt", "text").result, first.result);
    EXPECT_NE(scoring.score("prompt", "another text").result, first.result);
    EXPECT_EQ(scoring.scoreCount(), 3U);
}

TEST(ScoringCore, refusesWithoutScoring)
{
    ScoringCore scoring;
    ASSERT_TRUE(scoring.apply({.fault = "refuse", .call = "score"}));
    EXPECT_EQ(scoring.score("p", "t").result.error().code, ErrorCode::Unavailable);
    EXPECT_EQ(scoring.scoreCount(), 0U);
    EXPECT_TRUE(scoring.score("p", "t").result);
}

} // namespace
} // namespace bergamot
