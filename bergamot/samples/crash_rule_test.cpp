#include "bergamot/samples/crash_rule.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

const GroupKey Bad{{TrainerId("t"), 1}, 0};
const GroupKey Good{{TrainerId("t"), 1}, 1};
const GroupKey Fresh{{TrainerId("t"), 1}, 2};
const EndpointId First("e1");
const EndpointId Second("e2");
const EndpointId Third("e3");

class CrashRuleTest : public testing::Test
{
protected:
    void SetUp() override
    {
        EXPECT_TRUE(m_rule.engineDied(First, {Bad, Good}).empty());
    }

    CrashRule m_rule;
};

TEST_F(CrashRuleTest, suspectsRunOneAtATimeOnEachEngine)
{
    EXPECT_TRUE(m_rule.mayStart(Bad, Second));
    m_rule.started(Bad, Second);
    EXPECT_FALSE(m_rule.mayStart(Good, Second)) << "another suspect is tried there";
    EXPECT_FALSE(m_rule.mayStart(Bad, Third)) << "it is being tried already";
    EXPECT_TRUE(m_rule.mayStart(Good, Third));
    EXPECT_TRUE(m_rule.mayStart(Fresh, Second)) << "what is no suspect runs anywhere";
    EXPECT_TRUE(m_rule.isHeld(Bad));
}

TEST_F(CrashRuleTest, theOneUnderWatchIsToBlameAndNoneBesideIt)
{
    m_rule.started(Bad, Second);
    EXPECT_EQ(m_rule.engineDied(Second, {Bad, Fresh}), std::vector<GroupKey>{Bad});
    EXPECT_EQ(m_rule.enginesDiedUnder(Bad), (std::vector<EndpointId>{First, Second}));
    EXPECT_TRUE(m_rule.enginesDiedUnder(Fresh).empty());
}

TEST_F(CrashRuleTest, whatFinishesIsCleared)
{
    m_rule.started(Good, Second);
    m_rule.ended(Good, Second, true);
    EXPECT_TRUE(m_rule.enginesDiedUnder(Good).empty());
    EXPECT_TRUE(m_rule.mayStart(Bad, Second));
}

TEST_F(CrashRuleTest, whatIsCancelledStaysASuspectAndFreesItsPlace)
{
    m_rule.started(Good, Second);
    m_rule.ended(Good, Second, false);
    EXPECT_EQ(m_rule.enginesDiedUnder(Good).size(), 1U);
    EXPECT_TRUE(m_rule.mayStart(Bad, Second));
}

TEST_F(CrashRuleTest, oneEngineAloneTakesThreeDeaths)
{
    m_rule.started(Bad, First);
    EXPECT_TRUE(m_rule.engineDied(First, {Bad}).empty());
    m_rule.started(Bad, First);
    EXPECT_EQ(m_rule.engineDied(First, {Bad}).size(), 1U);
}

TEST_F(CrashRuleTest, aStepThatIsOverIsForgotten)
{
    m_rule.started(Bad, Second);
    m_rule.forget(Bad.step);
    EXPECT_TRUE(m_rule.mayStart(Good, Second));
    EXPECT_TRUE(m_rule.enginesDiedUnder(Good).empty());
}

} // namespace
} // namespace bergamot
