#include <gtest/gtest.h>

#include "bergamot/entry/internal/view_sources.h"

namespace bergamot::entry_internal
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t Version = 5;

/// One question and what came of it, `after` the step before it.
struct Step
{
    Duration after;
    std::string source; // "own", or the name of another instance that must be the one asked
    bool answers;
    std::optional<Duration> age;
    std::uint64_t configVersion;
    bool taken;
};

Step own(Duration after, std::optional<Duration> age, bool taken, std::uint64_t version = Version)
{
    return {after, "own", true, age, version, taken};
}

Step ownSilent(Duration after)
{
    return {after, "own", false, {}, 0, false};
}

Step peer(const std::string &name, Duration after, std::optional<Duration> age, bool taken)
{
    return {after, name, true, age, Version, taken};
}

Step peerSilent(const std::string &name, Duration after)
{
    return {after, name, false, {}, 0, false};
}

struct SourceCase
{
    std::string name;
    std::vector<Step> steps;
    bool followsOwn;
};

class ViewSourcesTable : public testing::TestWithParam<SourceCase>
{
protected:
    static Address addressOf(const std::string &instance)
    {
        return {"10.0.0." + instance.substr(1), 7000};
    }

    static std::unique_ptr<inner::MemberStatusT> member(const std::string &instance, const std::string &domain)
    {
        auto status = std::make_unique<inner::MemberStatusT>();
        status->instance = instance;
        status->domain = domain;
        status->control_address = toString(addressOf(instance));
        return status;
    }

    /// The instances i1 to i4 of the domain, i4 draining and i5 silent, and one of another domain; this one is i2.
    static std::vector<std::unique_ptr<inner::MemberStatusT>> members()
    {
        std::vector<std::unique_ptr<inner::MemberStatusT>> all;
        for (const std::string instance : {"i1", "i2", "i3", "i4", "i5"}) {
            all.push_back(member(instance, "a"));
        }
        all[3]->draining = true;
        all[4]->silent_ms = 6000;
        all.push_back(member("i9", "b"));
        return all;
    }
};

TEST_P(ViewSourcesTable, askAndBelieve)
{
    ViewSources sources(InstanceId("i2"), FailureDomainId("a"));
    sources.setMembers(members());
    TimePoint now{1h};
    EXPECT_TRUE(sources.answered({}, {.age = 0s, .configVersion = Version}, now));
    for (std::size_t index = 0; index < GetParam().steps.size(); ++index) {
        const Step &step = GetParam().steps[index];
        SCOPED_TRACE("step " + std::to_string(index));
        now += step.after;
        const ViewSource source = step.source == "own" ? ViewSource() : ViewSource(addressOf(step.source));
        const std::vector<ViewSource> asked = sources.due();
        EXPECT_NE(std::find(asked.begin(), asked.end(), source), asked.end()) << step.source << " is not asked";
        EXPECT_TRUE(sources.due().empty()) << "asked twice";
        for (const ViewSource &each : asked) {
            if (each != source && each) {
                sources.failed(each);
            }
        }
        if (step.answers) {
            EXPECT_EQ(sources.answered(source, {.age = step.age, .configVersion = step.configVersion}, now),
                      step.taken);
        } else {
            sources.failed(source);
        }
        if (source) {
            sources.failed({}); // the own one stays silent
        }
    }
    EXPECT_EQ(sources.followsOwn(), GetParam().followsOwn);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ViewSourcesTable,
    testing::Values(
        SourceCase{"ownAnswers", {own(250ms, 900ms, true), own(250ms, 100ms, true)}, true},
        SourceCase{"ownSilentSoAnotherIsAsked", {ownSilent(500ms), peer("i3", 0s, 100ms, true)}, false},
        SourceCase{"thePeerIsSilentTooSoTheNextIsAsked",
                   {ownSilent(500ms), peerSilent("i3", 500ms), peer("i1", 0s, 100ms, true)},
                   false},
        SourceCase{"aPeerWithAnOlderViewIsPassedOver",
                   {ownSilent(500ms), peer("i3", 0s, 700ms, false), peer("i1", 250ms, 100ms, true)},
                   false},
        SourceCase{"oneOfAnotherDomainIsAskedLast",
                   {ownSilent(500ms), peerSilent("i3", 500ms), peerSilent("i1", 500ms), peer("i9", 0s, 0s, true)},
                   false},
        SourceCase{"aPeerThatNeverKnewIsPassedOver",
                   {ownSilent(500ms), peer("i3", 0s, std::nullopt, false), peer("i1", 0s, 0s, true)},
                   false},
        SourceCase{
            "ownWakesWithItsOldView", {ownSilent(500ms), peer("i3", 3s, 100ms, true), own(500ms, 4s, false)}, false},
        SourceCase{"ownWakesAndCatchesUp",
                   {ownSilent(500ms), peer("i3", 3s, 100ms, true), own(500ms, 4s, false), own(250ms, 200ms, true)},
                   true},
        SourceCase{"aShortPauseBringsNothingBack",
                   {ownSilent(500ms), peer("i3", 2s, 0s, true), own(0s, 600ms, false), own(250ms, 500ms, true)},
                   true},
        SourceCase{"ownAnswersButHearsNobody",
                   {own(1s, 1s, true), own(2500ms, 3500ms, true), peer("i3", 0s, 100ms, true)},
                   false},
        SourceCase{"ownHasStartedAnewAndKnowsNothing", {own(1s, std::nullopt, false)}, false},
        SourceCase{"ownHasStartedAnewWithoutTheConfiguration", {own(1s, 0s, false, Version - 1)}, false},
        SourceCase{"aNewerConfiguration", {own(1s, 0s, true, Version + 1)}, true}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

TEST(ViewSources, withoutPeersTheOwnOneIsAskedOnAndItsOldStateIsUsed)
{
    ViewSources sources(InstanceId("i2"), FailureDomainId("a"));
    const TimePoint start{1h};
    EXPECT_EQ(sources.due(), std::vector<ViewSource>{ViewSource()});
    EXPECT_FALSE(sources.answered({}, {.age = std::nullopt, .configVersion = 0}, start));
    EXPECT_EQ(sources.due(), std::vector<ViewSource>{ViewSource()});
    EXPECT_TRUE(sources.answered({}, {.age = 10s, .configVersion = 1}, start)) << "there is nothing newer";
}

TEST(ViewSources, aPeersAnswerThatComesAfterTheOwnOneIsBackIsNotTaken)
{
    ViewSources sources(InstanceId("i2"), FailureDomainId("a"));
    std::vector<std::unique_ptr<inner::MemberStatusT>> members;
    members.push_back(std::make_unique<inner::MemberStatusT>());
    members.front()->instance = "i3";
    members.front()->domain = "a";
    members.front()->control_address = "10.0.0.3:7000";
    sources.setMembers(members);
    const TimePoint start{1h};
    sources.failed({});
    EXPECT_EQ(sources.due().size(), 2U);
    EXPECT_TRUE(sources.answered({}, {.age = 0s, .configVersion = 1}, start));
    EXPECT_FALSE(sources.answered(Address{"10.0.0.3", 7000}, {.age = 0s, .configVersion = 1}, start));
    EXPECT_EQ(sources.due(), std::vector<ViewSource>{ViewSource()});
}

} // namespace
} // namespace bergamot::entry_internal
