// The stand-in as callers and checks see it over HTTP.

#include "bergamot/standins/standin.h"

#include <future>

#include <gtest/gtest.h>

#include "bergamot/base/json.h"
#include "bergamot/platform/platform_json.h"
#include "bergamot/standins/generated_text.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::seconds Patience{20};
constexpr std::chrono::milliseconds Impatience{150};

class StandinTest : public testing::Test
{
protected:
    StandinTest()
        : m_standin(options())
    { }

    void SetUp() override
    {
        ASSERT_TRUE(m_standin.start());
    }

    static StandinOptions options()
    {
        const Address any{"127.0.0.1", 0};
        StandinOptions result;
        result.list = any;
        result.listLag = Duration::zero();
        result.engines = {{any, "e1", FailureDomainId("a")}};
        result.engineOptions.model = ModelId("m");
        result.engineOptions.tokenTime = 1ms;
        result.engineOptions.loadLag = 1ms;
        result.services = {{any, "s1", FailureDomainId("b")}};
        result.serviceOptions.serviceTime = 1ms;
        result.service = "stock";
        return result;
    }

    CallOutcome call(const Address &to, const HttpRequest &request, std::chrono::milliseconds timeout = Patience)
    {
        std::promise<CallOutcome> outcome;
        m_client.call(to, request, {.timeout = timeout, .repeatable = false}, [&outcome](CallOutcome result) {
            outcome.set_value(std::move(result));
        });
        return outcome.get_future().get();
    }

    CallOutcome post(const Address &to, const std::string &path, const std::string &body)
    {
        return call(to, {.method = "POST", .path = path, .body = body});
    }

    web::json::value get(const Address &to, const std::string &path)
    {
        const CallOutcome outcome = call(to, {.path = path});
        return outcome ? parseJson(outcome->body).value_or(web::json::value()) : web::json::value();
    }

    /// Asks until the answer `isIt`; false if that takes longer than a test may wait.
    bool ask(const Address &to, const std::string &path, const std::function<bool(const web::json::value &)> &isIt)
    {
        const TimePoint limit = BootClock::now() + Patience;
        while (BootClock::now() < limit) {
            if (isIt(get(to, path))) {
                return true;
            }
        }
        return false;
    }

    Standin m_standin;
    HttpClient m_client;
};

TEST_F(StandinTest, registersItsEndpointsInTheList)
{
    EXPECT_TRUE(ask(m_standin.listAddress(), "/instances", [&](const web::json::value &answer) {
        const Result<std::vector<ListedMember>> members = parseMembers(answer, "answer");
        return members && members->size() == 2 && members->front().address == m_standin.engineAddress(0)
            && members->back().address == m_standin.serviceAddress(0) && members->back().serves == "stock";
    }));
}

TEST_F(StandinTest, countsRunsWhereChecksCanReadThem)
{
    const Address service = m_standin.serviceAddress(0);
    ASSERT_TRUE(post(service, "/confirm", R"({"lot":"7"})"));
    ASSERT_TRUE(post(service, "/confirm", R"({"lot":"7"})"));
    ASSERT_TRUE(post(service, "/faults", R"({"fault":"refuse"})"));
    EXPECT_EQ(post(service, "/confirm", R"({"lot":"8"})")->status, 503);
    const web::json::value runs = get(service, "/runs");
    EXPECT_EQ(runs.serialize(), R"({"leaving":false,"runs":{"POST /confirm 7":2},"total":2})");
}

TEST_F(StandinTest, tellsThatItIsLeaving)
{
    const Address service = m_standin.serviceAddress(0);
    EXPECT_EQ(headerOr(call(service, {.path = "/stock/a"})->headers, "X-Leaving", "no"), "no");
    ASSERT_TRUE(post(service, "/faults", R"({"fault":"leave"})"));
    EXPECT_EQ(headerOr(call(service, {.path = "/stock/a"})->headers, "X-Leaving", "no"), "true");
    EXPECT_TRUE(get(service, "/runs").has_number_field("last_after_leaving_ms"));
    ASSERT_TRUE(post(m_standin.engineAddress(0), "/faults", R"({"fault":"leave"})"));
    EXPECT_TRUE(parseEngineState(get(m_standin.engineAddress(0), "/state"), "state")->leaving);
}

TEST_F(StandinTest, servicesReportTheirLoad)
{
    const Result<ServiceState> state = parseServiceState(get(m_standin.serviceAddress(0), "/healthz"), "answer");
    ASSERT_TRUE(state);
    EXPECT_EQ(state->slots, ServiceCoreOptions().workers);
    EXPECT_FALSE(state->leaving);
    ASSERT_TRUE(post(m_standin.serviceAddress(0), "/faults", R"({"fault":"leave"})"));
    EXPECT_TRUE(parseServiceState(get(m_standin.serviceAddress(0), "/healthz"), "answer")->leaving);
}

struct ServiceFaultCase
{
    std::string fault;
    std::optional<Delivery> failure; // none: answered
    bool timedOut;
};

