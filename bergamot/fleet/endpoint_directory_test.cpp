#include "bergamot/fleet/endpoint_directory.h"

#include <gtest/gtest.h>

namespace bergamot::fleet
{
namespace
{

using std::chrono::milliseconds;

struct VanishCase
{
    const char *name;
    bool outageBefore; // the store came back just before the entry vanished
    bool draining;
    bool listsAgain; // 1 s after it vanished
    milliseconds after; // when the list is looked at
    bool listed;
};

class VanishTest : public testing::TestWithParam<VanishCase>
{ };

TEST_P(VanishTest, AnEntryThatLapsedAroundAnOutageHasTimeToComeBack)
{
    EndpointDirectory directory;
    const TimePoint start{std::chrono::hours(1)};
    const Endpoint endpoint{.id = "i-1", .service = "desk", .draining = GetParam().draining};
    directory.put(endpoint);
    if (GetParam().outageBefore) {
        directory.storeReturned(start);
    }
    directory.remove("i-1", start + milliseconds(100));
    if (GetParam().listsAgain) {
        directory.put(endpoint);
    }
    directory.expire(start + GetParam().after);
    EXPECT_EQ(directory.listed().contains("i-1"), GetParam().listed);
}

INSTANTIATE_TEST_SUITE_P(Entries,
                         VanishTest,
                         testing::Values(VanishCase{"Calm", false, false, false, milliseconds(100), false},
                                         VanishCase{"AfterOutage", true, false, false, milliseconds(1500), true},
                                         VanishCase{"NeverBack", true, false, false, milliseconds(2400), false},
                                         VanishCase{"Back", true, false, true, milliseconds(5000), true},
                                         VanishCase{"Draining", true, true, false, milliseconds(200), false}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot::fleet
