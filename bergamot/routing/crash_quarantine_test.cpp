#include "bergamot/routing/crash_quarantine.h"

#include <gtest/gtest.h>

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t Fingerprint = 42;

/// One thing that happens to a request.
struct Event
{
    enum Kind {
        LostShared,
        LostAlone,
        Finished,
        Reported, // by another instance, after it ran alone there
        ReportedCleared,
        TimePasses,
    };

    Kind kind;
    std::string endpoint = "";
};

struct StandingCase
{
    std::string name;
    std::vector<Event> events;
    Standing expected;
};

class CrashStanding : public testing::TestWithParam<StandingCase>
{ };

TEST_P(CrashStanding, FollowsFromWhatHappened)
{
    CrashQuarantine quarantine;
    TimePoint now(1h);
    for (const Event &event : GetParam().events) {
        const EndpointId endpoint(event.endpoint);
        switch (event.kind) {
        case Event::LostShared:
            quarantine.endpointLost(Fingerprint, endpoint, RunMode::Shared, now);
            break;
        case Event::LostAlone:
            quarantine.endpointLost(Fingerprint, endpoint, RunMode::Alone, now);
            break;
        case Event::Finished:
            quarantine.finished(Fingerprint, now);
            break;
        case Event::Reported:
            quarantine.merge({{.fingerprint = Fingerprint, .endpoints = {endpoint}, .ranAlone = true}}, now);
            break;
        case Event::ReportedCleared:
            quarantine.merge({{.fingerprint = Fingerprint, .endpoints = {}, .cleared = true}}, now);
            break;
        case Event::TimePasses:
            now += 11min;
            break;
        }
    }
    EXPECT_EQ(quarantine.standing(Fingerprint, now), GetParam().expected);
    EXPECT_EQ(quarantine.standing(Fingerprint + 1, now), Standing::Clear);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CrashStanding,
    testing::Values(
        StandingCase{"NothingKnown", {}, Standing::Clear},
        StandingCase{"OneLoss", {{Event::LostShared, "a"}}, Standing::Suspect},
        StandingCase{"TwiceUnluckyBystander", {{Event::LostShared, "a"}, {Event::LostShared, "b"}}, Standing::Suspect},
        StandingCase{"SecondLossAlone", {{Event::LostShared, "a"}, {Event::LostAlone, "b"}}, Standing::Refused},
        StandingCase{"SameEndpointTwice", {{Event::LostShared, "a"}, {Event::LostAlone, "a"}}, Standing::Suspect},
        StandingCase{"ClearedByFinishing", {{Event::LostShared, "a"}, {Event::Finished}}, Standing::Clear},
        StandingCase{"ClearedThenLostAgain",
                     {{Event::LostShared, "a"}, {Event::Finished}, {Event::LostAlone, "b"}},
                     Standing::Suspect},
        StandingCase{"SeenByAnotherInstance", {{Event::LostShared, "a"}, {Event::Reported, "b"}}, Standing::Refused},
        StandingCase{"ClearedByAnotherInstance", {{Event::LostShared, "a"}, {Event::ReportedCleared}}, Standing::Clear},
        StandingCase{"OldReportAfterClearing",
                     {{Event::LostShared, "a"}, {Event::Finished}, {Event::Reported, "a"}},
                     Standing::Clear},
        StandingCase{
            "Forgotten", {{Event::LostShared, "a"}, {Event::LostAlone, "b"}, {Event::TimePasses}}, Standing::Clear}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

TEST(CrashQuarantineBounds, ForgetTheOldestSuspects)
{
    CrashQuarantine quarantine({.mostSuspects = 10});
    TimePoint now(1h);
    for (std::uint64_t fingerprint = 1; fingerprint <= 50; ++fingerprint) {
        now += 1s;
        quarantine.endpointLost(fingerprint, EndpointId("a"), RunMode::Shared, now);
    }
    EXPECT_LE(quarantine.size(), 10U);
    EXPECT_EQ(quarantine.standing(50, now), Standing::Suspect);
    EXPECT_EQ(quarantine.standing(1, now), Standing::Clear);
}

} // namespace

} // namespace bergamot
