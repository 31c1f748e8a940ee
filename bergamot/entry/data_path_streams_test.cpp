#include "bergamot/entry/data_path_test_fixture.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

/// An endpoint that can hold requests until `release`, and streams generations. A request with the body "poison" breaks
/// its connection and those of the held requests, as a crash does.
class HeldEndpoint
{
public:
    HeldEndpoint()
        : m_server({.address = {"127.0.0.1", 0}}, [this](HttpRequest request, ResponderPtr responder) {
            handleRequest(std::move(request), std::move(responder));
        })
    {
        EXPECT_TRUE(m_server.start());
    }

    ~HeldEndpoint()
    {
        release();
        m_server.stop();
    }

    Address address() const
    {
        return m_server.address();
    }

    void hold()
    {
        const std::lock_guard lock(m_mutex);
        m_holding = true;
    }

    void release()
    {
        std::vector<ResponderPtr> held;
        {
            const std::lock_guard lock(m_mutex);
            m_holding = false;
            held = std::exchange(m_held, {});
        }
        for (const ResponderPtr &responder : held) {
            responder->reply({.body = "{}"});
        }
    }

    bool waitForRequests(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, TestTimeout, [&] {
            return m_bodies.size() >= count;
        });
    }

    bool waitForPath(const std::string &path)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, TestTimeout, [&] {
            return std::find(m_paths.begin(), m_paths.end(), path) != m_paths.end();
        });
    }

    std::size_t requests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_bodies.size();
    }

    std::size_t poisonRequests() const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(std::count(m_bodies.begin(), m_bodies.end(), "poison"));
    }

    /// Waits for a generation to begin and returns the newest one's stream.
    ResponderPtr stream()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, TestTimeout, [this] {
            return m_stream != nullptr;
        });
        return m_stream;
    }

private:
    void handleRequest(HttpRequest request, ResponderPtr responder)
    {
        std::unique_lock lock(m_mutex);
        m_bodies.push_back(request.body);
        m_paths.push_back(request.path);
        std::vector<ResponderPtr> broken;
        if (request.path == "/generate") {
            responder->beginStream({});
            m_stream = responder;
        } else if (request.body == "poison") {
            broken = std::exchange(m_held, {});
            broken.push_back(responder);
        } else if (m_holding) {
            m_held.push_back(responder);
        } else {
            responder->reply({.body = "{}"});
        }
        m_changed.notify_all();
        lock.unlock();
        for (const ResponderPtr &each : broken) {
            each->beginStream({});
            each->abortStream();
        }
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_holding = false;
    std::vector<std::string> m_bodies;
    std::vector<std::string> m_paths;
    std::vector<ResponderPtr> m_held;
    ResponderPtr m_stream;
    HttpServer m_server;
};

class DataPathStreams : public DataPathTest
{
protected:
    static HttpRequest generate()
    {
        return within({.method = "POST",
                       .path = "/v1/models/agent/generate",
                       .body = R"({"prompt":"quote","max_tokens":4,"stream":true})"},
                      60s);
    }

    struct OpenStream
    {
        std::shared_ptr<TestCaller> caller; // the caller, which has received "one "
        ResponderPtr stream; // the stream at the endpoint; null if it did not begin
    };

    OpenStream openStream(HeldEndpoint &endpoint)
    {
        OpenStream opened{send(m_path, generate()), endpoint.stream()};
        if (opened.stream) {
            opened.stream->write("one ");
            EXPECT_TRUE(opened.caller->waitForText("one "));
        }
        return opened;
    }

    static HttpRequest poison()
    {
        return {.method = "PUT", .path = "/v1/services/stock/stock/x", .body = "poison"};
    }
};

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

TEST_F(DataPathStreams, CallerDisconnectedMidStreamCancelsTheGeneration)
{
    HeldEndpoint endpoint;
    publishView({{endpoint.address()}});
    const auto [caller, stream] = openStream(endpoint);
    ASSERT_TRUE(stream);
    caller->disconnect();
    stream->write("two ");
    EXPECT_TRUE(endpoint.waitForPath("/cancel"));
    stream->endStream();
    EXPECT_EQ(caller->answerCount(), 0);
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
