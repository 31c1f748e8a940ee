#include "bergamot/routing/choice.h"

#include <gtest/gtest.h>

#include "bergamot/routing/endpoint_pool.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

const TimePoint Now(1h);

class FixedCandidates final : public Candidates
{
public:
    explicit FixedCandidates(std::vector<double> costs)
        : m_costs(std::move(costs))
    { }

    std::size_t size() const override
    {
        return m_costs.size();
    }

    bool hasRoom(std::size_t index) const override
    {
        return m_costs[index] >= 0;
    }

    double cost(std::size_t index) const override
    {
        return m_costs[index];
    }

    std::uint64_t identity(std::size_t index) const override
    {
        return index * 7919;
    }

private:
    std::vector<double> m_costs; // a negative cost means no room
};

struct ChoiceCase
{
    std::string name;
    std::vector<double> costs;
    std::optional<std::size_t> chosen;
};

class SampledChoices : public testing::TestWithParam<ChoiceCase>
{ };

TEST_P(SampledChoices, TakeTheCheapestOfFew)
{
    SampledChoice strategy;
    std::mt19937_64 random(1);
    for (int count = 0; count < 20; ++count) {
        EXPECT_EQ(strategy.choose(FixedCandidates(GetParam().costs), random), GetParam().chosen);
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         SampledChoices,
                         testing::Values(ChoiceCase{"None", {}, std::nullopt},
                                         ChoiceCase{"One", {4}, 0},
                                         ChoiceCase{"Cheapest", {4, 2, 3}, 1},
                                         ChoiceCase{"OnlyWithRoom", {-1, -1, 9}, 2},
                                         ChoiceCase{"AllFull", {-1, -1}, std::nullopt}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST(SampledChoiceOfMany, AvoidsTheCostliestAndFindsTheOnlyOneWithRoom)
{
    SampledChoice strategy;
    std::mt19937_64 random(1);
    std::vector<double> costs(100, 1.0);
    costs[7] = 50;
    for (int count = 0; count < 1000; ++count) {
        EXPECT_NE(strategy.choose(FixedCandidates(costs), random), 7U);
    }
    std::vector<double> full(100, -1.0);
    full[42] = 1;
    EXPECT_EQ(strategy.choose(FixedCandidates(full), random), 42U);
}

TEST(PrefixOwner, KeepsItsEndpointUntilTheCostExceedsTheCeiling)
{
    const auto owner = choosePrefixOwner(FixedCandidates({1, 1, 1, 1}), 99, 3);
    ASSERT_TRUE(owner);
    std::vector<double> others(4, 2.0);
    others[*owner] = 3;
    EXPECT_EQ(choosePrefixOwner(FixedCandidates(others), 99, 3), owner);
    others[*owner] = 4;
    const auto next = choosePrefixOwner(FixedCandidates(others), 99, 3);
    EXPECT_NE(next, owner);
    EXPECT_TRUE(next);
}

TEST(RendezvousSubset, ChangesByAtMostOneWhenAnEndpointIsRemoved)
{
    std::vector<std::string> owned;
    owned.reserve(50);
    for (int number = 0; number < 50; ++number) {
        owned.push_back("endpoint-" + std::to_string(number));
    }
    const std::vector<std::string_view> names(owned.begin(), owned.end());
    const std::vector<std::string_view> fewer(names.begin(), names.end() - 1);
    const auto all = rendezvousSubset("entry-1", names, 10);
    const auto rest = rendezvousSubset("entry-1", fewer, 10);
    std::vector<std::size_t> kept;
    std::set_intersection(all.begin(), all.end(), rest.begin(), rest.end(), std::back_inserter(kept));
    EXPECT_EQ(all.size(), 10U);
    EXPECT_GE(kept.size(), 9U);
    EXPECT_NE(rendezvousSubset("entry-2", names, 10), all);
}

/// A pool with two endpoints in the own failure domain and one in another.
class PoolDomains : public testing::Test
{
protected:
    void SetUp() override
    {
        std::vector<RoutedEndpoint> endpoints;
        for (const char *name : {"a1", "a2", "b1"}) {
            RoutedEndpoint endpoint;
            endpoint.id = EndpointId(name);
            endpoint.domain = FailureDomainId(std::string(name, 1));
            endpoints.push_back(endpoint);
        }
        m_pool.update(endpoints, Now);
    }

    std::string pickAndDispatch()
    {
        const auto slot = m_pool.pick({}, Now, m_random);
        if (!slot) {
            return "none";
        }
        m_pool.dispatched(*slot, Now);
        return m_pool.endpoint(*slot).value();
    }

    static EndpointPoolOptions options()
    {
        EndpointPoolOptions options;
        options.instance = "entry-1";
        options.domain = FailureDomainId("a");
        options.limit.initial = 10;
        return options;
    }

    EndpointPool m_pool{options(), std::make_unique<SampledChoice>()};
    std::mt19937_64 m_random{1};
};

TEST_F(PoolDomains, OwnDomainFirstThenTheOthersThenTheRestOfTheOwn)
{
    std::map<std::string, int> early;
    for (int count = 0; count < 16; ++count) {
        ++early[pickAndDispatch()];
    }
    EXPECT_EQ(early["b1"], 0);
    std::map<std::string, int> all = early;
    for (int count = 0; count < 14; ++count) {
        ++all[pickAndDispatch()];
    }
    EXPECT_EQ(all, (std::map<std::string, int>{{"a1", 10}, {"a2", 10}, {"b1", 10}}));
    EXPECT_EQ(pickAndDispatch(), "none");
}

struct RemoteLoadCase
{
    std::string name;
    std::uint32_t load;
    Duration age;
    int spilled; // requests sent to the other domain once the own domain is full
};

class RemoteLoads : public testing::TestWithParam<RemoteLoadCase>
{ };

/// The endpoint of the own domain reports overload in every report; the load of the other domain's depends on the case.
TEST_P(RemoteLoads, LimitTheSpill)
{
    EndpointPool pool({.instance = "entry-1", .domain = FailureDomainId("a")}, std::make_unique<SampledChoice>());
    std::mt19937_64 random(1);
    constexpr int Reports = 40;
    for (int report = 0; report < Reports; ++report) {
        const TimePoint now = Now + std::chrono::seconds(report);
        pool.update(
            std::vector<RoutedEndpoint>{
                {.id = EndpointId("a1"), .domain = FailureDomainId("a"), .address = {}, .load = 16, .slots = 8},
                {.id = EndpointId("b1"),
                 .domain = FailureDomainId("b"),
                 .address = {},
                 .load = GetParam().load,
                 .slots = 16,
                 .loadAge = GetParam().age}},
            now);
    }
    std::map<std::string, int> taken;
    const TimePoint now = Now + std::chrono::seconds(Reports);
    for (int count = 0; count < 4; ++count) {
        if (const auto slot = pool.pick({.trafficClass = TrafficClass::Batch}, now, random)) {
            pool.dispatched(*slot, now);
            ++taken[pool.endpoint(*slot).value()];
        }
    }
    EXPECT_LE(taken["a1"], 1);
    EXPECT_EQ(taken["b1"], GetParam().spilled);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         RemoteLoads,
                         testing::Values(RemoteLoadCase{"Unknown", 0, 25500ms, 0},
                                         RemoteLoadCase{"Idle", 0, 2s, 1},
                                         RemoteLoadCase{"Full", 32, 2s, 0}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST(UnavailableDomain, AllOfItsRequestsGoToTheOthers)
{
    EndpointPool pool({.instance = "entry-1", .domain = FailureDomainId("a")}, std::make_unique<SampledChoice>());
    std::mt19937_64 random(1);
    const std::vector<RoutedEndpoint> endpoints{
        {.id = EndpointId("a1"), .domain = FailureDomainId("a"), .address = {}, .load = 8, .slots = 8},
        {.id = EndpointId("b1"), .domain = FailureDomainId("b"), .address = {}, .load = 8, .slots = 8, .loadAge = 2s}};
    pool.update(endpoints, Now);
    const auto first = pool.pick({}, Now, random);
    ASSERT_TRUE(first);
    pool.dispatched(*first, Now);
    ASSERT_EQ(pool.endpoint(*first).value(), "a1");
    pool.failed(*first, EndpointFailure::Refused, Now, random);
    pool.review(Now, random);
    for (int count = 0; count < 4; ++count) {
        const auto slot = pool.pick({}, Now, random);
        ASSERT_TRUE(slot);
        pool.dispatched(*slot, Now);
        EXPECT_EQ(pool.endpoint(*slot).value(), "b1");
    }
}

struct ClassCase
{
    std::string name;
    TrafficClass trafficClass;
    double limit; // over all endpoints
    int admitted;
};

class ClassAdmission : public testing::TestWithParam<ClassCase>
{ };

TEST_P(ClassAdmission, LeaveRoomForBurstsOfInteractiveRequests)
{
    EndpointPoolOptions options{.instance = "entry-1", .domain = FailureDomainId("a")};
    options.reportLimit.initial = GetParam().limit;
    EndpointPool pool(options, std::make_unique<SampledChoice>());
    std::mt19937_64 random(1);
    const std::vector<RoutedEndpoint> endpoints{
        {.id = EndpointId("a1"), .domain = FailureDomainId("a"), .address = {}, .load = 1, .slots = 100}};
    pool.update(endpoints, Now);
    int admitted = 0;
    while (const auto slot = pool.pick({.trafficClass = GetParam().trafficClass}, Now, random)) {
        pool.dispatched(*slot, Now);
        ++admitted;
    }
    EXPECT_EQ(admitted, GetParam().admitted);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ClassAdmission,
                         testing::Values(ClassCase{"InteractiveOfFew", TrafficClass::Interactive, 4, 8},
                                         ClassCase{"InternalOfFew", TrafficClass::Internal, 4, 4},
                                         ClassCase{"BatchOfFew", TrafficClass::Batch, 4, 4},
                                         ClassCase{"Interactive", TrafficClass::Interactive, 36, 48},
                                         ClassCase{"Internal", TrafficClass::Internal, 36, 35},
                                         ClassCase{"Batch", TrafficClass::Batch, 36, 34}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST_F(PoolDomains, SlowEndpointIsEjectedAndTheOthersStay)
{
    for (int round = 0; round < 60; ++round) {
        const auto slot = m_pool.pick({}, Now, m_random);
        ASSERT_TRUE(slot);
        m_pool.dispatched(*slot, Now);
        m_pool.answered(*slot, m_pool.endpoint(*slot).value() == "a1" ? 100ms : 10ms, 1, Now, m_random);
    }
    std::vector<std::size_t> held;
    while (const auto slot = m_pool.pick({}, Now, m_random)) {
        m_pool.dispatched(*slot, Now);
        held.push_back(*slot);
    }
    for (const std::size_t slot : held) {
        m_pool.answered(slot, m_pool.endpoint(slot).value() == "a1" ? 100ms : 10ms, 1, Now, m_random);
    }
    m_pool.review(Now, m_random);
    std::set<std::string> used;
    for (int count = 0; count < 15; ++count) {
        used.insert(pickAndDispatch());
    }
    EXPECT_FALSE(used.contains("a1"));
    EXPECT_TRUE(used.contains("a2"));
}

} // namespace

} // namespace bergamot
