#include "bergamot/fleet/entry_order.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace bergamot::fleet
{
namespace
{

struct Step
{
    std::optional<EntryVersion> version; // nothing: the entry is removed
    bool admitted = true;
};

struct OrderCase
{
    const char *name;
    std::vector<Step> steps;
};

class EntryOrderTest : public testing::TestWithParam<OrderCase>
{ };

TEST_P(EntryOrderTest, OnlyEntriesThatAreNotOlderAreAdmitted)
{
    EntryOrder order;
    std::size_t index = 0;
    for (const Step &step : GetParam().steps) {
        if (step.version) {
            EXPECT_EQ(order.admit(*step.version), step.admitted) << "step " << index;
        } else {
            order.remove(TimePoint(std::chrono::hours(1)));
        }
        ++index;
    }
}

constexpr auto Removed = std::nullopt;

INSTANTIATE_TEST_SUITE_P(
    Orders,
    EntryOrderTest,
    testing::Values(
        OrderCase{"Heartbeats", {{{{100, 1}}}, {{{100, 2}}}, {{{100, 9}}}}},
        OrderCase{"Repeated", {{{{100, 2}}}, {{{100, 2}}}}},
        OrderCase{"Late", {{{{100, 2}}}, {{{100, 1}}, false}, {{{100, 3}}}}},
        OrderCase{"LateAfterRemoval", {{{{100, 2}}}, {Removed}, {{{100, 2}}, false}, {{{100, 1}}, false}}},
        OrderCase{"RegisteredAgain", {{{{100, 2}}}, {Removed}, {{{100, 3}}}, {{{100, 3}}}}},
        OrderCase{"EarlierProcess", {{{{100, 5}}}, {{{200, 1}}}, {{{100, 6}}, false}, {{{200, 2}}}}},
        OrderCase{"EarlierProcessAfterRemoval", {{{{100, 5}}}, {{{200, 1}}}, {Removed}, {{{100, 6}}, false}}},
        OrderCase{"EarlierProcessThatWasNeverSeen",
                  {{{{200, 5}}}, {{{100, 6}}, false}, {{{200, 6}}}, {{{100, 6}}, false}, {{{200, 7}}}}},
        OrderCase{"ClockSetBack", {{{{100, 5}}}, {{{99, 1}}, false}, {{{99, 2}}}, {{{99, 3}}}, {{{99, 2}}, false}}},
        OrderCase{"NewerProcessAfterAClockWasSetBack",
                  {{{{100, 5}}}, {{{99, 1}}, false}, {{{99, 2}}}, {{{100, 6}}}, {{{99, 2}}, false}}},
        OrderCase{"UnknownSequences", {{{{100, Removed}}}, {{{100, Removed}}}, {Removed}, {{{100, Removed}}}}},
        OrderCase{"UnknownIncarnations", {{{{0, 5}}}, {{{0, 1}}}, {Removed}, {{{0, 1}}}}},
        OrderCase{"UnknownIncarnationThenKnown", {{{{0, 5}}}, {{{100, 1}}}, {{{0, 5}}}, {{{100, 1}}}}}),
    [](const auto &test) {
        return test.param.name;
    });

} // namespace
} // namespace bergamot::fleet
