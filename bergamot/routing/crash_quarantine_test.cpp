#include "bergamot/routing/crash_quarantine.h"

#include <gtest/gtest.h>

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t Fingerprint = 42;
constexpr std::uint64_t OtherFingerprint = 44;

/// An event in the history of a request.
struct Event
{
    enum Kind {
        LostShared,
        LostAlone,
        StreamBroken, // after the request had begun to run
        Finished,
        Reported, // by another instance, where the request ran alone
        ReportedCleared,
        OtherLostShared, // another request was in flight at the same process
        OtherFinished,
        ShortRefusalPasses,
        RetentionPasses,
    };

    Kind kind;
    std::string endpoint = "";
    std::uint64_t incarnation = 0;
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
        const EndpointProcess process{EndpointId(event.endpoint), event.incarnation};
        switch (event.kind) {
        case Event::LostShared:
            quarantine.recordEndpointLoss(Fingerprint, process, RunMode::Shared, now);
            break;
        case Event::LostAlone:
            quarantine.recordEndpointLoss(Fingerprint, process, RunMode::Alone, now);
            break;
        case Event::StreamBroken:
            quarantine.recordBrokenStream(Fingerprint, process, RunMode::Shared, now);
            break;
        case Event::Finished:
            quarantine.recordFinished(Fingerprint, now);
            break;
        case Event::Reported:
            quarantine.merge({{.fingerprint = Fingerprint, .crashes = {{.process = process, .alone = true}}}}, now);
            break;
        case Event::ReportedCleared:
            quarantine.merge({{.fingerprint = Fingerprint, .crashes = {}, .cleared = true}}, now);
            break;
        case Event::OtherLostShared:
            quarantine.recordEndpointLoss(OtherFingerprint, process, RunMode::Shared, now);
            break;
        case Event::OtherFinished:
            quarantine.recordFinished(OtherFingerprint, now);
            break;
        case Event::ShortRefusalPasses:
            now += 16s;
            break;
        case Event::RetentionPasses:
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
        StatusCase{"OneBrokenStream", {{Event::StreamBroken, "a"}}, QuarantineStatus::Clear},
        StatusCase{"StreamsBrokenAtTheSameProcess",
                   {{Event::StreamBroken, "a"}, {Event::StreamBroken, "a"}, {Event::StreamBroken, "a"}},
                   QuarantineStatus::Clear},
        StatusCase{"StreamsBrokenAtThreeProcesses",
                   {{Event::StreamBroken, "a"}, {Event::StreamBroken, "b"}, {Event::StreamBroken, "c"}},
                   QuarantineStatus::Suspect},
        StatusCase{
            "StreamsBrokenBeforeAndAfterAWholeOne",
            {{Event::StreamBroken, "a"}, {Event::StreamBroken, "b"}, {Event::Finished}, {Event::StreamBroken, "c"}},
            QuarantineStatus::Clear},
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
                   {{Event::LostShared, "a"}, {Event::LostAlone, "b"}, {Event::RetentionPasses}},
                   QuarantineStatus::Clear},
        StatusCase{"TwoCrashesRefuseForAShortTime",
                   {{Event::LostShared, "a"}, {Event::LostAlone, "b"}, {Event::ShortRefusalPasses}},
                   QuarantineStatus::Suspect},
        StatusCase{"AThirdCrashRefusesForLong",
                   {{Event::LostShared, "a"},
                    {Event::LostAlone, "b"},
                    {Event::ShortRefusalPasses},
                    {Event::LostAlone, "c"},
                    {Event::ShortRefusalPasses}},
                   QuarantineStatus::Refused},
        StatusCase{"TwoProcessesOfOneEndpoint",
                   {{Event::LostShared, "a", 1}, {Event::LostAlone, "a", 2}},
                   QuarantineStatus::Refused},
        StatusCase{"AnotherRequestMayHaveCausedIt",
                   {{Event::LostShared, "a"}, {Event::LostAlone, "b"}, {Event::OtherLostShared, "b"}},
                   QuarantineStatus::Suspect},
        StatusCase{
            "TheOtherRequestDidNotCauseIt",
            {{Event::LostShared, "a"}, {Event::LostAlone, "b"}, {Event::OtherLostShared, "b"}, {Event::OtherFinished}},
            QuarantineStatus::Refused},
        StatusCase{"FourCrashesRefuseItAnyway",
                   {{Event::OtherLostShared, "a"},
                    {Event::LostShared, "a"},
                    {Event::Reported, "b"},
                    {Event::OtherLostShared, "b"},
                    {Event::LostAlone, "c"},
                    {Event::LostAlone, "d"}},
                   QuarantineStatus::Refused}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

/// What is reported to the other instances, some time after a loss.
struct ReportCase
{
    std::string name;
    std::vector<Event> events;
    Duration after;
    std::vector<CrashReport> expected;
};

class CrashReports : public testing::TestWithParam<ReportCase>
{ };

TEST_P(CrashReports, TellTheOthersWhatTheyDoNotKnow)
{
    CrashQuarantine quarantine({.reportDelay = 200ms});
    const TimePoint now(1h);
    for (const Event &event : GetParam().events) {
        const EndpointProcess process{EndpointId(event.endpoint), event.incarnation};
        switch (event.kind) {
        case Event::LostShared:
            quarantine.recordEndpointLoss(Fingerprint, process, RunMode::Shared, now);
            break;
        case Event::LostAlone:
            quarantine.recordEndpointLoss(Fingerprint, process, RunMode::Alone, now);
            break;
        case Event::Reported:
            quarantine.merge({{.fingerprint = Fingerprint, .crashes = {{.process = process}}}}, now);
            break;
        default:
            quarantine.recordFinished(Fingerprint, now);
            break;
        }
    }
    EXPECT_EQ(quarantine.takeChanges(now + GetParam().after), GetParam().expected);
    EXPECT_TRUE(quarantine.takeChanges(now + GetParam().after).empty());
}

const CrashUnderRequest SharedCrash{.process = {EndpointId("a"), 1}};
const CrashUnderRequest AloneCrash{.process = {EndpointId("b"), 1}, .alone = true};

INSTANTIATE_TEST_SUITE_P(
    Table,
    CrashReports,
    testing::Values(ReportCase{"NotAtOnceBesideOthers", {{Event::LostShared, "a", 1}}, 100ms, {}},
                    ReportCase{"AfterTheDelay",
                               {{Event::LostShared, "a", 1}},
                               200ms,
                               {{.fingerprint = Fingerprint, .crashes = {SharedCrash}}}},
                    ReportCase{"AtOnceAlone",
                               {{Event::LostShared, "a", 1}, {Event::LostAlone, "b", 1}},
                               0ms,
                               {{.fingerprint = Fingerprint, .crashes = {SharedCrash, AloneCrash}}}},
                    ReportCase{"NothingIfClearedBefore", {{Event::LostShared, "a", 1}, {Event::Finished}}, 1s, {}},
                    ReportCase{"NothingOfReports", {{Event::Reported, "a", 1}}, 1s, {}},
                    ReportCase{"ClearedIfReported",
                               {{Event::Reported, "a", 1}, {Event::Finished}},
                               0ms,
                               {{.fingerprint = Fingerprint, .crashes = {}, .cleared = true}}}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

TEST(CrashQuarantineBounds, DropTheOldestSuspects)
{
    CrashQuarantine quarantine({.maxSuspects = 10});
    TimePoint now(1h);
    for (std::uint64_t fingerprint = 1; fingerprint <= 50; ++fingerprint) {
        now += 1s;
        quarantine.recordEndpointLoss(fingerprint, {EndpointId("a")}, RunMode::Shared, now);
    }
    EXPECT_LE(quarantine.size(), 10U);
    EXPECT_EQ(quarantine.statusOf(50, now), QuarantineStatus::Suspect);
    EXPECT_EQ(quarantine.statusOf(1, now), QuarantineStatus::Clear);
}

} // namespace

} // namespace bergamot
