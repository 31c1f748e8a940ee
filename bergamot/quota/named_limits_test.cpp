#include "bergamot/quota/named_limits.h"

#include <gtest/gtest.h>

namespace bergamot::quota
{
namespace
{

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};
const EndpointProcess Process{EndpointId("d1"), 5};
const EndpointProcess NextProcess{EndpointId("d1"), 6};
const EndpointProcess EarlierProcess{EndpointId("d1"), 4};

struct Event
{
    enum Kind {
        Heard,
        Reported,
    };

    Kind kind;
    EndpointProcess process;
    std::optional<double> perSecond;
};

struct LimitCase
{
    const char *name;
    std::vector<Event> events;
    std::optional<double> limit; // of `Process`
    std::vector<LimitReport> reports; // due after a second
};

class NamedLimitCases : public testing::TestWithParam<LimitCase>
{ };

TEST_P(NamedLimitCases, FollowFromWhatWasHeardAndReported)
{
    NamedLimits limits({}, 1);
    for (const Event &event : GetParam().events) {
        if (event.kind == Event::Heard) {
            limits.heard(event.process, event.perSecond, Start);
        } else {
            limits.reported({.process = event.process, .perSecond = event.perSecond});
        }
    }
    EXPECT_EQ(limits.limitOf(Process), GetParam().limit);
    EXPECT_EQ(limits.takeReports(Start + 1s), GetParam().reports);
    EXPECT_TRUE(limits.takeReports(Start + 2s).empty());
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    NamedLimitCases,
    testing::Values(
        LimitCase{"Heard", {{Event::Heard, Process, 3.5}}, 3.5, {{Process, 3.5}}},
        LimitCase{"NothingNamed", {{Event::Heard, Process, std::nullopt}}, std::nullopt, {}},
        LimitCase{"Reported", {{Event::Reported, Process, 3.5}}, 3.5, {}},
        LimitCase{"AnotherInstanceWasFirst", {{Event::Heard, Process, 3.5}, {Event::Reported, Process, 3.5}}, 3.5, {}},
        LimitCase{"Ended",
                  {{Event::Reported, Process, 3.5}, {Event::Heard, Process, std::nullopt}},
                  std::nullopt,
                  {{Process, std::nullopt}}},
        LimitCase{"EndedBeforeItWasReported",
                  {{Event::Heard, Process, 3.5}, {Event::Heard, Process, std::nullopt}},
                  std::nullopt,
                  {}},
        LimitCase{"Changed", {{Event::Reported, Process, 3.5}, {Event::Heard, Process, 2.0}}, 2.0, {{Process, 2.0}}},
        LimitCase{"HardlyChanged", {{Event::Reported, Process, 3.5}, {Event::Heard, Process, 3.6}}, 3.5, {}},
        LimitCase{"HeardAfterAnOlderReport",
                  {{Event::Heard, Process, 2.0}, {Event::Reported, Process, 3.5}},
                  2.0,
                  {{Process, 2.0}}},
        LimitCase{"OfTheNextProcess",
                  {{Event::Heard, Process, 3.5}, {Event::Heard, NextProcess, 2.0}},
                  std::nullopt,
                  {{NextProcess, 2.0}}},
        LimitCase{"OfAnEarlierProcess",
                  {{Event::Heard, Process, 3.5}, {Event::Heard, EarlierProcess, 9.0}},
                  3.5,
                  {{Process, 3.5}}},
        LimitCase{"Zero", {{Event::Heard, Process, 0.0}}, 0.1, {{Process, 0.1}}}),
    [](const auto &test) {
        return test.param.name;
    });

TEST(NamedLimits, OfEndpointsThatAreGoneAreForgotten)
{
    NamedLimits limits({}, 1);
    limits.heard(Process, 3.5, Start);
    limits.retain([](const EndpointId &endpoint) {
        return endpoint != Process.endpoint;
    });
    EXPECT_TRUE(limits.empty());
    EXPECT_TRUE(limits.all().empty());
}

// Hundreds of instances hear a limit at the same time; a report takes 100 ms to reach them all.
TEST(NamedLimits, FewInstancesReportWhatAllHear)
{
    constexpr std::size_t Instances = 300;
    constexpr Duration ReadTime = 100ms;
    std::vector<NamedLimits> instances;
    for (std::size_t seed = 0; seed < Instances; ++seed) {
        instances.emplace_back(NamedLimitsOptions{}, seed).heard(Process, 2.0, Start);
    }
    std::vector<std::pair<TimePoint, LimitReport>> log;
    std::size_t read = 0;
    for (TimePoint now = Start; now < Start + 1s; now += 10ms) {
        for (NamedLimits &instance : instances) {
            for (const LimitReport &report : instance.takeReports(now)) {
                log.emplace_back(now + ReadTime, report);
            }
        }
        for (; read < log.size() && log[read].first <= now; ++read) {
            for (NamedLimits &instance : instances) {
                instance.reported(log[read].second);
            }
        }
    }
    EXPECT_GE(log.size(), 1U);
    EXPECT_LE(log.size(), Instances / 2);
}

} // namespace
} // namespace bergamot::quota
