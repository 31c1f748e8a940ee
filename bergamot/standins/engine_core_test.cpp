#include "bergamot/standins/engine_core.h"

#include <gtest/gtest.h>

#include "bergamot/standins/generated_text.h"
#include "bergamot/standins/weight_store_core.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

const TimePoint Start{1h};
const ModelId Model{"order-agent"};

EngineCoreOptions options(std::uint32_t slots = 2)
{
    EngineCoreOptions result;
    result.name = "e1";
    result.model = Model;
    result.slots = slots;
    result.tokenTime = 10ms;
    result.prefillTokenTime = 1ms;
    result.fetchTime = 50ms;
    result.swapTime = 20ms;
    result.restartTime = 1s;
    result.loadLag = 500ms;
    return result;
}

GenerateRequest request(const std::string &id, std::uint32_t tokens, std::uint32_t priority = 0)
{
    return {id, Model, "p", tokens, priority, ""};
}

std::vector<EngineEvent> ended(EngineCore &engine)
{
    std::vector<EngineEvent> events = engine.takeEvents();
    std::erase_if(events, [](const EngineEvent &event) {
        return event.kind == EngineEvent::Kind::Token;
    });
    return events;
}

std::vector<std::string> idsOf(const std::vector<EngineEvent> &events)
{
    std::vector<std::string> ids;
    ids.reserve(events.size());
    for (const EngineEvent &event : events) {
        ids.push_back(event.requestId);
    }
    return ids;
}

TEST(EngineCore, decodesAtItsRateAfterThePrefill)
{
    EngineCore engine(options());
    ASSERT_TRUE(engine.submit(request("1", 3), Start).result);
    engine.advance(Start + 30ms); // one prompt token of 1 ms comes first
    EXPECT_TRUE(ended(engine).empty());
    engine.advance(Start + 31ms);
    const std::vector<EngineEvent> events = ended(engine);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].generation.spans, (std::vector<TokenSpan>{{1, 3}}));
    EXPECT_EQ(events[0].generation.text, generatedText("p", {{1, 3}}));
    EXPECT_EQ(events[0].generation.finish, "length");
}

TEST(EngineCore, givesTheSameEventsInOneStepOrMany)
{
    EngineCore once(options());
    EngineCore often(options());
    std::vector<std::string> expected;
    std::vector<std::string> seen;
    for (int i = 0; i < 6; ++i) {
        ASSERT_TRUE(once.submit(request(std::to_string(i), 2 + i), Start).result);
        ASSERT_TRUE(often.submit(request(std::to_string(i), 2 + i), Start).result);
    }
    once.advance(Start + 1s);
    for (Duration passed = 0ms; passed <= 1s; passed += 3ms) {
        often.advance(Start + passed);
    }
    EXPECT_EQ(idsOf(once.takeEvents()), idsOf(often.takeEvents()));
}

TEST(EngineCore, admitsTheMostUrgentFirst)
{
    EngineCore engine(options(1));
    ASSERT_TRUE(engine.submit(request("running", 1, 9), Start).result);
    ASSERT_TRUE(engine.submit(request("batch", 1, 2), Start).result);
    ASSERT_TRUE(engine.submit(request("urgent", 1, 0), Start).result);
    ASSERT_TRUE(engine.submit(request("batch-2", 1, 2), Start).result);
    engine.advance(Start + 1s);
    EXPECT_EQ(idsOf(ended(engine)), (std::vector<std::string>{"running", "urgent", "batch", "batch-2"}));
}

