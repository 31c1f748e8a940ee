#include "bergamot/batch/suspect_index.h"

#include <gtest/gtest.h>

namespace bergamot::batch
{
namespace
{

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};

CrashReport crash(std::uint64_t fingerprint, const std::string &endpoint, bool alone = false)
{
    return {.fingerprint = fingerprint,
            .crashes = {{.process = {.endpoint = EndpointId(endpoint), .incarnation = 1}, .alone = alone}}};
}

struct FoldCase
{
    const char *name;
    std::vector<CrashReport> reports;
    Duration age; // since the last report
    std::vector<CrashReport> expected;
};

class SuspectFoldTest : public testing::TestWithParam<FoldCase>
{ };

TEST_P(SuspectFoldTest, TheStateFollowsFromTheReports)
{
    SuspectIndex index({.maxSuspects = 2, .maxCrashes = 2, .retention = 1min});
    for (const CrashReport &report : GetParam().reports) {
        index.apply(report, Start);
    }
    index.expire(Start + GetParam().age);
    EXPECT_EQ(index.suspects(), GetParam().expected);

    SuspectIndex restored;
    restored.restore(index.suspects(), Start);
    EXPECT_EQ(restored.suspects(), index.suspects());
}

const CrashReport Cleared{.fingerprint = 1, .crashes = {}, .cleared = true};
const CrashReport OnA = crash(1, "a");
const CrashReport OnB = crash(1, "b", true);

INSTANTIATE_TEST_SUITE_P(
    Reports,
    SuspectFoldTest,
    testing::Values(
        FoldCase{"CrashesAdd", {OnA, OnB}, 0s, {{.fingerprint = 1, .crashes = {OnA.crashes[0], OnB.crashes[0]}}}},
        FoldCase{"OneCrashByTwoInstances", {OnA, crash(1, "a", true)}, 0s, {crash(1, "a", true)}},
        FoldCase{"Cleared", {OnA, OnB, Cleared}, 0s, {}},
        FoldCase{"ClearedAndSuspectAgain", {OnA, Cleared, OnB}, 0s, {OnB}},
        FoldCase{"TheFirstAreDropped", {OnA, crash(2, "a"), crash(3, "a")}, 0s, {crash(2, "a"), crash(3, "a")}},
        FoldCase{"FurtherCrashesAreNotKept",
                 {OnA, OnB, crash(1, "c")},
                 0s,
                 {{.fingerprint = 1, .crashes = {OnA.crashes[0], OnB.crashes[0]}}}},
        FoldCase{"Retained", {OnA}, 1min, {OnA}},
        FoldCase{"Expired", {OnA}, 61s, {}}),
    [](const auto &test) {
        return test.param.name;
    });

} // namespace
} // namespace bergamot::batch
