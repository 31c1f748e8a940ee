#include "bergamot/load/caller.h"

#include <future>

#include <gtest/gtest.h>

#include "bergamot/http/server.h"
#include "bergamot/standins/service_core.h"

namespace bergamot
{
namespace
{

constexpr std::chrono::seconds Patience{20};
constexpr std::uint64_t EnoughRequests = 5;

/// Answers stock reads and tells when some have come.
class StockServer
{
public:
    explicit StockServer(bool isRight)
        : m_server({.address = {"127.0.0.1", 0}},
                   [this, isRight](const HttpRequest &request, const ResponderPtr &responder) {
                       const std::string name = request.path.substr(request.path.rfind('/') + 1);
                       web::json::value body = web::json::value::object();
                       body["name"] = web::json::value(isRight ? name : "another");
                       body["quantity"] = web::json::value(servedQuantity(name));
                       responder->reply({.body = body.serialize()});
                       count();
                   })
    { }

    Address start()
    {
        EXPECT_TRUE(m_server.start());
        return m_server.address();
    }

    bool waitForRequests()
    {
        std::unique_lock lock(m_mutex);
        return m_came.wait_for(lock, Patience, [this] {
            return m_requests >= EnoughRequests;
        });
    }

private:
    void count()
    {
        const std::lock_guard lock(m_mutex);
        ++m_requests;
        m_came.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_came;
    std::uint64_t m_requests = 0;
    HttpServer m_server;
};

/// Ends once every timer that was set before has run.
void runTimers(EventLoop &loop, Duration span)
{
    const auto ran = std::make_shared<std::promise<void>>();
    loop.postAfter(span, [ran] {
        ran->set_value();
    });
    ran->get_future().wait();
}

class Callers : public testing::TestWithParam<bool>
{ };

TEST_P(Callers, judgeEachAnswerAndMayBeDestroyedOnceIdle)
{
    StockServer server(GetParam());
    Scenario scenario;
    scenario.entries = {server.start()};
    HttpClient client;
    EventLoop loop;
    PromiseLedger ledger;
    Measures measures;
    PublishedVersions versions;
    const RunContext context{scenario, client, loop, ledger, measures, versions};
    {
        CallerGroup group(
            context, {.tenant = "t", .requestClass = "interactive", .target = "s", .ratePerSecond = 200}, 0);
        group.start();
        EXPECT_TRUE(server.waitForRequests());
        group.stop();
        EXPECT_TRUE(group.waitUntilIdle(Patience));
    }
    // The next arrival was already scheduled when the group stopped.
    runTimers(loop, std::chrono::milliseconds(100));
    const PromiseCounts counts = ledger.counts(Promise::OwnAnswer);
    EXPECT_GE(counts.checks, EnoughRequests);
    EXPECT_EQ(counts.violations, GetParam() ? 0U : counts.checks);
}

INSTANTIATE_TEST_SUITE_P(RightAndWrongAnswers, Callers, testing::Bool());

} // namespace
} // namespace bergamot
