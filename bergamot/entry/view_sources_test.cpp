#include <gtest/gtest.h>

#include "bergamot/entry/internal/view_sources.h"

namespace bergamot::entry_internal
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t Version = 5;

/// One request for a view and its result.
struct Step
{
    Duration after; // since the previous step
    std::string source; // "local", or the name of the instance that must be asked
    bool answers;
    std::optional<Duration> age;
    std::uint64_t configVersion;
    bool accepted;
};

Step local(Duration after, std::optional<Duration> age, bool accepted, std::uint64_t version = Version)
{
    return {after, "local", true, age, version, accepted};
}

Step localSilent(Duration after)
{
    return {after, "local", false, {}, 0, false};
}

Step peer(const std::string &name, Duration after, std::optional<Duration> age, bool accepted)
{
    return {after, name, true, age, Version, accepted};
}

Step peerSilent(const std::string &name, Duration after)
{
    return {after, name, false, {}, 0, false};
}

struct SourceCase
{
    std::string name;
    std::vector<Step> steps;
    bool followsLocal;
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

    /// The instances i1 to i5 of the domain, of which i4 is draining and i5 silent, and i9 of another domain. The
    /// tested instance is i2.
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

TEST_P(ViewSourcesTable, requestAndAcceptViews)
{
    ViewSources sources(InstanceId("i2"), FailureDomainId("a"));
    sources.setMembers(members());
    TimePoint now{1h};
    EXPECT_TRUE(sources.onAnswer({}, {.age = 0s, .configVersion = Version}, now));
    for (std::size_t index = 0; index < GetParam().steps.size(); ++index) {
        const Step &step = GetParam().steps[index];
        SCOPED_TRACE("step " + std::to_string(index));
        now += step.after;
        const ViewSource source = step.source == "local" ? ViewSource() : ViewSource(addressOf(step.source));
        const std::vector<ViewSource> asked = sources.due();
        EXPECT_NE(std::find(asked.begin(), asked.end(), source), asked.end()) << step.source << " was not asked";
        EXPECT_TRUE(sources.due().empty()) << "asked twice";
        for (const ViewSource &each : asked) {
            if (each != source && each) {
                sources.onFailure(each);
            }
        }
        if (step.answers) {
            EXPECT_EQ(sources.onAnswer(source, {.age = step.age, .configVersion = step.configVersion}, now),
                      step.accepted);
        } else {
            sources.onFailure(source);
        }
        if (source) {
            sources.onFailure({}); // the local control process still does not answer
        }
    }
    EXPECT_EQ(sources.followsLocal(), GetParam().followsLocal);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ViewSourcesTable,
    testing::Values(
        SourceCase{"localAnswers", {local(250ms, 900ms, true), local(250ms, 100ms, true)}, true},
        SourceCase{"localIsSilentSoAPeerIsAsked", {localSilent(500ms), peer("i3", 0s, 100ms, true)}, false},
        SourceCase{"firstPeerIsSilentSoTheNextIsAsked",
                   {localSilent(500ms), peerSilent("i3", 500ms), peer("i1", 0s, 100ms, true)},
                   false},
        SourceCase{"peerWithAnOlderViewIsSkipped",
                   {localSilent(500ms), peer("i3", 0s, 700ms, false), peer("i1", 250ms, 100ms, true)},
                   false},
        SourceCase{"peerOfAnotherDomainIsAskedLast",
                   {localSilent(500ms), peerSilent("i3", 500ms), peerSilent("i1", 500ms), peer("i9", 0s, 0s, true)},
                   false},
        SourceCase{"peerWithoutACompleteViewIsSkipped",
                   {localSilent(500ms), peer("i3", 0s, std::nullopt, false), peer("i1", 0s, 0s, true)},
                   false},
        SourceCase{"localResumesWithAnOldView",
                   {localSilent(500ms), peer("i3", 3s, 100ms, true), local(500ms, 4s, false)},
                   false},
        SourceCase{
            "localResumesAndCatchesUp",
            {localSilent(500ms), peer("i3", 3s, 100ms, true), local(500ms, 4s, false), local(250ms, 200ms, true)},
            true},
        SourceCase{"localResumesAfterAShortPauseSlightlyBehind",
                   {localSilent(500ms), peer("i3", 2s, 0s, true), local(0s, 600ms, false), local(250ms, 500ms, true)},
                   true},
        SourceCase{"localAnswersWithAStaleView",
                   {local(1s, 1s, true), local(2500ms, 3500ms, true), peer("i3", 0s, 100ms, true)},
                   false},
        SourceCase{"localRestartedWithoutACompleteView", {local(1s, std::nullopt, false)}, false},
        SourceCase{"localRestartedWithAnOlderConfiguration", {local(1s, 0s, false, Version - 1)}, false},
        SourceCase{"localHasANewerConfiguration", {local(1s, 0s, true, Version + 1)}, true}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

TEST(ViewSources, withoutPeersTheLocalProcessIsAskedAgainAndItsOldViewIsUsed)
{
    ViewSources sources(InstanceId("i2"), FailureDomainId("a"));
    const TimePoint start{1h};
    EXPECT_EQ(sources.due(), std::vector<ViewSource>{ViewSource()});
    EXPECT_FALSE(sources.onAnswer({}, {.age = std::nullopt, .configVersion = 0}, start));
    EXPECT_EQ(sources.due(), std::vector<ViewSource>{ViewSource()});
    EXPECT_TRUE(sources.onAnswer({}, {.age = 10s, .configVersion = 1}, start)) << "no newer view is known";
}

TEST(ViewSources, peerAnswerAfterTheLocalProcessRecoveredIsRejected)
{
    ViewSources sources(InstanceId("i2"), FailureDomainId("a"));
    std::vector<std::unique_ptr<inner::MemberStatusT>> members;
    members.push_back(std::make_unique<inner::MemberStatusT>());
    members.front()->instance = "i3";
    members.front()->domain = "a";
    members.front()->control_address = "10.0.0.3:7000";
    sources.setMembers(members);
    const TimePoint start{1h};
    sources.onFailure({});
    EXPECT_EQ(sources.due().size(), 2U);
    EXPECT_TRUE(sources.onAnswer({}, {.age = 0s, .configVersion = 1}, start));
    EXPECT_FALSE(sources.onAnswer(Address{"10.0.0.3", 7000}, {.age = 0s, .configVersion = 1}, start));
    EXPECT_EQ(sources.due(), std::vector<ViewSource>{ViewSource()});
}

} // namespace
} // namespace bergamot::entry_internal
