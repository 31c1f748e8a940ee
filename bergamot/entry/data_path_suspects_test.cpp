// A request that crashes each endpoint which runs it, sent again through another instance of the domain, over real
// TCP: how many endpoints it runs on, counted at the endpoints.

#include "bergamot/entry/data_path_test_fixture.h"
#include "bergamot/routing/routing_view.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

/// An endpoint that dies under a request that contains "poison": the connection breaks without an answer.
class MortalEndpoint
{
public:
    MortalEndpoint()
        : m_server({.address = {"127.0.0.1", 0}}, [this](const HttpRequest &request, const ResponderPtr &responder) {
            if (request.body.find("poison") == std::string::npos) {
                responder->reply({.body = "{}"});
                return;
            }
            ++m_deaths;
            responder->beginStream({});
            responder->abortStream();
        })
    {
        EXPECT_TRUE(m_server.start());
    }

    ~MortalEndpoint()
    {
        m_server.stop();
    }

    Address address() const
    {
        return m_server.address();
    }

    std::size_t deaths() const
    {
        return m_deaths;
    }

private:
    std::atomic<std::size_t> m_deaths = 0;
    HttpServer m_server;
};

struct SuspectCase
{
    std::string name;
    std::string method; // of the guilty request
    std::vector<std::string> keys; // one for each time that the caller sends it; empty: without a key
    bool shares; // whether the domain passes suspects on
    std::size_t leastDeaths; // of endpoints, all times together
    std::size_t mostDeaths;
};

class SharedSuspects : public DataPathTest, public testing::WithParamInterface<SuspectCase>
{
protected:
    static constexpr std::size_t Endpoints = 6;

    HttpRequest guilty(const std::string &key) const
    {
        HttpRequest request{
            .method = GetParam().method, .path = "/v1/services/stock/confirm", .body = R"({"lot":"poison"})"};
        if (!key.empty()) {
            request.headers["Idempotency-Key"] = key;
        }
        return request;
    }

    /// Shows the endpoints, and the suspects that the instances have reported, to both instances.
    void showAll()
    {
        std::vector<SuspectReport> suspects = m_control->suspects();
        const std::vector<SuspectReport> others = m_otherControl->suspects();
        suspects.insert(suspects.end(), others.begin(), others.end());
        for (FakeControl *control : {m_control.get(), m_otherControl.get()}) {
            inner::ViewT view = viewOf(m_listed);
            view.suspects = toFrames(GetParam().shares ? suspects : std::vector<SuspectReport>());
            control->show(std::move(view));
            ASSERT_TRUE(control->waitUntilTaken());
        }
    }

    std::size_t deaths() const
    {
        std::size_t all = 0;
        for (const MortalEndpoint &endpoint : m_endpoints) {
            all += endpoint.deaths();
        }
        return all;
    }

    std::array<MortalEndpoint, Endpoints> m_endpoints;
    std::vector<Listed> m_listed;
    std::shared_ptr<FakeControl> m_otherControl = std::make_shared<FakeControl>(m_keys);
    DataPath m_otherPath{options("entry-2"), m_clock, m_otherControl, m_metrics};
};

TEST_P(SharedSuspects, BoundTheEndpointsThatOneRequestKills)
{
    for (const MortalEndpoint &endpoint : m_endpoints) {
        m_listed.push_back({endpoint.address()});
    }
    showAll();
    std::size_t sent = 0;
    for (const std::string &key : GetParam().keys) {
        DataPath &path = sent++ % 2 == 0 ? m_path : m_otherPath;
        EXPECT_NE(send(path, within(guilty(key), 10s))->answer().status, 200);
        ASSERT_TRUE(m_control->waitUntilTaken());
        ASSERT_TRUE(m_otherControl->waitUntilTaken());
        showAll();
    }
    EXPECT_GE(deaths(), GetParam().leastDeaths);
    EXPECT_LE(deaths(), GetParam().mostDeaths);
    EXPECT_EQ(send(m_otherPath, read())->outcome(), "answered") << "Others are served on.";
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
