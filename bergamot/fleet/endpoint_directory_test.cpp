#include "bergamot/fleet/endpoint_directory.h"

#include <algorithm>

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
    const EndpointEntry entry{.endpoint = {.id = "i-1", .service = "desk", .draining = GetParam().draining}};
    directory.put(entry);
    if (GetParam().afterOutage) {
        directory.storeRecovered(start);
    }
    directory.remove("i-1", start + milliseconds(100));
    if (GetParam().registersAgain) {
        directory.put(entry);
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

struct ServiceEntries
{
    std::size_t registered = 0;
    std::size_t removed = 0; // of those
    std::size_t inUse = 0; // once the removals are confirmed
};

struct RemovalsCase
{
    const char *name;
    ServiceEntries desk;
    ServiceEntries other; // another service
};

class RemovalsAfterAnOutageTest : public testing::Test
{
protected:
    static std::string idOf(const std::string &service, std::size_t index)
    {
        return service + std::to_string(index);
    }

    void put(const std::string &service, const ServiceEntries &entries)
    {
        for (std::size_t index = 0; index < entries.registered; ++index) {
            m_directory.put({.endpoint = {.id = idOf(service, index), .service = service}});
        }
    }

    void remove(const std::string &service, const ServiceEntries &entries, TimePoint now)
    {
        for (std::size_t index = 0; index < entries.removed; ++index) {
            EXPECT_EQ(m_directory.remove(idOf(service, index), now), EntryOutcome::Kept);
        }
    }

    std::size_t inUse(const std::string &service) const
    {
        return std::count_if(m_directory.endpoints().begin(), m_directory.endpoints().end(), [&](const auto &known) {
            return known.second.service == service;
        });
    }

    EndpointDirectory m_directory;
};

class LostEntriesTest : public RemovalsAfterAnOutageTest, public testing::WithParamInterface<RemovalsCase>
{ };

TEST_P(LostEntriesTest, EndpointsStayInUseOnlyIfTheirServiceHasLostMostOfItsEntries)
{
    const TimePoint recovered{std::chrono::hours(1)};
    const TimePoint read = recovered + milliseconds(10);
    put("desk", GetParam().desk);
    put("other", GetParam().other);
    m_directory.storeRecovered(recovered);
    remove("desk", GetParam().desk, read);
    remove("other", GetParam().other, read);
    m_directory.confirmRemovals(read);
    EXPECT_EQ(inUse("desk"), GetParam().desk.inUse);
    EXPECT_EQ(inUse("other"), GetParam().other.inUse);
    m_directory.expire(recovered + milliseconds(2400));
    EXPECT_EQ(inUse("desk"), GetParam().desk.registered - GetParam().desk.removed);
}

TEST_F(RemovalsAfterAnOutageTest, EndpointsThatAreSlowerToRegisterAgainStayInUse)
{
    constexpr ServiceEntries All{.registered = 9, .removed = 9, .inUse = 9};
    const TimePoint recovered{std::chrono::hours(1)};
    put("desk", All);
    m_directory.storeRecovered(recovered);
    remove("desk", All, recovered);
    m_directory.confirmRemovals(recovered);
    put("desk", {.registered = 6}); // six of nine are back
    EXPECT_TRUE(m_directory.confirmRemovals(recovered + milliseconds(600)).empty());
    EXPECT_EQ(inUse("desk"), All.inUse);
    m_directory.expire(recovered + milliseconds(2400));
    EXPECT_EQ(inUse("desk"), 6U);
}

INSTANTIATE_TEST_SUITE_P(Services,
                         LostEntriesTest,
                         testing::Values(RemovalsCase{"OneOfThree", {3, 1, 2}, {9, 0, 9}},
                                         RemovalsCase{"OneOfTwo", {2, 1, 1}, {9, 0, 9}},
                                         RemovalsCase{"HalfOfTen", {10, 5, 5}, {9, 2, 7}},
                                         RemovalsCase{"MostOfTen", {10, 6, 10}, {9, 4, 5}},
                                         RemovalsCase{"TheOnlyOne", {1, 1, 1}, {9, 0, 9}},
                                         RemovalsCase{"AllOfAllServices", {3, 3, 3}, {9, 9, 9}}),
                         [](const auto &test) {
                             return test.param.name;
                         });

/// What happens to the entry of endpoint "i-1" after an answer of it said that it is leaving.
struct LeavingCase
{
    const char *name;
    std::uint64_t incarnation; // of the endpoint that said so; 0: not known
    std::function<void(EndpointDirectory &directory, TimePoint now)> then;
    bool leaving; // whether the endpoint that is registered in the end is leaving
};

EndpointEntry entryOf(std::uint64_t incarnation)
{
    return {.endpoint = {.id = "i-1", .service = "desk", .incarnation = incarnation}};
}

class LeavingEndpointTest : public testing::TestWithParam<LeavingCase>
{ };

TEST_P(LeavingEndpointTest, TheWordHoldsUntilAnotherIncarnationIsKnown)
{
    EndpointDirectory directory;
    const TimePoint start{std::chrono::hours(1)};
    directory.put(entryOf(GetParam().incarnation));
    ASSERT_TRUE(directory.markLeaving("i-1", GetParam().incarnation, start));
    EXPECT_FALSE(directory.markLeaving("i-1", GetParam().incarnation, start)) << "said again";
    EXPECT_TRUE(directory.endpoints().at("i-1").leaving());
    const TimePoint later = start + std::chrono::minutes(2);
    GetParam().then(directory, later);
    directory.expire(later + milliseconds(1));
    EXPECT_EQ(directory.endpoints().at("i-1").leaving(), GetParam().leaving);
}

INSTANTIATE_TEST_SUITE_P(Entries,
                         LeavingEndpointTest,
                         testing::Values(LeavingCase{"NoNewEntry", 5, [](EndpointDirectory &, TimePoint) {}, true},
                                         LeavingCase{"Heartbeat",
                                                     5,
                                                     [](EndpointDirectory &directory, TimePoint) {
                                                         EXPECT_EQ(directory.put(entryOf(5)), EntryOutcome::Unchanged);
                                                     },
                                                     true},
                                         LeavingCase{"CompleteRead",
                                                     5,
                                                     [](EndpointDirectory &directory, TimePoint now) {
                                                         directory.replace({{"i-1", entryOf(5)}}, {}, now);
                                                     },
                                                     true},
                                         LeavingCase{"MissingAfterAnOutageAndRegisteredAgain",
                                                     5,
                                                     [](EndpointDirectory &directory, TimePoint now) {
                                                         directory.storeRecovered(now);
                                                         directory.remove("i-1", now);
                                                         directory.put(entryOf(5));
                                                     },
                                                     true},
                                         LeavingCase{"EntryGoneAndSameIncarnation",
                                                     5,
                                                     [](EndpointDirectory &directory, TimePoint now) {
                                                         directory.remove("i-1", now);
                                                         directory.expire(now + std::chrono::minutes(1));
                                                         directory.put(entryOf(5));
                                                     },
                                                     true},
                                         LeavingCase{"EntryGoneForAnHour",
                                                     5,
                                                     [](EndpointDirectory &directory, TimePoint now) {
                                                         directory.remove("i-1", now - std::chrono::hours(1));
                                                         directory.expire(now);
                                                         directory.put(entryOf(5));
                                                     },
                                                     false},
                                         LeavingCase{"EntryWithoutIncarnation",
                                                     5,
                                                     [](EndpointDirectory &directory, TimePoint) {
                                                         directory.put(entryOf(0));
                                                     },
                                                     true},
                                         LeavingCase{"AnotherIncarnation",
                                                     5,
                                                     [](EndpointDirectory &directory, TimePoint) {
                                                         EXPECT_EQ(directory.put(entryOf(6)), EntryOutcome::Restarted);
                                                     },
                                                     false},
                                         LeavingCase{"EntryGoneAndAnotherIncarnation",
                                                     5,
                                                     [](EndpointDirectory &directory, TimePoint now) {
                                                         directory.remove("i-1", now);
                                                         directory.put(entryOf(6));
                                                     },
                                                     false},
                                         LeavingCase{"UnknownIncarnationHeartbeat",
                                                     0,
                                                     [](EndpointDirectory &directory, TimePoint) {
                                                         directory.put(entryOf(0));
                                                     },
                                                     true},
                                         LeavingCase{"UnknownIncarnationEntryGone",
                                                     0,
                                                     [](EndpointDirectory &directory, TimePoint now) {
                                                         directory.remove("i-1", now);
                                                         directory.put(entryOf(0));
                                                     },
                                                     false}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST(LeavingEndpoint, AnAnswerOfAnEarlierIncarnationDoesNotConcernTheRegisteredOne)
{
    EndpointDirectory directory;
    directory.put(entryOf(6));
    EXPECT_FALSE(directory.markLeaving("i-1", 5, TimePoint(std::chrono::hours(1))));
    EXPECT_FALSE(directory.endpoints().at("i-1").leaving());
}

TEST(LeavingEndpoint, AnAnswerAfterTheEntryHasDisappearedCounts)
{
    EndpointDirectory directory;
    const TimePoint start{std::chrono::hours(1)};
    EXPECT_TRUE(directory.markLeaving("i-1", 5, start));
    directory.put(entryOf(5));
    EXPECT_TRUE(directory.endpoints().at("i-1").leaving());
}

} // namespace
} // namespace bergamot::fleet
