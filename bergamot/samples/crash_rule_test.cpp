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
        EXPECT_TRUE(m_rule.recordEngineDeath(First, {Bad, Good}).empty());
    }

    CrashRule m_rule;
};

TEST_F(CrashRuleTest, eachEngineProbesOneSuspectAtATime)
{
    EXPECT_TRUE(m_rule.mayStart(Bad, Second));
    m_rule.recordStart(Bad, Second);
    EXPECT_FALSE(m_rule.mayStart(Good, Second)) << "another suspect is probed on this engine";
    EXPECT_FALSE(m_rule.mayStart(Bad, Third)) << "the suspect is already being probed";
    EXPECT_TRUE(m_rule.mayStart(Good, Third));
    EXPECT_TRUE(m_rule.mayStart(Fresh, Second)) << "a group that is no suspect may run on any engine";
    EXPECT_TRUE(m_rule.isProbed(Bad));
}

TEST_F(CrashRuleTest, onlyTheProbedSuspectIsBlamed)
{
    m_rule.recordStart(Bad, Second);
    EXPECT_EQ(m_rule.recordEngineDeath(Second, {Bad, Fresh}), std::vector<GroupKey>{Bad});
    EXPECT_EQ(m_rule.crashedEngines(Bad), (std::vector<EndpointId>{First, Second}));
    EXPECT_TRUE(m_rule.crashedEngines(Fresh).empty());
}

TEST_F(CrashRuleTest, aFinishedSuspectIsCleared)
{
    m_rule.recordStart(Good, Second);
    m_rule.recordEnd(Good, Second, true);
    EXPECT_TRUE(m_rule.crashedEngines(Good).empty());
    EXPECT_TRUE(m_rule.mayStart(Bad, Second));
}

TEST_F(CrashRuleTest, aCancelledProbeStaysASuspectAndFreesTheEngine)
{
    m_rule.recordStart(Good, Second);
    m_rule.recordEnd(Good, Second, false);
    EXPECT_EQ(m_rule.crashedEngines(Good).size(), 1U);
    EXPECT_TRUE(m_rule.mayStart(Bad, Second));
}

TEST_F(CrashRuleTest, aSingleEngineNeedsThreeCrashes)
{
    m_rule.recordStart(Bad, First);
    EXPECT_TRUE(m_rule.recordEngineDeath(First, {Bad}).empty());
    m_rule.recordStart(Bad, First);
    EXPECT_EQ(m_rule.recordEngineDeath(First, {Bad}).size(), 1U);
}

TEST_F(CrashRuleTest, aRemovedStepHasNoRecords)
{
    m_rule.recordStart(Bad, Second);
    m_rule.removeStep(Bad.step);
    EXPECT_TRUE(m_rule.mayStart(Good, Second));
    EXPECT_TRUE(m_rule.crashedEngines(Good).empty());
}

} // namespace
} // namespace bergamot
