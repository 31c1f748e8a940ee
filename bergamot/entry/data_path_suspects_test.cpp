// A request that crashes every endpoint that runs it is sent repeatedly through two instances of a domain, over real
// TCP. The tests bound the number of endpoints that it crashes, counted at the endpoints.

#include "bergamot/entry/data_path_test_fixture.h"
#include "bergamot/routing/routing_view.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

/// An endpoint that simulates a crash on a request that contains "poison": the connection breaks without a complete
/// answer.
class CrashingEndpoint
{
public:
    CrashingEndpoint()
        : m_server({.address = {"127.0.0.1", 0}}, [this](const HttpRequest &request, const ResponderPtr &responder) {
            if (request.body.find("poison") == std::string::npos) {
                responder->reply({.body = "{}"});
                return;
            }
            ++m_crashes;
            responder->beginStream({});
            responder->abortStream();
        })
    {
        EXPECT_TRUE(m_server.start());
    }

    ~CrashingEndpoint()
    {
        m_server.stop();
    }

    Address address() const
    {
        return m_server.address();
    }

    std::size_t crashes() const
    {
        return m_crashes;
    }

private:
    std::atomic<std::size_t> m_crashes = 0;
    HttpServer m_server;
};

struct SuspectCase
{
    std::string name;
    std::string method; // method of the crashing request
    std::vector<std::string> keys; // idempotency key of each time that the caller sends the request; empty: no key
    bool shares; // whether the instances of the domain share suspects
    std::size_t minCrashes; // minimum number of crashes over all times
    std::size_t maxCrashes; // maximum number of crashes over all times
};

class SharedSuspects : public DataPathTest, public testing::WithParamInterface<SuspectCase>
{
protected:
    static constexpr std::size_t Endpoints = 6;

    HttpRequest crashingRequest(const std::string &key) const
    {
        HttpRequest request{
            .method = GetParam().method, .path = "/v1/services/stock/confirm", .body = R"({"lot":"poison"})"};
        if (!key.empty()) {
            request.headers["Idempotency-Key"] = key;
        }
        return request;
    }

    /// Publishes to both instances a view with the endpoints and, if they are shared, the suspects that either
    /// reported.
    void publishAll()
    {
        std::vector<SuspectReport> suspects = m_control->suspects();
        const std::vector<SuspectReport> others = m_otherControl->suspects();
        suspects.insert(suspects.end(), others.begin(), others.end());
        for (FakeControl *control : {m_control.get(), m_otherControl.get()}) {
            inner::ViewT view = viewOf(m_registered);
            view.suspects = toFrames(GetParam().shares ? suspects : std::vector<SuspectReport>());
            control->setView(std::move(view));
            ASSERT_TRUE(control->waitUntilViewApplied());
        }
    }

    std::size_t crashes() const
    {
        std::size_t all = 0;
        for (const CrashingEndpoint &endpoint : m_endpoints) {
            all += endpoint.crashes();
        }
        return all;
    }

    std::array<CrashingEndpoint, Endpoints> m_endpoints;
    std::vector<RegisteredEndpoint> m_registered;
    std::shared_ptr<FakeControl> m_otherControl = std::make_shared<FakeControl>(m_keys);
    DataPath m_otherPath{options("entry-2"), m_clock, m_otherControl, m_metrics};
};

TEST_P(SharedSuspects, BoundTheEndpointsThatOneRequestCrashes)
{
    for (const CrashingEndpoint &endpoint : m_endpoints) {
        m_registered.push_back({endpoint.address()});
    }
    publishAll();
    std::size_t sent = 0;
    for (const std::string &key : GetParam().keys) {
        DataPath &path = sent++ % 2 == 0 ? m_path : m_otherPath;
        EXPECT_NE(send(path, within(crashingRequest(key), 10s))->answer().status, 200);
        ASSERT_TRUE(m_control->waitUntilViewApplied());
        ASSERT_TRUE(m_otherControl->waitUntilViewApplied());
        publishAll();
    }
    EXPECT_GE(crashes(), GetParam().minCrashes);
    EXPECT_LE(crashes(), GetParam().maxCrashes);
    EXPECT_EQ(send(m_otherPath, read())->outcome(), "answered") << "Other requests are still answered.";
}

const std::vector<std::string> NoKey(6);
const std::vector<std::string> OneKey(6, "key-1");
const std::vector<std::string> NewKeys{"key-1", "key-2", "key-3", "key-4", "key-5", "key-6"};

INSTANTIATE_TEST_SUITE_P(Table,
                         SharedSuspects,
                         testing::Values(SuspectCase{"RepeatableWithoutKey", "PUT", NoKey, true, 2, 2},
                                         SuspectCase{"OnceOnlyWithoutKey", "POST", NoKey, true, 2, 2},
                                         SuspectCase{"OneKey", "POST", OneKey, true, 1, 1},
                                         SuspectCase{"NewKeys", "POST", NewKeys, true, 2, 2},
                                         SuspectCase{"NotShared", "PUT", NoKey, false, 3, 4}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

} // namespace

} // namespace bergamot
