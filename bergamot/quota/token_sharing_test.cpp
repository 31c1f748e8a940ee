// Tests that instances which share the limits of endpoints keep them and use them up: granter and purses in simulated
// time, under the loads and troubles for which they are made.

#include <algorithm>
#include <random>

#include <gtest/gtest.h>

#include "bergamot/quota/token_purse.h"

namespace bergamot::quota
{
namespace
{

using namespace std::chrono_literals;

constexpr Duration Step = 10ms;
constexpr Duration Window = 4s;

enum class Trouble {
    None,
    GranterIsGone, // and nobody grants for the rest
    GranterIsReplaced, // after 2 s without one
    GranterIsCutOff, // a third of the instances still ask it, which grants half; the others have a new one
    OthersArrive, // half of the instances start later
};

struct ShareCase
{
    const char *name;
    std::size_t instances;
    double perSecond; // limit of each of two endpoints
    double demand; // requests a second of all instances
    double busiestShare; // of the demand at the first instance; the rest is even
    Trouble trouble;
    double minUsed; // share of the limits that is used at least, over the whole time
};

class TokenSharing : public testing::TestWithParam<ShareCase>
{
protected:
    static constexpr TimePoint Start{1h};
    static constexpr Duration TroubleAt = 12s;
    static constexpr Duration Length = 40s;

    void SetUp() override
    {
        m_purses.resize(GetParam().instances);
        for (const char *id : {"d1", "d2"}) {
            m_endpoints.push_back({.process = {EndpointId(id), 1}, .perSecond = GetParam().perSecond});
        }
    }

    bool inTrouble() const
    {
        return m_now - Start >= TroubleAt;
    }

    /// The granter that an instance reaches; null if none.
    TokenGranter *granterFor(std::size_t instance, GrantShare &share)
    {
        share = GrantShare::Whole;
        if (!inTrouble()) {
            return &m_first;
        }
        switch (GetParam().trouble) {
        case Trouble::GranterIsGone:
            return nullptr;
        case Trouble::GranterIsReplaced:
            return m_now - Start < TroubleAt + 2s ? nullptr : &m_second;
        case Trouble::GranterIsCutOff:
            if (instance % 3 != 0) {
                return m_now - Start < TroubleAt + 2s ? nullptr : &m_second;
            }
            share = GrantShare::Half;
            return &m_first;
        default:
            return &m_first;
        }
    }

    void request(std::size_t instance)
    {
        TokenPurse &purse = m_purses[instance];
        GrantShare share = GrantShare::Whole;
        if (TokenGranter *granter = granterFor(instance, share)) {
            const TokenGrant grant = granter->grant({.endpoints = m_endpoints, .wanted = {1, 0}}, share, m_now);
            purse.granterAnswered();
            for (const GrantedTokens &granted : grant.granted) {
                purse.add(granted, m_now);
            }
            m_refused += grant.granted.empty() ? 1 : 0;
        } else {
            purse.granterFailed(m_now);
        }
        for (const LimitedEndpoint &endpoint : m_endpoints) {
            if (purse.has(endpoint.process, m_now)) {
                purse.spend(endpoint.process, m_now);
                m_arrivals[endpoint.process.endpoint].push_back(m_now);
                return;
            }
        }
    }

    void run()
    {
        std::mt19937_64 random(7);
        std::uniform_real_distribution<double> chance(0, 1);
        const std::size_t instances = GetParam().instances;
        const double perStep = GetParam().demand * std::chrono::duration<double>(Step).count();
        for (; m_now < Start + Length; m_now += Step) {
            std::poisson_distribution<int> arrivals(perStep);
            for (int count = arrivals(random); count > 0; --count) {
                std::size_t instance = 0;
                if (instances > 1 && chance(random) >= GetParam().busiestShare) {
                    instance = 1 + static_cast<std::size_t>(chance(random) * static_cast<double>(instances - 1));
                }
                const bool started = GetParam().trouble != Trouble::OthersArrive || instance % 2 == 0 || inTrouble();
                request(started ? instance : 0);
            }
        }
    }

