#include "bergamot/intents/intent_service.h"

#include <future>

#include <gtest/gtest.h>

#include "bergamot/base/json.h"
#include "bergamot/http/captured_responder.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;
using web::json::value;

class JsonResponder final : public CapturedResponder
{
public:
    value body() const
    {
        return answer ? *parseJson(answer->body) : value::null();
    }
};

using Reply = std::shared_ptr<JsonResponder>;

/// Holds appends until the test decides what the log does with them.
class HeldAppender final : public Appender
{
public:
    struct Held
    {
        Record record;
        Callback<Offset> done;
    };

    RecordId append(const std::string &, std::string kind, std::string payload, Callback<Offset> done) override
    {
        RecordId id{"w", 1, ++m_sequence};
        held.push_back({{id, std::move(kind), std::move(payload)}, std::move(done)});
        return id;
    }

    std::deque<Held> held;

private:
    std::uint64_t m_sequence = 0;
};

class IntentServiceTest : public testing::Test
{
public:
    Reply send(const std::string &method, const std::string &path, const std::string &body = "")
    {
        HttpRequest request;
        request.method = method;
        request.path = path;
        request.body = body;
        auto reply = std::make_shared<JsonResponder>();
        service.handle(request, reply);
        return reply;
    }

    Reply post(const std::string &id, const std::string &set = R"({"models":{"m":{}}})")
    {
        return send("POST", "/v1/intents", R"({"id":")" + id + R"(","operator":"op","set":)" + set + "}");
    }

    Reply confirm(const std::string &id)
    {
        return send("POST", "/v1/plans/plan-" + id + "/confirm", R"({"operator":"op"})");
    }

    /// The log takes the oldest held record and the fold reads it.
    void land()
    {
        fold.apply({fold.applied() + 1, appender.held.front().record});
        appender.held.pop_front();
        service.onApplied();
    }

    /// The oldest append ends with `error`; returns once the service has heard of it.
    void fail(ErrorCode error)
    {
        appender.held.front().done(failure(error, "out"));
        appender.held.pop_front();
        std::promise<void> heard;
        loop.post([&heard] {
            heard.set_value();
        });
        heard.get_future().wait();
    }

    ManualClock clock;
    HeldAppender appender;
    ConfigurationFold fold;
    bool caughtUp = true;
    std::vector<InstanceVersion> instances{{InstanceId("one"), 1}, {InstanceId("two"), 0}};
    EventLoop loop;
    IntentService service{{},
                          loop,
                          clock,
                          appender,
                          fold,
                          {[this] {
                               return instances;
                           },
                           [] {
                               return FleetSnapshot{};
                           },
                           [this] {
                               return caughtUp;
                           }}};
};

TEST_F(IntentServiceTest, answersAPlanThenItsConfirmation)
{
    const Reply plan = post("a");
    EXPECT_FALSE(plan->answer);
    land();
    EXPECT_EQ(plan->answer->status, 200);
    EXPECT_EQ(plan->body().at("plan").as_string(), "plan-a");
    EXPECT_EQ(plan->body().at("state").as_string(), "planned");
    EXPECT_EQ(plan->body().at("changes").size(), 1U);
    const Reply confirmed = confirm("a");
    land();
    EXPECT_EQ(confirmed->body().at("version").as_integer(), 1);
    EXPECT_EQ(confirmed->body().at("in_force").as_integer(), 1);
    EXPECT_EQ(confirmed->body().at("missing").at(0).at("instance").as_string(), "two");
    EXPECT_EQ(send("GET", "/v1/status")->body().at("of").as_integer(), 2);
    EXPECT_EQ(send("GET", "/v1/history")->body().at("plans").size(), 1U);
    EXPECT_GE(send("GET", "/v1/explain/plan/plan-a")->body().at("explanation").size(), 3U);
}

TEST_F(IntentServiceTest, answersTheSameIdWithTheSameAnswer)
{
    const Reply first = post("a");
    const Reply second = post("a");
    EXPECT_EQ(appender.held.size(), 1U);
    land();
    EXPECT_EQ(first->answer->body, second->answer->body);
    EXPECT_EQ(post("a")->answer->body, first->answer->body);
    EXPECT_EQ(post("a", R"({"models":{"other":{}}})")->answer->status, 409);
}

TEST_F(IntentServiceTest, namesTheOtherIntentToBothWhenConfirmationsCollide)
{
    post("a");
    land();
    post("b");
    land();
    const Reply a = confirm("a");
    const Reply b = confirm("b");
    land();
    land();
    EXPECT_EQ(a->answer->status, 200);
    EXPECT_EQ(a->body().at("superseded").at(0).as_string(), "b");
    EXPECT_EQ(b->answer->status, 409);
    EXPECT_EQ(b->body().at("superseded_by").as_string(), "a");
    EXPECT_EQ(confirm("a")->body().at("collisions").at(0).as_string(), "b");
    EXPECT_EQ(confirm("b")->body().at("collisions").at(0).as_string(), "a");
}

