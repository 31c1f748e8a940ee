

#include "bergamot/entry/held_endpoint_fixture.h"

namespace bergamot
{

namespace
{

TEST_F(DataPathStreams, LeavingEndpointFinishesItsStreamAndGetsNoNewRequests)
{
    HeldEndpoint leaving;
    HeldEndpoint staying;
    publishView({{leaving.address()}});
    const auto [caller, stream] = openStream(leaving);
    ASSERT_TRUE(stream);
    publishView({{leaving.address(), true}, {staying.address()}});
    for (int count = 0; count < 10; ++count) {
        EXPECT_EQ(send(m_path, read("item-" + std::to_string(count)))->outcome(), "answered");
    }
    EXPECT_EQ(leaving.requests(), 1U);
    EXPECT_EQ(staying.requests(), 10U);
    stream->write("two");
    stream->endStream();
    EXPECT_EQ(caller->answer().body, "one two");
    EXPECT_TRUE(caller->isComplete());
}

TEST_F(DataPathStreams, BrokenStreamReachesTheCallerAsIncomplete)
{
    HeldEndpoint endpoint;
    publishView({{endpoint.address()}});
    const auto [caller, stream] = openStream(endpoint);
    ASSERT_TRUE(stream);
    stream->abortStream();
    EXPECT_FALSE(caller->isComplete());
    EXPECT_EQ(endpoint.requests(), 1U);
}

TEST_F(DataPathStreams, DrainUnderLoadAnswersEveryAcceptedRequest)
{
    constexpr std::size_t Early = 12;
    HeldEndpoint endpoint;
    HeldEndpoint second;
    publishView({{endpoint.address()}, {second.address()}});
    endpoint.hold();
    second.hold();
    std::vector<std::shared_ptr<TestCaller>> early;
    early.reserve(Early);
    for (std::size_t count = 0; count < Early; ++count) {
        early.push_back(send(m_path, within(read("item-" + std::to_string(count)), 60s)));
    }
    ASSERT_TRUE(endpoint.waitForRequests(1));
    m_path.beginShutdown();
    EXPECT_FALSE(m_path.ready());
    std::shared_ptr<TestCaller> late;
    do {
        late = send(m_path, within(read("late"), 50ms));
    } while (late->answer().status != 503);
    EXPECT_EQ(late->outcome(), "not-run");
    EXPECT_EQ(m_path.drained().wait_for(0s), std::future_status::timeout);
    endpoint.release();
    second.release();
    for (const auto &caller : early) {
        EXPECT_EQ(caller->outcome(), "answered");
    }
    EXPECT_EQ(m_path.drained().wait_for(TestTimeout), std::future_status::ready);
}

TEST_F(DataPathStreams, CrashingRequestCrashesAtMostTwoEndpointsAndConcurrentRequestsAreAnswered)
{
    constexpr std::size_t Endpoints = 4;
    constexpr std::size_t ConcurrentPerEndpoint = 2;
    std::array<HeldEndpoint, Endpoints> endpoints;
    std::vector<RegisteredEndpoint> registered;
    registered.reserve(Endpoints);
    for (HeldEndpoint &endpoint : endpoints) {
        registered.push_back({endpoint.address()});
        endpoint.hold();
    }
    publishView(registered);
    std::vector<std::shared_ptr<TestCaller>> concurrent;
    concurrent.reserve(Endpoints * ConcurrentPerEndpoint);
    for (std::size_t count = 0; count < Endpoints * ConcurrentPerEndpoint; ++count) {
        concurrent.push_back(send(m_path, within(read("item-" + std::to_string(count)), 60s)));
    }
    // A request that arrived after the crash and was answered would prove that the endpoint had not crashed.
    for (HeldEndpoint &endpoint : endpoints) {
        ASSERT_TRUE(endpoint.waitForRequests(ConcurrentPerEndpoint));
    }
    const auto crashingRequest = send(m_path, within(poison(), 60s));
    ASSERT_TRUE(m_control->waitForSuspect(1));
    for (HeldEndpoint &endpoint : endpoints) {
        endpoint.release();
    }
    EXPECT_NE(crashingRequest->outcome(), "answered");
    for (const auto &caller : concurrent) {
        EXPECT_EQ(caller->outcome(), "answered");
    }
    ASSERT_TRUE(m_control->waitForSuspect(2));
    EXPECT_EQ(send(m_path, poison())->outcome(), "not-run");
    std::size_t runs = 0;
    for (const HeldEndpoint &endpoint : endpoints) {
        runs += endpoint.poisonRequests();
    }
    EXPECT_EQ(runs, 2U);
}

} // namespace

} // namespace bergamot
