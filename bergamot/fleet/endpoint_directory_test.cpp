#include "bergamot/fleet/endpoint_directory.h"

#include <gtest/gtest.h>

namespace bergamot::fleet
{
namespace
{

using std::chrono::milliseconds;

struct MissingEntryCase
{
    const char *name;
    bool afterOutage; // the store recovered just before the entry disappeared
    bool draining;
    bool registersAgain; // the endpoint registers again
    milliseconds after; // time after the recovery at which the directory is checked
    bool registered;
};

class MissingEntryTest : public testing::TestWithParam<MissingEntryCase>
{ };

TEST_P(MissingEntryTest, AnEntryThatExpiresAfterAnOutageIsKeptUntilItCanRegisterAgain)
{
    EndpointDirectory directory;
    const TimePoint start{std::chrono::hours(1)};
    const Endpoint endpoint{.id = "i-1", .service = "desk", .draining = GetParam().draining};
    directory.put(endpoint);
    if (GetParam().afterOutage) {
        directory.storeRecovered(start);
    }
    directory.remove("i-1", start + milliseconds(100));
    if (GetParam().registersAgain) {
        directory.put(endpoint);
    }
    directory.expire(start + GetParam().after);
    EXPECT_EQ(directory.endpoints().contains("i-1"), GetParam().registered);
}

INSTANTIATE_TEST_SUITE_P(
    Entries,
    MissingEntryTest,
    testing::Values(MissingEntryCase{"NoOutage", false, false, false, milliseconds(100), false},
                    MissingEntryCase{"AfterOutage", true, false, false, milliseconds(1500), true},
                    MissingEntryCase{"NotRegisteredAgain", true, false, false, milliseconds(2400), false},
                    MissingEntryCase{"RegisteredAgain", true, false, true, milliseconds(5000), true},
                    MissingEntryCase{"Draining", true, true, false, milliseconds(200), false}),
    [](const auto &test) {
        return test.param.name;
    });

} // namespace
} // namespace bergamot::fleet
