#include "bergamot/standins/fakes.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

const ModelId Model{"order-agent"};
const Address EngineAddress{"127.0.0.1", 7100};

struct Platform
{
    ManualClock clock;
    FakeTime time{clock};
};

GenerateRequest request(std::uint32_t tokens)
{
    return {"1", Model, "p", tokens, 0, ""};
}

struct DeliveryCase
{
    FaultCommand command;
    Duration answered; // how long after the call, with a limit of 1 s
    std::optional<ErrorCode> error;
};

class Delivery : public testing::TestWithParam<DeliveryCase>
{ };

TEST_P(Delivery, happensWhenTheTestAdvances)
{
    Platform platform;
    FakeLog log(platform.time);
    ASSERT_TRUE(log.apply(GetParam().command));
    std::optional<Result<Offset>> answer;
    TimePoint answered;
    const TimePoint start = platform.clock.now();
    log.append("a", {{{"w", 1, 1}, "k", "{}"}}, 1s, [&](Result<Offset> outcome) {
        EXPECT_FALSE(answer.has_value()) << "answered twice";
        answer = outcome;
        answered = platform.clock.now();
    });
    EXPECT_EQ(answer.has_value(), GetParam().answered == 0s);
    platform.time.advance(5s);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answered - start, GetParam().answered);
    EXPECT_EQ(answer->has_value(), !GetParam().error);
    if (GetParam().error) {
        EXPECT_EQ(answer->error().code, GetParam().error);
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Delivery,
                         testing::Values(DeliveryCase{{.fault = "clear"}, 0s, std::nullopt},
                                         DeliveryCase{{.fault = "delay", .duration = 300ms}, 300ms, std::nullopt},
                                         DeliveryCase{
                                             {.fault = "delay", .duration = 2s}, 1s, ErrorCode::DeadlineExceeded},
                                         DeliveryCase{{.fault = "silent"}, 1s, ErrorCode::DeadlineExceeded},
                                         DeliveryCase{{.fault = "close"}, 0s, ErrorCode::Unknown},
                                         DeliveryCase{{.fault = "half"}, 0s, ErrorCode::Unknown},
                                         DeliveryCase{{.fault = "out"}, 0s, ErrorCode::Unavailable}));

struct GenerateCase
{
    FaultCommand command; // 15 ms after the call of 5 tokens at 10 ms
    Duration answered;
    std::optional<ErrorCode> error;
};

class Generate : public testing::TestWithParam<GenerateCase>
{ };

TEST_P(Generate, endsOnce)
{
    Platform platform;
    FakeEngines engines(platform.time);
    EngineCoreOptions options;
    options.model = Model;
    options.tokenTime = 10ms;
    options.prefillTokenTime = 0ms;
    engines.add(EngineAddress, options);
    std::optional<Result<Generation>> answer;
    TimePoint answered;
    const TimePoint start = platform.clock.now();
    engines.generate(EngineAddress, request(5), 1s, [&](Result<Generation> outcome) {
        EXPECT_FALSE(answer.has_value()) << "answered twice";
        answer = outcome;
        answered = platform.clock.now();
    });
    platform.time.advance(15ms);
    ASSERT_TRUE(engines.apply(EngineAddress, GetParam().command));
    platform.time.advance(5s);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answered - start, GetParam().answered);
    EXPECT_EQ(answer->has_value(), !GetParam().error);
    if (GetParam().error) {
        EXPECT_EQ(answer->error().code, GetParam().error);
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Generate,
                         testing::Values(GenerateCase{{.fault = "clear"}, 50ms, std::nullopt},
                                         GenerateCase{{.fault = "crash"}, 15ms, ErrorCode::Unknown},
                                         GenerateCase{{.fault = "stall", .duration = 300ms}, 350ms, std::nullopt},
                                         GenerateCase{
                                             {.fault = "stall", .duration = 2s}, 1s, ErrorCode::DeadlineExceeded}));

TEST(FakeEngines, refuseTheConnectionWhereNoneIs)
{
    Platform platform;
    FakeEngines engines(platform.time);
    std::optional<Result<Generation>> answer;
    engines.generate(EngineAddress, request(1), 1s, [&](Result<Generation> outcome) {
        answer = outcome;
    });
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->error().code, ErrorCode::Unavailable);
}

TEST(FakeEngines, fetchFromTheWeightStore)
{
    Platform platform;
    FakeWeightStore store(platform.time, {.concurrentFetches = 1, .fetchTime = 100ms});
    FakeEngines engines(platform.time);
    EngineCoreOptions options;
    options.name = "e1";
    options.model = Model;
    options.swapTime = 10ms;
    engines.add(EngineAddress, options, &store);
    ASSERT_TRUE(store.publish(Model, 2));
    std::optional<Result<void>> ordered;
    engines.order(EngineAddress, {1, Model, 2, EngineRole::Serving}, 1s, [&](Result<void> outcome) {
        ordered = outcome;
    });
    ASSERT_TRUE(ordered && ordered->has_value());
    EXPECT_EQ(store.fetching(), 1U);
    platform.time.advance(109ms);
    EXPECT_EQ(engines.version(EngineAddress), 1U);
    platform.time.advance(1ms);
    EXPECT_EQ(engines.version(EngineAddress), 2U);
}

} // namespace
} // namespace bergamot
