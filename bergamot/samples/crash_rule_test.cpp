#include "bergamot/samples/crash_rule.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

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
        m_rule.recordEngineDeath(First, {Bad, Good}, m_now);
        EXPECT_TRUE(verdict().empty());
    }

    /// The groups that are given up because of the crashes so far.
    std::vector<GroupKey> verdict()
    {
        EXPECT_TRUE(m_rule.takeGivenUp(m_now).empty()) << "other engines may crash as well";
        m_now += CrashRuleOptions().verdictDelay;
        return m_rule.takeGivenUp(m_now);
    }

    TimePoint m_now{1h};
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
    m_rule.recordEngineDeath(Second, {Bad, Fresh}, m_now);
    EXPECT_FALSE(m_rule.mayStart(Bad, Third)) << "its verdict is pending";
    EXPECT_EQ(verdict(), std::vector<GroupKey>{Bad});
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
    m_rule.recordEngineDeath(First, {Bad}, m_now);
    EXPECT_TRUE(verdict().empty());
    m_rule.recordStart(Bad, First);
    m_rule.recordEngineDeath(First, {Bad}, m_now);
    EXPECT_EQ(verdict().size(), 1U);
}

TEST_F(CrashRuleTest, aRemovedStepHasNoRecords)
{
    m_rule.recordStart(Bad, Second);
    m_rule.removeStep(Bad.step);
    EXPECT_TRUE(m_rule.mayStart(Good, Second));
    EXPECT_TRUE(m_rule.crashedEngines(Good).empty());
}

struct OtherCrash
{
    std::string name;
    Duration after; // since the last crash under the suspect; negative: before it
    bool probed; // the engine probed another suspect
    std::set<GroupKey> inFlight;
    bool givenUp;
    bool soundLater = false; // that other suspect finishes before the verdict
};

class OtherCrashes : public CrashRuleTest, public testing::WithParamInterface<OtherCrash>
{ };

TEST_P(OtherCrashes, excuseASuspectThatWasNotThere)
{
    const auto crashThird = [this] {
        if (GetParam().probed) {
            m_rule.recordStart(Good, Third);
        }
        m_rule.recordEngineDeath(Third, GetParam().inFlight, m_now);
    };
    m_now += 20s;
    const bool before = GetParam().after < Duration::zero();
    if (before) {
        crashThird();
        m_now -= GetParam().after;
    }
    m_rule.recordStart(Bad, Second);
    m_rule.recordEngineDeath(Second, {Bad}, m_now);
    const TimePoint verdictAt = m_now + CrashRuleOptions().verdictDelay;
    if (!before) {
        m_now += GetParam().after;
        crashThird();
    }
    if (GetParam().soundLater) {
        m_rule.recordEnd(Good, First, true);
    }
    const std::vector<GroupKey> givenUp = m_rule.takeGivenUp(verdictAt);
    EXPECT_EQ(std::count(givenUp.begin(), givenUp.end(), Bad), GetParam().givenUp ? 1 : 0) << GetParam().name;
    if (!GetParam().givenUp) {
        EXPECT_TRUE(m_rule.mayStart(Bad, First)) << GetParam().name;
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         OtherCrashes,
                         testing::Values(OtherCrash{"just before", -1s, false, {}, false},
                                         OtherCrash{"of the wave before", -1500ms, false, {Fresh}, false},
                                         OtherCrash{"long before", -3s, false, {}, true},
                                         OtherCrash{"soon after", 400ms, false, {Fresh}, false},
                                         OtherCrash{"with the suspect", -1s, false, {Bad}, true},
                                         OtherCrash{"under another suspect", -1s, true, {Good}, true},
                                         OtherCrash{"under a sound one", -1s, true, {Good}, false, true},
                                         OtherCrash{"under a sound one later", 400ms, true, {Good}, false, true},
                                         OtherCrash{"under a sound one long before", -3s, true, {Good}, true, true},
                                         OtherCrash{"with a sound one", -1s, true, {Good, Bad}, true, true}));

TEST_F(CrashRuleTest, aPromptIsStillOwedHoweverManyEnginesCrashedInABurst)
{
    for (int burst = 0; burst < 3; ++burst) {
        for (int wave = 0; wave < 5; ++wave) {
            m_rule.recordEngineDeath(First, {Fresh}, m_now);
            if (m_rule.mayStart(Good, Second)) {
                m_rule.recordStart(Good, Second);
                m_rule.recordEngineDeath(Second, {Good}, m_now);
            }
            m_now += 400ms;
            EXPECT_TRUE(m_rule.takeGivenUp(m_now).empty());
        }
        m_now += 4s;
        EXPECT_TRUE(m_rule.takeGivenUp(m_now).empty());
    }
    EXPECT_TRUE(m_rule.mayStart(Good, Second));
    m_rule.recordStart(Good, Second);
    m_rule.recordEnd(Good, Second, true);
    EXPECT_FALSE(m_rule.isSuspect(Good));
}

} // namespace
} // namespace bergamot
