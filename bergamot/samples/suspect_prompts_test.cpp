#include "bergamot/samples/suspect_prompts.h"

#include <gtest/gtest.h>

#include "bergamot/base/prompt_fingerprint.h"

namespace bergamot
{
namespace
{

const StepKey First{TrainerId("t"), 1};
const StepKey Second{TrainerId("t"), 2};
const ModelId Model("agent");
const EndpointId E1("e1");
const EndpointId E2("e2");

SuspectReport report(const std::string &prompt, std::set<EndpointId> engines, bool ranAlone, bool cleared = false)
{
    return {.fingerprint = promptFingerprint(Model.value(), prompt),
            .endpoints = std::move(engines),
            .ranAlone = ranAlone,
            .cleared = cleared};
}

class SuspectPromptsTest : public testing::Test
{
protected:
    SuspectPromptsTest()
    {
        m_prompts.addStep(First, Model, makeStepSpec({{"good", 2, 10}, {"bad", 2, 10}}));
    }

    SuspectPrompts m_prompts;
};

struct MergeCase
{
    std::string name;
    SuspectReport report;
    std::size_t groups;
    bool refused;
    bool cleared;
};

class Merge : public SuspectPromptsTest, public testing::WithParamInterface<MergeCase>
{ };

TEST_P(Merge, findsTheGroupsOfAReport)
{
    const std::vector<SuspectGroup> found = m_prompts.mergeReports({GetParam().report});
    ASSERT_EQ(found.size(), GetParam().groups) << GetParam().name;
    if (!found.empty()) {
        EXPECT_EQ(found[0].group, (GroupKey{First, 1}));
        EXPECT_EQ(found[0].refused, GetParam().refused) << GetParam().name;
        EXPECT_EQ(found[0].cleared, GetParam().cleared) << GetParam().name;
    }
    EXPECT_TRUE(m_prompts.mergeReports({GetParam().report}).empty()) << "a repeated report changes nothing";
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Merge,
    testing::Values(MergeCase{"another prompt", report("other", {E1}, false), 0, false, false},
                    MergeCase{"a suspect", report("bad", {E1}, false), 1, false, false},
                    MergeCase{"two engines, never alone", report("bad", {E1, E2}, false), 1, false, false},
                    MergeCase{"two engines, once alone", report("bad", {E1, E2}, true), 1, true, false},
                    MergeCase{"cleared", report("bad", {E1, E2}, true, true), 1, false, true}));

TEST_F(SuspectPromptsTest, aLaterStepGetsTheKnownReports)
{
    m_prompts.mergeReports({report("bad", {E1, E2}, true), report("good", {E1}, false, true)});
    const std::vector<SuspectGroup> found =
        m_prompts.addStep(Second, Model, makeStepSpec({{"good", 1, 10}, {"bad", 1, 10}}));
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].group, (GroupKey{Second, 1}));
    EXPECT_TRUE(found[0].refused);
}

TEST_F(SuspectPromptsTest, reportsHaveAFingerprintAndAreReturnedOnce)
{
    m_prompts.recordCrash({First, 1}, {E1, E2}, true);
    m_prompts.recordCleared({First, 0});
    const std::vector<SuspectReport> expected{report("bad", {E1, E2}, true), report("good", {}, false, true)};
    EXPECT_EQ(m_prompts.takeReports(), expected);
    EXPECT_TRUE(m_prompts.takeReports().empty());
}

TEST_F(SuspectPromptsTest, aRemovedStepHasNoRecords)
{
    m_prompts.removeStep(First);
    EXPECT_TRUE(m_prompts.mergeReports({report("bad", {E1}, false)}).empty());
    m_prompts.recordCrash({First, 1}, {E1}, false);
    EXPECT_TRUE(m_prompts.takeReports().empty());
}

} // namespace
} // namespace bergamot