TEST(EngineCore, labelsEachSpanWithItsOwnVersionAcrossASwap)
{
    EngineCore engine(options());
    ASSERT_TRUE(engine.submit(request("1", 20), Start).result);
    ASSERT_TRUE(engine.order({1, Model, 2, EngineRole::Serving}, Start).result);
    engine.advance(Start + 60ms);
    EXPECT_EQ(engine.version(), 1U);
    EXPECT_EQ(engine.state(Start + 60ms).result.value().loading, 2U);
    engine.advance(Start + 70ms);
    EXPECT_EQ(engine.version(), 2U);
    engine.advance(Start + 220ms);
    EXPECT_TRUE(ended(engine).empty()) << "the swap pauses decoding for 20 ms";
    engine.advance(Start + 221ms);
    const std::vector<EngineEvent> events = ended(engine);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].generation.spans, (std::vector<TokenSpan>{{1, 4}, {2, 16}}));
    EXPECT_EQ(events[0].generation.text, generatedText("p", events[0].generation.spans));
}

struct OrderCase
{
    bool checksFencing;
    EngineOrder second; // after one with fencing number 5 for version 2
    std::optional<ErrorCode> error;
    WeightVersion version; // in the end
};

class Orders : public testing::TestWithParam<OrderCase>
{ };

TEST_P(Orders, areFencedIfTheEngineChecks)
{
    EngineCoreOptions setup = options();
    setup.checksFencing = GetParam().checksFencing;
    EngineCore engine(setup);
    ASSERT_TRUE(engine.order({5, Model, 2, EngineRole::Serving}, Start).result);
    const Answer<void> answer = engine.order(GetParam().second, Start + 1s);
    EXPECT_EQ(answer.result.has_value(), !GetParam().error);
    if (GetParam().error) {
        EXPECT_EQ(answer.result.error().code, GetParam().error);
    }
    engine.advance(Start + 2s);
    EXPECT_EQ(engine.version(), GetParam().version);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Orders,
                         testing::Values(OrderCase{true, {5, Model, 2, EngineRole::Serving}, std::nullopt, 2},
                                         OrderCase{true, {6, Model, 3, EngineRole::Serving}, std::nullopt, 3},
                                         OrderCase{true, {4, Model, 1, EngineRole::Serving}, ErrorCode::Conflict, 2},
                                         OrderCase{true, {4, Model, 3, EngineRole::Serving}, ErrorCode::Conflict, 2},
                                         OrderCase{false, {4, Model, 1, EngineRole::Serving}, std::nullopt, 1}));

TEST(EngineCore, servesNothingWhileIdle)
{
    EngineCore engine(options());
    ASSERT_TRUE(engine.order({1, Model, 1, EngineRole::Idle}, Start).result);
    EXPECT_EQ(engine.submit(request("1", 1), Start).result.error().code, ErrorCode::Unavailable);
    ASSERT_TRUE(engine.order({1, Model, 1, EngineRole::Serving}, Start).result);
    EXPECT_TRUE(engine.submit(request("1", 1), Start).result);
}

struct FailedSwapCase
{
    std::string text;
    WeightVersion version;
    bool lost;
};

class FailedSwap : public testing::TestWithParam<FailedSwapCase>
{ };

TEST_P(FailedSwap, neverShowsTheNewVersion)
{
    EngineCore engine(options());
    ASSERT_TRUE(engine.apply({.fault = "fail-swap", .text = GetParam().text}, Start));
    ASSERT_TRUE(engine.submit(request("1", 20), Start).result);
    ASSERT_TRUE(engine.order({1, Model, 2, EngineRole::Serving}, Start).result);
    engine.advance(Start + 1s);
    EXPECT_EQ(engine.version(), GetParam().version);
    EXPECT_EQ(engine.state(Start + 1s).result.value().loading, 0U);
    const std::vector<EngineEvent> events = ended(engine);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].kind == EngineEvent::Kind::Lost, GetParam().lost);
    ASSERT_TRUE(engine.order({1, Model, 2, EngineRole::Serving}, Start + 1s).result);
    engine.advance(Start + 2s);
    EXPECT_EQ(engine.version(), 2U) << "the next try goes through";
}

