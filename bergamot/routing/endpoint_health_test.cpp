#include "bergamot/routing/endpoint_health.h"

#include <gtest/gtest.h>

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

struct EjectionCase
{
    std::string name;
    EndpointFailure failure;
    int failures;
    bool ejected;
};

class EjectionRules : public testing::TestWithParam<EjectionCase>
{ };

TEST_P(EjectionRules, CountFailuresInARow)
{
    EndpointHealth health({.failuresToEject = 3});
    std::mt19937_64 random(1);
    const TimePoint now(1h);
    for (int count = 0; count < GetParam().failures; ++count) {
        health.dispatched(now);
        health.failed(GetParam().failure, now, random);
    }
    EXPECT_EQ(health.ejected(), GetParam().ejected);
    EXPECT_EQ(health.admits(now), !GetParam().ejected);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         EjectionRules,
                         testing::Values(EjectionCase{"RefusedOnce", EndpointFailure::Refused, 1, true},
                                         EjectionCase{"SlowOnce", EndpointFailure::Slow, 1, true},
                                         EjectionCase{"LostTwice", EndpointFailure::Lost, 2, false},
                                         EjectionCase{"LostThrice", EndpointFailure::Lost, 3, true},
                                         EjectionCase{"StalledThrice", EndpointFailure::Stalled, 3, true},
                                         EjectionCase{"FaultyTwice", EndpointFailure::Faulty, 2, false},
                                         EjectionCase{"FaultyThrice", EndpointFailure::Faulty, 3, true}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

class ProbingBack : public testing::Test
{
protected:
    void SetUp() override
    {
        m_health.failed(EndpointFailure::Refused, m_now, m_random);
        m_now += 1s;
    }

    EndpointHealth m_health{{.minEjection = 1s, .maxEjection = 30s, .slowStart = 10s}};
    std::mt19937_64 m_random{1};
    TimePoint m_now = TimePoint(1h);
};

TEST_F(ProbingBack, OneProbeAtATime)
{
    EXPECT_TRUE(m_health.admits(m_now));
    m_health.dispatched(m_now);
    EXPECT_FALSE(m_health.admits(m_now));
    m_health.endedInconclusively();
    EXPECT_TRUE(m_health.admits(m_now));
}

TEST_F(ProbingBack, StartsSlowlyAfterASuccessfulProbe)
{
    m_health.dispatched(m_now);
    m_health.succeeded(m_now);
    EXPECT_FALSE(m_health.ejected());
    EXPECT_LT(m_health.share(m_now), 0.2);
    EXPECT_NEAR(m_health.share(m_now + 5s), 0.5, 0.01);
    EXPECT_EQ(m_health.share(m_now + 10s), 1.0);
}

TEST_F(ProbingBack, IsEjectedLongerAfterEachFailedProbe)
{
    Duration before = Duration::zero();
    for (int round = 0; round < 8; ++round) {
        m_health.dispatched(m_now);
        m_health.failed(EndpointFailure::Refused, m_now, m_random);
        Duration ejectedFor = Duration::zero();
        while (!m_health.admits(m_now + ejectedFor)) {
            ejectedFor += 100ms;
        }
        EXPECT_GE(ejectedFor * 2, before);
        EXPECT_LE(ejectedFor, 30s + 100ms);
        before = ejectedFor;
        m_now += ejectedFor;
    }
    EXPECT_GE(before, 15s);
}

TEST_F(ProbingBack, AnAnswerToAnEarlierRequestDoesNotEndTheEjection)
{
    EndpointHealth health;
    health.dispatched(m_now);
    health.failed(EndpointFailure::Refused, m_now, m_random);
    health.succeeded(m_now);
    EXPECT_TRUE(health.ejected());
}

} // namespace

} // namespace bergamot