struct LogFault
{
    ErrorCode error;
    bool lands; // after the answer was lost
    int status;
    std::string says;
};

class FaultDuringAsk : public IntentServiceTest, public testing::WithParamInterface<LogFault>
{ };

TEST_P(FaultDuringAsk, tellsTheOperatorWhatIsProved)
{
    for (const bool confirmation : {false, true}) {
        const Reply reply = confirmation ? confirm("a") : post("a");
        const Record record = appender.held.front().record;
        fail(GetParam().error);
        ASSERT_TRUE(reply->answer);
        EXPECT_EQ(reply->answer->status, GetParam().status);
        EXPECT_NE(reply->body().at("message").as_string().find(GetParam().says), std::string::npos);
        EXPECT_EQ(reply->answer->headers.contains("Retry-After"), GetParam().status == 503);
        if (GetParam().lands) {
            fold.apply({fold.applied() + 1, record});
            service.onApplied();
        }
        const Reply again = confirmation ? confirm("a") : post("a");
        if (!GetParam().lands) {
            land();
        }
        EXPECT_TRUE(appender.held.empty());
        EXPECT_EQ(again->answer->status, 200);
    }
    EXPECT_EQ(fold.configuration().version, 1U);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         FaultDuringAsk,
                         testing::Values(LogFault{ErrorCode::Unavailable, false, 503, "not accepted"},
                                         LogFault{ErrorCode::Overloaded, false, 503, "not accepted"},
                                         LogFault{ErrorCode::Unknown, false, 502, "ask again with the same id"},
                                         LogFault{ErrorCode::Unknown, true, 502, "ask again with the same id"}));

TEST_F(IntentServiceTest, plansAnIntentOfTheCutOffSideAgainstTheOtherSidesVersionAfterTheCut)
{
    const Reply cutOff = post("here");
    fail(ErrorCode::Unavailable);
    EXPECT_EQ(cutOff->answer->status, 503);
    const Result<Intent> other =
        parseIntent(*parseJson(R"({"id":"there","operator":"op","set":{"models":{"m":{"version":4}}}})"));
    fold.apply({1, {{"other", 1, 1}, "intent", intentPayload(*other, 0, value::object(), {})}});
    fold.apply({2, {{"other", 1, 2}, "confirm", confirmPayload(PlanId("plan-there"), "op")}});
    service.onApplied();
    const Reply again = post("here", R"({"models":{"n":{}}})");
    land();
    EXPECT_EQ(again->body().at("base_version").as_integer(), 1);
    EXPECT_EQ(again->body().at("state").as_string(), "planned");
    EXPECT_EQ(fold.configuration().models.at(ModelId("m")).version, 4U);
}

TEST_F(IntentServiceTest, answersUnknownWhenTheFoldIsNotSeenToAdvance)
{
    const Reply reply = post("a");
    clock.advance(4999ms);
    service.tick();
    EXPECT_FALSE(reply->answer);
    clock.advance(1ms);
    service.tick();
    EXPECT_EQ(reply->answer->status, 502);
    const Reply again = post("a");
    land();
    EXPECT_EQ(again->answer->status, 200);
    land(); // the second copy of the intent, under another record id
    EXPECT_EQ(fold.plans().size(), 1U);
}

TEST_F(IntentServiceTest, acceptsNothingUntilItHasTheNewestConfiguration)
{
    caughtUp = false;
    EXPECT_EQ(post("a")->answer->status, 503);
    const Reply early = confirm("a");
    clock.advance(2s);
    service.tick();
    EXPECT_EQ(early->answer->status, 503);
    EXPECT_TRUE(appender.held.empty());
}

TEST_F(IntentServiceTest, waitsAMomentForAPlanThatWasMadeThroughAnotherInstance)
{
    const Reply unknown = confirm("z");
    const Reply early = confirm("a");
    const Result<Intent> intent = parseIntent(*parseJson(R"({"id":"a","operator":"op"})"));
    fold.apply({1, {{"other", 1, 1}, "intent", intentPayload(*intent, 0, value::object(), {})}});
    service.onApplied();
    EXPECT_FALSE(early->answer);
    land();
    EXPECT_EQ(early->answer->status, 200);
    clock.advance(2s);
    service.tick();
    EXPECT_EQ(unknown->answer->status, 404);
}

TEST_F(IntentServiceTest, refusesWhatDoesNotFitWithoutAskingTheLog)
{
    EXPECT_EQ(post("a", R"({"trainers":{"t":{"model":"none"}}})")->answer->status, 409);
    EXPECT_EQ(post("a", R"({"models":{"m":{"versoin":1}}})")->answer->status, 400);
    EXPECT_EQ(send("DELETE", "/v1/intents")->answer->status, 404);
    EXPECT_TRUE(appender.held.empty());
}

} // namespace
} // namespace bergamot
