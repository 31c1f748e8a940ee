#include "bergamot/rollout/rollout_service.h"

#include <future>

#include <gtest/gtest.h>

#include "bergamot/standins/fakes.h"

namespace bergamot
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const ModelId Agent("agent");

/// A lease that the test grants and revokes by setting `fencingNumber`.
class FakeDutyGuard final : public DutyGuard
{
public:
    void acquire(const DutyId &) override
    { }

    bool holds(const DutyId &, TimePoint) const override
    {
        return fencingNumber.has_value();
    }

    std::optional<FencingNumber> fencing(const DutyId &, TimePoint) const override
    {
        return fencingNumber;
    }

    std::optional<FencingNumber> fencingNumber = 10;
};

class RecordingSink final : public EvidenceSink
{
public:
    void record(std::string kind, web::json::value) override
    {
        ++counts[kind];
    }

    std::map<std::string, int> counts;
};

class RolloutServiceTest : public testing::Test
{
protected:
    RolloutServiceTest()
        : m_time(m_clock)
        , m_store(m_time)
        , m_engines(m_time)
    {
        for (std::uint16_t i = 0; i < 3; ++i) {
            EngineCoreOptions options;
            options.name = "e" + std::to_string(i);
            options.model = Agent;
            m_engines.add(address(i), options, &m_store);
        }
        EXPECT_TRUE(m_store.publish(Agent, 1));
        EXPECT_TRUE(m_store.publish(Agent, 2));
        m_service = std::make_unique<RolloutService>(RolloutServiceOptions{.domain = FailureDomainId("north")},
                                                     m_loop,
                                                     m_clock,
                                                     m_engines,
                                                     m_store,
                                                     m_guard,
                                                     m_sink);
    }

    ~RolloutServiceTest() override
    {
        onLoop([this] {
            m_service.reset();
        });
    }

    static Address address(std::uint16_t index)
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(100 + index)};
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

    inner::ViewT view()
    {
        inner::ViewT result;
        Configuration configuration;
        configuration.version = 1;
        configuration.domains = {FailureDomainId("north")};
        ModelConfig model;
        model.model = Agent;
        configuration.models[Agent] = model;
        result.configuration = toJson(configuration).serialize();
        for (std::uint16_t i = 0; i < 3; ++i) {
            auto endpoint = std::make_unique<inner::EndpointT>();
            endpoint->id = "e" + std::to_string(i);
            endpoint->serves = Agent.value();
            endpoint->domain = "north";
            endpoint->address = toString(address(i));
            endpoint->reachable = true;
            endpoint->version = m_engines.version(address(i));
            result.endpoints.push_back(std::move(endpoint));
        }
        return result;
    }

    /// Advances the clock by `time` in ticks of 100 ms, with a new view every 500 ms.
    void run(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += milliseconds(100)) {
            onLoop([&] {
                if (passed % milliseconds(500) == milliseconds(0)) {
                    m_service->onView(view());
                }
                m_service->tick();
            });
            onLoop([] {});
            m_time.advance(milliseconds(100));
        }
    }

    std::vector<WeightVersion> versions()
    {
        return {m_engines.version(address(0)), m_engines.version(address(1)), m_engines.version(address(2))};
    }

    ManualClock m_clock;
    FakeTime m_time;
    FakeWeightStore m_store;
    FakeEngines m_engines;
    FakeDutyGuard m_guard;
    RecordingSink m_sink;
    EventLoop m_loop;
    std::unique_ptr<RolloutService> m_service;
};

TEST_F(RolloutServiceTest, installsAPublishedVersionOnEveryEngine)
{
    run(seconds(10));
    EXPECT_EQ(versions(), (std::vector<WeightVersion>{2, 2, 2}));
    EXPECT_GE(m_sink.counts["order-sent"], 3);
    EXPECT_EQ(m_sink.counts["order-sent"], m_sink.counts["order-answered"]);
}

TEST_F(RolloutServiceTest, sendsNoOrdersWithoutTheLease)
{
    m_guard.fencingNumber.reset();
    run(seconds(5));
    EXPECT_EQ(versions(), (std::vector<WeightVersion>{1, 1, 1}));
    EXPECT_EQ(m_sink.counts["order-sent"], 0);
}

TEST_F(RolloutServiceTest, ignoresAnAnswerThatArrivesAfterTheLeaseEnded)
{
    ASSERT_TRUE(m_engines.apply(address(0), {.fault = "delay", .call = "order", .duration = milliseconds(500)}));
    run(milliseconds(500));
    m_guard.fencingNumber.reset();
    run(seconds(2));
    EXPECT_GE(m_sink.counts["order-after-lease"], 1);
}

struct FaultCase
{
    std::string name;
    FaultCommand fault;
};

class RolloutFault : public RolloutServiceTest, public testing::WithParamInterface<FaultCase>
{ };

TEST_P(RolloutFault, isRepaired)
{
    ASSERT_TRUE(m_engines.apply(address(1), GetParam().fault));
    run(seconds(20));
    EXPECT_EQ(versions(), (std::vector<WeightVersion>{2, 2, 2})) << GetParam().name;
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    RolloutFault,
    testing::Values(FaultCase{"swap fails half-way", {.fault = "fail-swap", .count = 2}},
                    FaultCase{"swap fails and leaves no weights",
                              {.fault = "fail-swap", .count = 1, .text = "unusable"}},
                    FaultCase{"answer to the order lost", {.fault = "close", .call = "order", .count = 1}},
                    FaultCase{"order refused", {.fault = "refuse", .call = "order", .count = 2}},
                    FaultCase{"order never answered", {.fault = "silent", .call = "order", .count = 1}},
                    FaultCase{"read-back fails", {.fault = "close", .call = "state", .count = 3}},
                    FaultCase{"engine crashes", {.fault = "crash", .duration = milliseconds(3000)}}));

TEST_F(RolloutServiceTest, anUnavailableStoreOnlyDelaysTheRollout)
{
    ASSERT_TRUE(m_store.apply({.fault = "out"}));
    run(seconds(3));
    EXPECT_EQ(versions(), (std::vector<WeightVersion>{1, 1, 1}));
    ASSERT_TRUE(m_store.apply({.fault = "clear"}));
    run(seconds(10));
    EXPECT_EQ(versions(), (std::vector<WeightVersion>{2, 2, 2}));
}

} // namespace
} // namespace bergamot
