#include "bergamot/routing/crash_quarantine.h"

#include <gtest/gtest.h>

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t Fingerprint = 42;

/// An event in the history of a request.
struct Event
{
    enum Kind {
        LostShared,
        LostAlone,
        Finished,
        Reported, // by another instance, where the request ran alone
        ReportedCleared,
        TimePasses,
    };

    Kind kind;
    std::string endpoint = "";
};

struct StatusCase
{
    std::string name;
    std::vector<Event> events;
    QuarantineStatus expected;
};

class CrashStatus : public testing::TestWithParam<StatusCase>
{ };

TEST_P(CrashStatus, FollowsFromWhatHappened)
{
    CrashQuarantine quarantine;
    TimePoint now(1h);
    for (const Event &event : GetParam().events) {
        const EndpointId endpoint(event.endpoint);
        switch (event.kind) {
        case Event::LostShared:
            quarantine.recordEndpointLoss(Fingerprint, endpoint, RunMode::Shared, now);
            break;
        case Event::LostAlone:
            quarantine.recordEndpointLoss(Fingerprint, endpoint, RunMode::Alone, now);
            break;
        case Event::Finished:
            quarantine.recordFinished(Fingerprint, now);
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
    EXPECT_EQ(quarantine.statusOf(Fingerprint, now), GetParam().expected);
    EXPECT_EQ(quarantine.statusOf(Fingerprint + 1, now), QuarantineStatus::Clear);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CrashStatus,
    testing::Values(
        StatusCase{"NoEvents", {}, QuarantineStatus::Clear},
        StatusCase{"OneLoss", {{Event::LostShared, "a"}}, QuarantineStatus::Suspect},
        StatusCase{"TwiceInFlightBesideACrash",
                   {{Event::LostShared, "a"}, {Event::LostShared, "b"}},
                   QuarantineStatus::Suspect},
        StatusCase{"SecondLossAlone", {{Event::LostShared, "a"}, {Event::LostAlone, "b"}}, QuarantineStatus::Refused},
        StatusCase{"SameEndpointTwice", {{Event::LostShared, "a"}, {Event::LostAlone, "a"}}, QuarantineStatus::Suspect},
        StatusCase{"ClearedByFinishing", {{Event::LostShared, "a"}, {Event::Finished}}, QuarantineStatus::Clear},
        StatusCase{"ClearedThenLostAgain",
                   {{Event::LostShared, "a"}, {Event::Finished}, {Event::LostAlone, "b"}},
                   QuarantineStatus::Suspect},
        StatusCase{
            "ReportedByAnotherInstance", {{Event::LostShared, "a"}, {Event::Reported, "b"}}, QuarantineStatus::Refused},
        StatusCase{
            "ClearedByAnotherInstance", {{Event::LostShared, "a"}, {Event::ReportedCleared}}, QuarantineStatus::Clear},
        StatusCase{"OldReportAfterClearing",
                   {{Event::LostShared, "a"}, {Event::Finished}, {Event::Reported, "a"}},
                   QuarantineStatus::Clear},
        StatusCase{"Expired",
                   {{Event::LostShared, "a"}, {Event::LostAlone, "b"}, {Event::TimePasses}},
                   QuarantineStatus::Clear}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

TEST(CrashQuarantineBounds, DropTheOldestSuspects)
{
    CrashQuarantine quarantine({.maxSuspects = 10});
    TimePoint now(1h);
    for (std::uint64_t fingerprint = 1; fingerprint <= 50; ++fingerprint) {
        now += 1s;
        quarantine.recordEndpointLoss(fingerprint, EndpointId("a"), RunMode::Shared, now);
    }
    EXPECT_LE(quarantine.size(), 10U);
    EXPECT_EQ(quarantine.statusOf(50, now), QuarantineStatus::Suspect);
    EXPECT_EQ(quarantine.statusOf(1, now), QuarantineStatus::Clear);
}

} // namespace

} // namespace bergamot
