#include "bergamot/samples/sample_service.h"

#include <future>

#include <gtest/gtest.h>

#include "bergamot/base/json.h"
#include "bergamot/config/configuration.h"
#include "bergamot/evidence/evidence_chain.h"
#include "bergamot/standins/fakes.h"

namespace bergamot
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using web::json::value;

constexpr const char *StepBody = R"({"groups":[{"prompt":"a prompt","samples":4,"max_tokens":10}]})";

class CapturingResponder final : public Responder
{
public:
    void reply(HttpResponse response) override
    {
        answer = std::move(response);
    }

    void beginStream(HttpResponse) override
    { }

    bool write(std::string_view) override
    {
        return false;
    }

    void endStream() override
    { }
    void abortStream() override
    { }

    std::optional<HttpResponse> answer;
};

/// A log that is unavailable: every append fails.
class UnavailableAppender final : public Appender
{
public:
    RecordId append(const std::string &, std::string, std::string, Callback<Offset> done) override
    {
        done(failure(ErrorCode::Unavailable, "the log is unavailable"));
        return {};
    }
};

class SampleServiceTest : public testing::Test
{
protected:
    SampleServiceTest()
        : m_time(m_clock)
        , m_engines(m_time)
        , m_evidence({.instance = "i1", .incarnation = 7}, m_loop, m_clock, m_appender)
    {
        EngineCoreOptions engine;
        engine.name = "e0";
        engine.model = ModelId("agent");
        m_engines.add(EngineAddress, engine);
        const ScoringClientFactory noScoring = [](const Address &) {
            return std::shared_ptr<ScoringService>();
        };
        m_service = std::make_unique<SampleService>(SampleServiceOptions{.instance = "i1", .incarnation = 7},
                                                    m_loop,
                                                    m_clock,
                                                    m_engines,
                                                    noScoring,
                                                    m_evidence,
                                                    m_metrics);
        onLoop([this] {
            m_service->onView(view());
        });
    }

    ~SampleServiceTest() override
    {
        onLoop([this] {
            m_service.reset();
        });
        m_loop.stop();
    }

    void onLoop(const std::function<void()> &task)
    {
        const auto done = std::make_shared<std::promise<void>>();
        m_loop.post([task, done] {
            task();
            done->set_value();
        });
        done->get_future().wait();
    }

    static inner::ViewT view()
    {
        Configuration configuration;
        configuration.version = 1;
        TrainerConfig trainer;
        trainer.trainer = TrainerId("quotes");
        trainer.model = ModelId("agent");
        configuration.trainers[trainer.trainer] = trainer;
        ModelConfig model;
        model.model = ModelId("agent");
        configuration.models[model.model] = model;
        inner::ViewT result;
        result.configuration = toJson(configuration).serialize();
        auto endpoint = std::make_unique<inner::EndpointT>();
        endpoint->id = "e0";
        endpoint->serves = "agent";
        endpoint->address = toString(EngineAddress);
        endpoint->reachable = true;
        endpoint->version = 1;
        endpoint->slots = 8;
        result.endpoints.push_back(std::move(endpoint));
        return result;
    }

    /// Sends a request and advances the clock until it is answered.
    HttpResponse call(const std::string &method, const std::string &path, const std::string &body = "")
    {
        const auto responder = std::make_shared<CapturingResponder>();
        onLoop([&] {
            m_service->handle({.method = method, .path = path, .query = {}, .headers = {}, .body = body}, responder);
        });
        for (int i = 0; i < 100 && !responder->answer; ++i) {
            m_time.advance(milliseconds(100));
            onLoop([this] {
                m_service->tick();
                m_evidence.tick();
            });
        }
        return responder->answer.value_or(HttpResponse{.status = 0, .headers = {}, .body = {}});
    }

    inline static const Address EngineAddress{"127.0.0.1", 100};