INSTANTIATE_TEST_SUITE_P(Table,
                         FailedSwap,
                         testing::Values(FailedSwapCase{"", 1, false}, FailedSwapCase{"unusable", 0, true}));

TEST(EngineCore, waitsForAWeightStoreThatIsBusy)
{
    WeightStoreCore store({.concurrentFetches = 1, .fetchTime = 50ms});
    ASSERT_TRUE(store.publish(Model, 2));
    ASSERT_TRUE(store.beginFetch("another", Model, 2, Start));
    EngineCore engine(options(), &store);
    ASSERT_TRUE(engine.order({1, Model, 2, EngineRole::Serving}, Start).result);
    engine.advance(Start + 500ms);
    EXPECT_EQ(engine.version(), 1U);
    store.endFetch("another");
    engine.advance(Start + 1s);
    EXPECT_EQ(engine.version(), 2U);
    EXPECT_EQ(store.fetching(), 0U);
}

TEST(EngineCore, keepsItsVersionIfTheStoreHasNoOther)
{
    WeightStoreCore store;
    EngineCore engine(options(), &store);
    ASSERT_TRUE(engine.order({1, Model, 9, EngineRole::Serving}, Start).result);
    engine.advance(Start + 1s);
    EXPECT_EQ(engine.version(), 1U);
    EXPECT_EQ(engine.state(Start + 1s).result.value().loading, 0U);
}

TEST(EngineCore, cancelsWaitingAndRunningOnes)
{
    EngineCore engine(options(1));
    ASSERT_TRUE(engine.submit(request("running", 100), Start).result);
    ASSERT_TRUE(engine.submit(request("waiting", 100), Start).result);
    ASSERT_TRUE(engine.cancel("unknown", Start + 25ms).result);
    ASSERT_TRUE(engine.cancel("waiting", Start + 25ms).result);
    ASSERT_TRUE(engine.cancel("running", Start + 25ms).result);
    const std::vector<EngineEvent> events = ended(engine);
    ASSERT_EQ(events.size(), 2U);
    EXPECT_TRUE(events[0].generation.spans.empty());
    EXPECT_EQ(events[1].generation.spans, (std::vector<TokenSpan>{{1, 2}}));
    EXPECT_EQ(events[1].generation.finish, "cancelled");
    EXPECT_EQ(engine.runs().total(), 1U) << "the waiting one never ran";
}

TEST(EngineCore, resumesWhatAnotherEngineExported)
{
    EngineCore first(options());
    EngineCoreOptions setup = options();
    setup.bootVersion = 2;
    EngineCore second(setup);
    ASSERT_TRUE(first.submit(request("1", 5), Start).result);
    const Answer<std::string> handle = first.exportCache("1", Start + 25ms);
    ASSERT_TRUE(handle.result);
    EXPECT_EQ(first.exportCache("1", Start + 25ms).result.error().code, ErrorCode::NotFound);
    GenerateRequest rest = request("2", 5);
    rest.resumeFrom = *handle.result;
    ASSERT_TRUE(second.submit(rest, Start).result);
    second.advance(Start + 30ms);
    const std::vector<EngineEvent> events = ended(second);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].generation.spans, (std::vector<TokenSpan>{{1, 2}, {2, 3}}));
}

TEST(EngineCore, losesAllInFlightToACrashAndComesBackAsItStarted)
{
    EngineCore engine(options(1));
    ASSERT_TRUE(engine.order({7, Model, 2, EngineRole::Serving}, Start).result);
    engine.advance(Start + 100ms);
    ASSERT_TRUE(engine.submit(request("running", 100), Start + 100ms).result);
    ASSERT_TRUE(engine.submit(request("waiting", 100), Start + 100ms).result);
    ASSERT_TRUE(engine.apply({.fault = "crash"}, Start + 200ms));
    const std::vector<EngineEvent> events = ended(engine);
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0].kind, EngineEvent::Kind::Lost);
    EXPECT_EQ(events[1].kind, EngineEvent::Kind::Lost);
    EXPECT_TRUE(engine.down());
    EXPECT_EQ(engine.submit(request("3", 1), Start + 300ms).result.error().code, ErrorCode::Unavailable);
    const EngineState state = engine.state(Start + 1200ms).result.value();
    EXPECT_EQ(state.crashes, 1U);
    EXPECT_EQ(state.version, 1U) << "it boots with what it was set up with";
    EXPECT_EQ(engine.order({6, Model, 2, EngineRole::Serving}, Start + 2s).result.error().code, ErrorCode::Conflict);
}