TEST_F(StandinTest, breaksAnswersOfTheServiceAsTold)
{
    const Address service = m_standin.serviceAddress(0);
    for (const ServiceFaultCase &test : {ServiceFaultCase{"clear", std::nullopt, false},
                                         {"half", Delivery::MaybeRan, false},
                                         {"close", Delivery::MaybeRan, false},
                                         {"silent", Delivery::MaybeRan, true}}) {
        ASSERT_EQ(post(service, "/faults", R"({"fault":")" + test.fault + R"("})")->status, 200);
        const CallOutcome outcome = call(service, {.path = "/stock/a"}, test.timedOut ? Impatience : Patience);
        ASSERT_EQ(outcome.has_value(), !test.failure) << test.fault;
        if (!outcome) {
            EXPECT_EQ(outcome.error().delivery, test.failure) << test.fault;
            EXPECT_EQ(outcome.error().timedOut, test.timedOut) << test.fault;
        }
    }
    EXPECT_EQ(get(service, "/runs").at("total").as_integer(), 4) << "each of them ran";
}

TEST_F(StandinTest, answersBadInputWithTheField)
{
    const Address engine = m_standin.engineAddress(0);
    const Address list = m_standin.listAddress();
    for (const auto &[to, path, body, named] : {std::tuple(engine, "/faults", "{}", "body.fault"),
                                                {engine, "/faults", R"({"fault":"melt"})", "melt"},
                                                {engine, "/faults", "{", "JSON"},
                                                {engine, "/generate", R"({"model":"m"})", "body.request_id"},
                                                {engine, "/order", R"({"role":"king"})", "body.role"},
                                                {list, "/instances/register", R"({"member":{}})", "body.member.id"},
                                                {list, "/instances/state", R"({"id":"e1"})", "body.state"}}) {
        const CallOutcome outcome = post(to, path, body);
        ASSERT_TRUE(outcome);
        EXPECT_EQ(outcome->status, 400) << body;
        EXPECT_NE(outcome->body.find(named), std::string::npos) << outcome->body;
    }
    EXPECT_EQ(call(engine, {.path = "/nothing"})->status, 404);
}

/// A streamed generation, as its caller receives it.
struct Stream
{
    std::mutex mutex;
    std::string text;
    std::size_t linesWanted; // the caller goes once it has them; 0: never
    std::promise<CallOutcome> done;

    bool receive(std::string_view chunk)
    {
        const std::lock_guard lock(mutex);
        text.append(chunk);
        const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
        return linesWanted == 0 || lines < linesWanted;
    }
};

std::shared_ptr<Stream>
startStream(HttpClient &client, const Address &engine, const std::string &body, std::size_t want)
{
    auto stream = std::make_shared<Stream>();
    stream->linesWanted = want;
    client.callStreaming(engine,
                         {.method = "POST", .path = "/generate", .body = body},
                         {.timeout = Patience, .repeatable = false},
                         {.head = [](const HttpResponse &) {},
                          .chunk =
                              [stream](std::string_view chunk) {
                                  return stream->receive(chunk);
                              }},
                         [stream](CallOutcome outcome) {
                             stream->done.set_value(std::move(outcome));
                         });
    return stream;
}

TEST_F(StandinTest, streamsALineForEachToken)
{
    const auto stream = startStream(m_client,
                                    m_standin.engineAddress(0),
                                    R"({"request_id":"1","model":"m","prompt":"p","max_tokens":3,"stream":true})",
                                    0);
    ASSERT_TRUE(stream->done.get_future().get());
    web::json::value line = web::json::value::object();
    line["text"] = web::json::value(generatedToken("p", 1));
    line["version"] = web::json::value(1);
    std::string expected;
    for (int i = 0; i < 3; ++i) {
        expected += line.serialize() + "\n";
    }
    expected += R"({"finish":"length","spans":[{"tokens":3,"version":1}]})";
    EXPECT_EQ(stream->text, expected + "\n");
}

TEST_F(StandinTest, cancelsAStreamWhoseCallerHasGone)
{
    const auto stream = startStream(m_client,
                                    m_standin.engineAddress(0),
                                    R"({"request_id":"1","model":"m","prompt":"p","max_tokens":1000000,"stream":true})",
                                    2);
    EXPECT_FALSE(stream->done.get_future().get());
    EXPECT_TRUE(ask(m_standin.engineAddress(0), "/state", [](const web::json::value &answer) {
        const Result<EngineState> state = parseEngineState(answer, "state");
        return state && state->running == 0;
    }));
}

TEST_F(StandinTest, refusesToStartOnAPortThatIsTaken)
{
    StandinOptions second;
    second.log = Address{"127.0.0.1", 0};
    second.list = m_standin.listAddress();
    Standin another(second);
    const Result<void> started = another.start();
    ASSERT_FALSE(started);
    EXPECT_NE(started.error().message.find(toString(m_standin.listAddress())), std::string::npos);
}

} // namespace
} // namespace bergamot
