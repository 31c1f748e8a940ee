#include "bergamot/entry/data_path_test_fixture.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

/// An endpoint that holds what it gets until the test lets go, streams, and can die under a request.
class HeldEndpoint
{
public:
    HeldEndpoint()
        : m_server({.address = {"127.0.0.1", 0}}, [this](HttpRequest request, ResponderPtr responder) {
            take(std::move(request), std::move(responder));
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
        return m_changed.wait_for(lock, TestLimit, [&] {
            return m_bodies.size() >= count;
        });
    }

    bool waitForPath(const std::string &path)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, TestLimit, [&] {
            return std::find(m_paths.begin(), m_paths.end(), path) != m_paths.end();
        });
    }

    std::size_t requests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_bodies.size();
    }

    std::size_t poisoned() const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(std::count(m_bodies.begin(), m_bodies.end(), "poison"));
    }

    /// The stream of the newest generation, once it has begun.
    ResponderPtr stream()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, TestLimit, [this] {
            return m_stream != nullptr;
        });
        return m_stream;
    }

private:
    void take(HttpRequest request, ResponderPtr responder)
    {
        std::unique_lock lock(m_mutex);
        m_bodies.push_back(request.body);
        m_paths.push_back(request.path);
        std::vector<ResponderPtr> dying;
        if (request.path == "/generate") {
            responder->beginStream({});
            m_stream = responder;
        } else if (request.body == "poison") {
            dying = std::exchange(m_held, {});
            dying.push_back(responder);
        } else if (m_holding) {
            m_held.push_back(responder);
        } else {
            responder->reply({.body = "{}"});
        }
        m_changed.notify_all();
        lock.unlock();
        for (const ResponderPtr &each : dying) {
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
        std::shared_ptr<TestCaller> caller; // has received "one "
        ResponderPtr stream; // at the endpoint; null if it did not begin
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

TEST_F(DataPathStreams, LeavingEndpointEndsItsStreamAndGetsNothingNew)
{
    HeldEndpoint leaving;
    HeldEndpoint staying;
    show({{leaving.address()}});
    const auto [caller, stream] = openStream(leaving);
    ASSERT_TRUE(stream);
    show({{leaving.address(), true}, {staying.address()}});
    for (int count = 0; count < 10; ++count) {
        EXPECT_EQ(send(m_path, read("item-" + std::to_string(count)))->outcome(), "answered");
    }
    EXPECT_EQ(leaving.requests(), 1U);
    EXPECT_EQ(staying.requests(), 10U);
    stream->write("two");
    stream->endStream();
    EXPECT_EQ(caller->answer().body, "one two");
    EXPECT_TRUE(caller->whole());
}

TEST_F(DataPathStreams, BrokenStreamIsSeenAsBroken)
{
    HeldEndpoint endpoint;
    show({{endpoint.address()}});
    const auto [caller, stream] = openStream(endpoint);
    ASSERT_TRUE(stream);
    stream->abortStream();
    EXPECT_FALSE(caller->whole());
    EXPECT_EQ(endpoint.requests(), 1U);
}

TEST_F(DataPathStreams, CallerDisconnectedMidStreamCancelsTheGeneration)
{
    HeldEndpoint endpoint;
    show({{endpoint.address()}});
    const auto [caller, stream] = openStream(endpoint);
    ASSERT_TRUE(stream);
    caller->leave();
    stream->write("two ");
    EXPECT_TRUE(endpoint.waitForPath("/cancel"));
    stream->endStream();
    EXPECT_EQ(caller->answers(), 0);
}

TEST_F(DataPathStreams, DrainUnderLoadCutsNothingOff)
{
    constexpr std::size_t Early = 12;
    HeldEndpoint endpoint;
    HeldEndpoint second;
    show({{endpoint.address()}, {second.address()}});
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
    EXPECT_EQ(m_path.drained().wait_for(TestLimit), std::future_status::ready);
}

TEST_F(DataPathStreams, GuiltyRequestKillsTwoEndpointsAtMostAndInnocentsAreAnswered)
{
    constexpr std::size_t Endpoints = 4;
    constexpr std::size_t InnocentsOfEach = 2;
    std::array<HeldEndpoint, Endpoints> endpoints;
    std::vector<Listed> listed;
    listed.reserve(Endpoints);
    for (HeldEndpoint &endpoint : endpoints) {
        listed.push_back({endpoint.address()});
        endpoint.hold();
    }
    show(listed);
    std::vector<std::shared_ptr<TestCaller>> innocents;
    innocents.reserve(Endpoints * InnocentsOfEach);
    for (std::size_t count = 0; count < Endpoints * InnocentsOfEach; ++count) {
        innocents.push_back(send(m_path, within(read("item-" + std::to_string(count)), 60s)));
    }
    // One that arrived after the death and was answered would show that the endpoint had lived.
    for (HeldEndpoint &endpoint : endpoints) {
        ASSERT_TRUE(endpoint.waitForRequests(InnocentsOfEach));
    }
    const auto guilty = send(m_path, within(poison(), 60s));
    ASSERT_TRUE(m_control->waitForSuspect(1));
    for (HeldEndpoint &endpoint : endpoints) {
        endpoint.release();
    }
    EXPECT_NE(guilty->outcome(), "answered");
    for (const auto &caller : innocents) {
        EXPECT_EQ(caller->outcome(), "answered");
    }
    ASSERT_TRUE(m_control->waitForSuspect(2));
    EXPECT_EQ(send(m_path, poison())->outcome(), "not-run");
    std::size_t runs = 0;
    for (const HeldEndpoint &endpoint : endpoints) {
        runs += endpoint.poisoned();
    }
    EXPECT_EQ(runs, 2U);
}

} // namespace

} // namespace bergamot