TEST(EngineCore, crashesUnderAPoisonedPromptOnlyWhenItRuns)
{
    EngineCore engine(options(1));
    ASSERT_TRUE(engine.apply({.fault = "poison", .text = "bad"}, Start));
    GenerateRequest bad = request("bad", 5);
    bad.prompt = "a bad prompt";
    ASSERT_TRUE(engine.submit(request("good", 5), Start).result);
    ASSERT_TRUE(engine.submit(bad, Start).result);
    engine.advance(Start + 51ms);
    EXPECT_EQ(idsOf(ended(engine)), std::vector<std::string>{"good"});
    engine.advance(Start + 100ms);
    EXPECT_EQ(idsOf(ended(engine)), std::vector<std::string>{"bad"});
    EXPECT_EQ(engine.crashes(), 1U);
}

TEST(EngineCore, reportsItsLoadWithALag)
{
    EngineCore engine(options(1));
    engine.advance(Start);
    ASSERT_TRUE(engine.submit(request("1", 1000), Start + 100ms).result);
    ASSERT_TRUE(engine.submit(request("2", 1000), Start + 100ms).result);
    EngineState state = engine.state(Start + 499ms).result.value();
    EXPECT_EQ(state.running + state.waiting, 0U);
    EXPECT_EQ(state.loadAge, 499ms);
    state = engine.state(Start + 600ms).result.value();
    EXPECT_EQ(state.running, 1U);
    EXPECT_EQ(state.waiting, 1U);
    EXPECT_EQ(state.loadAge, 100ms);
}

TEST(EngineCore, decodesSlowerInAStragglerSlot)
{
    EngineCore engine(options(2));
    ASSERT_TRUE(engine.apply({.fault = "slow-slots", .count = 1, .duration = 100ms}, Start));
    ASSERT_TRUE(engine.submit(request("slow", 5), Start).result);
    ASSERT_TRUE(engine.submit(request("quick", 5), Start).result);
    engine.advance(Start + 51ms);
    EXPECT_EQ(idsOf(ended(engine)), std::vector<std::string>{"quick"});
    engine.advance(Start + 501ms);
    EXPECT_EQ(idsOf(ended(engine)), std::vector<std::string>{"slow"});
}

struct RefusalCase
{
    GenerateRequest request;
    ErrorCode code;
};

class Refusals : public testing::TestWithParam<RefusalCase>
{ };

TEST_P(Refusals, areProofThatNothingRan)
{
    EngineCoreOptions setup = options(1);
    setup.maxWaiting = 0;
    EngineCore engine(setup);
    ASSERT_TRUE(engine.submit(request("running", 100), Start).result);
    EXPECT_EQ(engine.submit(GetParam().request, Start).result.error().code, GetParam().code);
    EXPECT_EQ(engine.runs().total(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Refusals,
                         testing::Values(RefusalCase{request("2", 1), ErrorCode::Overloaded},
                                         RefusalCase{request("2", 0), ErrorCode::InvalidArgument},
                                         RefusalCase{request("", 1), ErrorCode::InvalidArgument},
                                         RefusalCase{request("running", 1), ErrorCode::Conflict},
                                         RefusalCase{{"2", ModelId("other"), "p", 1, 0, ""}, ErrorCode::NotFound}));

} // namespace
} // namespace bergamot