    std::size_t mostInAWindow(const EndpointId &endpoint)
    {
        const std::vector<TimePoint> &arrivals = m_arrivals[endpoint];
        std::size_t most = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            const auto last = std::lower_bound(first, arrivals.end(), *first + Window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    TimePoint m_now = Start;
    std::vector<LimitedEndpoint> m_endpoints;
    std::vector<TokenPurse> m_purses;
    TokenGranter m_first;
    TokenGranter m_second;
    std::map<EndpointId, std::vector<TimePoint>> m_arrivals;
    int m_refused = 0;
};

TEST_P(TokenSharing, LimitsAreKeptAndUsed)
{
    run();
    const double seconds = std::chrono::duration<double>(Window).count();
    // The users tolerate 1.5 times the limit, and 5 requests. Without trouble it is the limit itself and what a bucket
    // holds.
    const bool trouble = GetParam().trouble != Trouble::None && GetParam().trouble != Trouble::OthersArrive;
    const double most = trouble ? 1.5 * seconds * GetParam().perSecond + 5 : (seconds + 1) * GetParam().perSecond + 3;
    double used = 0;
    for (const LimitedEndpoint &endpoint : m_endpoints) {
        EXPECT_LE(static_cast<double>(mostInAWindow(endpoint.process.endpoint)), most);
        used += static_cast<double>(m_arrivals[endpoint.process.endpoint].size());
    }
    const double usable = std::min(2 * GetParam().perSecond, GetParam().demand);
    EXPECT_GE(used, GetParam().minUsed * usable * std::chrono::duration<double>(Length).count());
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    TokenSharing,
    testing::Values(ShareCase{"One", 1, 3.5, 50, 1, Trouble::None, 0.95},
                    ShareCase{"Eighteen", 18, 3.5, 50, 0.05, Trouble::None, 0.95},
                    ShareCase{"ThreeHundred", 300, 2, 40, 0, Trouble::None, 0.95},
                    ShareCase{"ThreeHundredOneBusy", 300, 2, 40, 0.7, Trouble::None, 0.95},
                    ShareCase{"BelowTheLimit", 300, 20, 10, 0, Trouble::None, 0.9},
                    ShareCase{"HighLimit", 300, 200, 2000, 0, Trouble::None, 0.95},
                    ShareCase{"Starting", 300, 2, 40, 0, Trouble::OthersArrive, 0.95},
                    ShareCase{"EighteenGone", 18, 3.5, 50, 0.05, Trouble::GranterIsGone, 0.6},
                    ShareCase{"ThreeHundredGone", 300, 2, 40, 0, Trouble::GranterIsGone, 0.4},
                    ShareCase{"EighteenReplaced", 18, 3.5, 50, 0.05, Trouble::GranterIsReplaced, 0.85},
                    ShareCase{"ThreeHundredReplaced", 300, 2, 40, 0, Trouble::GranterIsReplaced, 0.85},
                    ShareCase{"EighteenCut", 18, 3.5, 50, 0.05, Trouble::GranterIsCutOff, 0.85},
                    ShareCase{"ThreeHundredCut", 300, 2, 40, 0, Trouble::GranterIsCutOff, 0.85}),
    [](const auto &test) {
        return test.param.name;
    });

/// Callers and owed requests that ask one granter.
struct CompetitionCase
{
    const char *name;
    double callers; // asks a second
    double owed;
    double minCallersServed; // a second, at a limit of 6
    double minOwedServed;
};

class Competition : public testing::TestWithParam<CompetitionCase>
{ };

TEST_P(Competition, EachUseGetsItsShareAndWhatTheOtherLeaves)
{
    constexpr double Seconds = 30;
    const LimitedEndpoint endpoint{.process = {EndpointId("d1"), 1}, .perSecond = 6};
    TokenGranter granter;
    double dueCallers = 0;
    double dueOwed = 0;
    std::array<double, TokenUses> served{};
    for (TimePoint now{1h}; now < TimePoint{1h} + 30s; now += Step) {
        dueCallers += GetParam().callers * 0.01;
        dueOwed += GetParam().owed * 0.01;
        for (; dueOwed >= 1; --dueOwed) {
            served[1] += granter.take(endpoint, TokenUse::Owed, GrantShare::Whole, now) ? 1 : 0;
        }
        for (; dueCallers >= 1; --dueCallers) {
            served[0] += granter.take(endpoint, TokenUse::Caller, GrantShare::Whole, now) ? 1 : 0;
        }
    }
    EXPECT_GE(served[0] / Seconds, GetParam().minCallersServed);
    EXPECT_GE(served[1] / Seconds, GetParam().minOwedServed);
    EXPECT_LE((served[0] + served[1]) / Seconds, 6.3);
}

INSTANTIATE_TEST_SUITE_P(Loads,
                         Competition,
                         testing::Values(CompetitionCase{"OnlyCallers", 40, 0, 5.7, 0},
                                         CompetitionCase{"OnlyOwed", 0, 40, 0, 5.7},
                                         CompetitionCase{"Both", 40, 40, 2.8, 2.8},
                                         CompetitionCase{"FewCallers", 1, 40, 0.9, 4.6},
                                         CompetitionCase{"FewOwed", 40, 1, 4.6, 0.9}),
                         [](const auto &test) {
                             return test.param.name;
                         });

// A step of 120 items is complete at once; its scoring calls return when they are told to.
TEST(ReturnTimesTest, WhoReturnsAtTheirTimeGetsAToken)
{
    const LimitedEndpoint endpoint{.process = {EndpointId("d1"), 1}, .perSecond = 6};
    TokenGranter granter;
    std::multimap<TimePoint, int> returns; // requests by the time of their next ask
    constexpr TimePoint Start{1h};
    for (int request = 0; request < 120; ++request) {
        returns.emplace(Start, request);
    }
    int asks = 0;
    TimePoint served{};
    while (!returns.empty()) {
        const TimePoint now = returns.begin()->first;
        const auto asking = static_cast<std::uint32_t>(returns.count(now));
        returns.erase(now);
        asks += static_cast<int>(asking);
        const TokenGrant grant =
            granter.grant({.endpoints = {endpoint}, .wanted = {0, asking}}, GrantShare::Whole, now);
        const std::uint32_t got = grant.granted.empty() ? 0 : grant.granted.front().tokens;
        served = now;
        for (std::uint32_t refused = 0; refused < asking - got; ++refused) {
            returns.emplace(now + grant.returns[1].first + grant.returns[1].spacing * refused, 0);
        }
    }
    EXPECT_LE(asks, 2 * 120 + 20);
    EXPECT_LE(served - Start, 30s); // 20 s at the limit
}

// An instance with few requests must not go on at its own rate beside a granter that has returned.
TEST(TokenPurseTest, TheOwnRateHoldsOnlyUntilTheNextAsk)
{
    const EndpointProcess process{EndpointId("d1"), 1};
    TokenPurse purse;
    TimePoint now{1h};
    for (int second = 0; second < 10; ++second, now += 1s) {
        purse.add({.process = process, .tokens = 1}, now);
        purse.spend(process, now);
    }
    purse.granterFailed(now);
    EXPECT_FALSE(purse.has(process, now));
    EXPECT_TRUE(purse.has(process, now + 1s));
    EXPECT_FALSE(purse.has(process, now + 1100ms)) << "the granter has to be asked again";
    purse.granterFailed(now + 1100ms);
    EXPECT_TRUE(purse.has(process, now + 1100ms));
    purse.spend(process, now + 1100ms);
    EXPECT_FALSE(purse.has(process, now + 1200ms));
    purse.granterAnswered();
    EXPECT_FALSE(purse.has(process, now + 2100ms));
}

TEST(UrgentTokens, AreTakenAheadButFew)
{
    const LimitedEndpoint endpoint{.process = {EndpointId("e1"), 1}, .perSecond = 2};
    TokenGranter granter;
    constexpr TimePoint Start{1h};
    int taken = 0;
    for (int order = 0; order < 10; ++order) {
        taken += granter.takeUrgent(endpoint, GrantShare::Whole, Start) ? 1 : 0;
    }
    EXPECT_EQ(taken, 2);
    EXPECT_FALSE(granter.take(endpoint, TokenUse::Caller, GrantShare::Whole, Start + 1s));
    EXPECT_TRUE(granter.takeUrgent(endpoint, GrantShare::Whole, Start + 4s));
}

} // namespace
} // namespace bergamot::quota
