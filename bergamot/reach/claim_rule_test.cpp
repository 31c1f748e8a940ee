#include "bergamot/reach/claim_rule.h"

#include <optional>
#include <vector>

#include <gtest/gtest.h>

namespace bergamot::reach
{
namespace
{

using namespace std::chrono_literals;

const TimePoint Start(1h);

struct Step
{
    Duration at;
    ClaimPhase phase;
    ClaimVerdict verdict;
};

/// Replays the phases of one instance. Its connections to endpoints are established at `connections`.
struct ReplayCase
{
    const char *name;
    std::vector<Duration> connections;
    std::vector<Step> steps;
};

class ReplayTest : public testing::TestWithParam<ReplayCase>
{
protected:
    /// The newest connection at `at`; nothing before the first one.
    std::optional<Duration> connectedAt(Duration at) const
    {
        std::optional<Duration> newest;
        for (const Duration connection : GetParam().connections) {
            if (connection <= at) {
                newest = connection;
            }
        }
        return newest;
    }
};

TEST_P(ReplayTest, GivesTheVerdicts)
{
    ClaimRule rule({.longestPutOff = 4s});
    for (const Step &step : GetParam().steps) {
        const std::optional<Duration> connected = connectedAt(step.at);
        const ClaimVerdict verdict = rule.update(
            step.phase,
            [&connected](TimePoint since) {
                return connected && Start + *connected >= since;
            },
            Start + step.at);
        EXPECT_EQ(static_cast<int>(verdict), static_cast<int>(step.verdict)) << step.at / 1ms << " ms";
    }
}

constexpr ClaimPhase NotDue = ClaimPhase::NotDue;
constexpr ClaimPhase Soon = ClaimPhase::Soon;
constexpr ClaimPhase Due = ClaimPhase::Due;

INSTANTIATE_TEST_SUITE_P(
    Replays,
    ReplayTest,
    testing::Values(
        ReplayCase{"NothingToClaim", {0ms}, {{0ms, NotDue, ClaimVerdict::NotDue}, {9s, NotDue, ClaimVerdict::NotDue}}},
        ReplayCase{
            "ProvenInTheLead", {1050ms}, {{1s, Soon, ClaimVerdict::NotDue}, {1300ms, Due, ClaimVerdict::Allowed}}},
        ReplayCase{"ProvenAtTheSameMoment", {1s}, {{1s, Due, ClaimVerdict::Allowed}}},
        ReplayCase{
            "ConnectedJustBefore", {999ms}, {{1s, Due, ClaimVerdict::PutOff}, {1100ms, Due, ClaimVerdict::PutOff}}},
        ReplayCase{"ConnectedWithinTwoSecondsBefore",
                   {0ms, 500ms},
                   {{1s, Soon, ClaimVerdict::NotDue},
                    {1100ms, Due, ClaimVerdict::PutOff},
                    {2400ms, Due, ClaimVerdict::PutOff}}},
        ReplayCase{"ConnectedLongBefore", {0ms}, {{10s, Due, ClaimVerdict::PutOff}}},
        ReplayCase{"NeverConnected", {}, {{1s, Soon, ClaimVerdict::NotDue}, {1300ms, Due, ClaimVerdict::PutOff}}},
        ReplayCase{"ProvenWhilePutOff",
                   {500ms, 1150ms},
                   {{1s, Due, ClaimVerdict::PutOff}, {1200ms, Due, ClaimVerdict::Allowed}}},
        ReplayCase{
            "NobodyReachesEndpoints",
            {500ms},
            {{1s, Due, ClaimVerdict::PutOff}, {4999ms, Due, ClaimVerdict::PutOff}, {5s, Due, ClaimVerdict::Allowed}}},
        ReplayCase{"TheOwnerWasOnlyLate",
                   {1050ms},
                   {{1s, Soon, ClaimVerdict::NotDue},
                    {1200ms, NotDue, ClaimVerdict::NotDue},
                    {1900ms, Soon, ClaimVerdict::NotDue},
                    {2100ms, Due, ClaimVerdict::PutOff}}},
        ReplayCase{"AnotherClaimEndsThePutOff",
                   {500ms},
                   {{1s, Due, ClaimVerdict::PutOff},
                    {3s, NotDue, ClaimVerdict::NotDue},
                    {4s, Due, ClaimVerdict::PutOff},
                    {7s, Due, ClaimVerdict::PutOff},
                    {8s, Due, ClaimVerdict::Allowed}}}),
    [](const auto &test) {
        return test.param.name;
    });

} // namespace
} // namespace bergamot::reach