    ManualClock m_clock;
    FakeTime m_time;
    FakeEngines m_engines;
    UnavailableAppender m_appender;
    Metrics m_metrics;
    EventLoop m_loop;
    EvidenceChain m_evidence;
    std::unique_ptr<SampleService> m_service;
};

TEST_F(SampleServiceTest, aStepIsSubmittedAndDrawnWhileTheLogIsUnavailable)
{
    ASSERT_EQ(call("PUT", "/v1/trainers/quotes/steps/1", StepBody).status, 200);
    std::set<std::string> samples;
    std::string cursor;
    bool done = false;
    for (int draws = 0; draws < 10 && !done; ++draws) {
        const HttpResponse drawn = call("POST",
                                        "/v1/trainers/quotes/steps/1/draw",
                                        R"({"weights":1,"max":3,"wait_ms":5000,"cursor":")" + cursor + "\"}");
        ASSERT_EQ(drawn.status, 200) << drawn.body;
        const value body = *parseJson(drawn.body);
        for (const value &sample : body.at("samples").as_array()) {
            EXPECT_TRUE(samples.insert(sample.at("group").serialize() + "/" + sample.at("index").serialize()).second);
            EXPECT_EQ(sample.at("spans").at(0).at("version").as_integer(), 1);
            EXPECT_TRUE(sample.at("receipt").as_string().starts_with("i1/7/"));
        }
        cursor = body.at("cursor").as_string();
        done = body.at("done").as_bool();
    }
    EXPECT_TRUE(done);
    EXPECT_EQ(samples.size(), 4U);
    EXPECT_GT(m_evidence.pending(), 0U) << "kept until the log is available again";
}

struct RequestCase
{
    std::string method;
    std::string path;
    std::string body;
    int status;
};

class TrainerRequest : public SampleServiceTest, public testing::WithParamInterface<RequestCase>
{ };

TEST_P(TrainerRequest, returnsTheExpectedStatus)
{
    ASSERT_EQ(call("PUT", "/v1/trainers/quotes/steps/1", StepBody).status, 200);
    const HttpResponse answer = call(GetParam().method, GetParam().path, GetParam().body);
    EXPECT_EQ(answer.status, GetParam().status) << GetParam().method << " " << GetParam().path << answer.body;
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    TrainerRequest,
    testing::Values(
        RequestCase{"PUT", "/v1/trainers/quotes/steps/1", StepBody, 200},
        RequestCase{
            "PUT", "/v1/trainers/quotes/steps/1", R"({"groups":[{"prompt":"b","samples":1,"max_tokens":1}]})", 409},
        RequestCase{"PUT", "/v1/trainers/quotes/steps/2", "{}", 400},
        RequestCase{"PUT", "/v1/trainers/quotes/steps/2", "no json", 400},
        RequestCase{
            "PUT", "/v1/trainers/quotes/steps/2", R"({"groups":[{"prompt":"b","samples":0,"max_tokens":1}]})", 400},
        RequestCase{"PUT", "/v1/trainers/quotes/steps/x", StepBody, 400},
        RequestCase{"PUT", "/v1/trainers/unknown/steps/1", StepBody, 404},
        RequestCase{"POST", "/v1/trainers/quotes/steps/9/draw", "{}", 404},
        RequestCase{"POST", "/v1/trainers/quotes/steps/1/draw", R"({"cursor":"malformed"})", 400},
        RequestCase{"POST", "/v1/trainers/quotes/steps/1/draw", R"({"max":0})", 400},
        RequestCase{"POST", "/v1/trainers/quotes/steps/1/draw", "{}", 200},
        RequestCase{"GET", "/v1/trainers/quotes", "", 200},
        RequestCase{"DELETE", "/v1/trainers/quotes/steps/1", "", 200},
        RequestCase{"GET", "/v1/trainers", "", 404},
        RequestCase{"GET", "/elsewhere", "", 404}));

} // namespace
} // namespace bergamot
