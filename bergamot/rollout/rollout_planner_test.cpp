#include "bergamot/rollout/rollout_planner.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr FencingNumber Fencing = 40;

class RolloutPlannerTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_goal = {.model = ModelId("agent"), .published = 2, .concurrentFetches = 8};
        for (int i = 0; i < 4; ++i) {
            m_engines.push_back({.engine = EndpointId("e" + std::to_string(i)),
                                 .address = {"127.0.0.1", static_cast<std::uint16_t>(i + 1)},
                                 .version = 1});
        }
    }

    std::vector<RolloutAction> plan(std::optional<FencingNumber> fencing = Fencing)
    {
        m_planner.setGoal(m_goal);
        m_planner.setEngines(m_engines);
        return m_planner.plan(m_now, fencing);
    }

    static std::vector<std::string> names(const std::vector<RolloutAction> &actions, RolloutAction::Kind kind)
    {
        std::vector<std::string> result;
        for (const RolloutAction &action : actions) {
            if (action.kind == kind) {
                result.push_back(action.engine.value());
            }
        }
        return result;
    }

    static std::vector<std::string> ordered(const std::vector<RolloutAction> &actions)
    {
        return names(actions, RolloutAction::Kind::Order);
    }

    RolloutEngine &engine(int index)
    {
        return m_engines[static_cast<std::size_t>(index)];
    }

    void state(int index, WeightVersion version, WeightVersion loading)
    {
        engine(index).version = version;
        engine(index).loading = loading;
        EngineState read;
        read.version = version;
        read.loading = loading;
        m_planner.stateRead(engine(index).engine, read, m_now);
    }

    /// Plans 20 times; every order is accepted and every state read reports the target version.
    void completeRollout()
    {
        for (int round = 0; round < 20; ++round) {
            for (const RolloutAction &action : plan()) {
                const int index = action.engine.value()[1] - '0';
                if (action.kind == RolloutAction::Kind::Order) {
                    m_planner.orderEnded(action.engine, {}, m_now);
                } else {
                    state(index, m_planner.target(), 0);
                }
            }
            m_now += milliseconds(500);
        }
    }

    TimePoint m_now{seconds(1000)};
    RolloutGoal m_goal;
    std::vector<RolloutEngine> m_engines;
    RolloutPlanner m_planner;
};

TEST_F(RolloutPlannerTest, nothingIsOrderedWithoutALease)
{
    EXPECT_TRUE(plan(std::nullopt).empty());
}

TEST_F(RolloutPlannerTest, everyOrderCarriesTheFencingNumber)
{
    for (const RolloutAction &action : plan()) {
        EXPECT_EQ(action.order.fencing, Fencing);
        EXPECT_EQ(action.order.version, 2U);
    }
}

struct ConcurrencyCase
{
    std::uint32_t floorPercent;
    std::uint64_t fetches;
    std::size_t concurrentOrders;
};

class RolloutConcurrency : public RolloutPlannerTest, public testing::WithParamInterface<ConcurrencyCase>
{ };

TEST_P(RolloutConcurrency, respectsTheCapacityFloorAndTheStoreLimit)
{
    m_goal.capacityFloorPercent = GetParam().floorPercent;
    m_goal.concurrentFetches = GetParam().fetches;
    EXPECT_EQ(ordered(plan()).size(), GetParam().concurrentOrders);
    EXPECT_TRUE(ordered(plan()).empty()) << "no further swap starts before one has ended";
}

INSTANTIATE_TEST_SUITE_P(Table,
                         RolloutConcurrency,
                         testing::Values(ConcurrencyCase{50, 8, 2},
                                         ConcurrencyCase{0, 8, 4},
                                         ConcurrencyCase{75, 8, 1},
                                         ConcurrencyCase{60, 8, 1},
                                         ConcurrencyCase{100, 8, 1}, // one at a time, or old weights would stay forever
                                         ConcurrencyCase{0, 3, 3},
                                         ConcurrencyCase{50, 1, 1}));

TEST_F(RolloutPlannerTest, ordersTheLeastLoadedEnginesFirst)
{
    engine(0).load = 9;
    engine(1).load = 3;
    engine(2).load = 7;
    engine(3).load = 1;
    EXPECT_EQ(ordered(plan()), (std::vector<std::string>{"e3", "e1"}));
}

TEST_F(RolloutPlannerTest, reachesEveryEngine)
{
    completeRollout();
    EXPECT_TRUE(m_planner.isComplete());
    for (const RolloutEngine &each : m_engines) {
        EXPECT_EQ(each.version, 2U);
    }
}

TEST_F(RolloutPlannerTest, aFailedSwapIsDetectedByReadingBackAndRepeated)
{
    m_goal.capacityFloorPercent = 0;
    plan();
    m_planner.orderEnded(EndpointId("e0"), {}, m_now);
    EXPECT_EQ(names(plan(), RolloutAction::Kind::ReadState), std::vector<std::string>{"e0"});
    state(0, 1, 0); // the load ended without installing the version
    EXPECT_TRUE(ordered(plan()).empty());
    m_now += seconds(1);
    const std::vector<RolloutAction> actions = plan();
    ASSERT_EQ(ordered(actions), std::vector<std::string>{"e0"});
    EXPECT_EQ(actions.front().reason, RolloutReason::FailedSwap);
}

TEST_F(RolloutPlannerTest, anEngineThatKeepsFailingIsRemovedFromServiceAndRetriedLater)
{
    m_goal.capacityFloorPercent = 0;
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(ordered(plan()).empty());
        m_planner.orderEnded(EndpointId("e0"), {}, m_now);
        plan();
        state(0, 0, 0);
        m_now += seconds(1);
    }
    const std::vector<RolloutAction> actions = plan();
    ASSERT_EQ(ordered(actions), std::vector<std::string>{"e0"});
    EXPECT_EQ(actions.front().order.role, EngineRole::Idle);
    m_planner.orderEnded(EndpointId("e0"), {}, m_now);
    EXPECT_EQ(m_planner.outOfService(), std::vector<EndpointId>{EndpointId("e0")});
    EXPECT_TRUE(ordered(plan()).empty());
    m_now += seconds(60);
    const std::vector<RolloutAction> again = plan();
    ASSERT_EQ(ordered(again), std::vector<std::string>{"e0"});
    EXPECT_EQ(again.front().order.role, EngineRole::Serving);
}

TEST_F(RolloutPlannerTest, aNewerVersionSupersedesAnUnfinishedLoad)
{
    plan();
    m_planner.orderEnded(EndpointId("e0"), {}, m_now);
    m_planner.orderEnded(EndpointId("e1"), {}, m_now);
    m_goal.published = 3;
    const std::vector<RolloutAction> actions = plan();
    EXPECT_EQ(ordered(actions), (std::vector<std::string>{"e0", "e1"}));
    for (const RolloutAction &action : actions) {
        EXPECT_EQ(action.order.version, 3U);
        EXPECT_EQ(action.reason, RolloutReason::SupersededLoad);
    }
}

TEST_F(RolloutPlannerTest, versionsDecreaseOnlyToAConfiguredOne)
{
    completeRollout();
    m_goal.published = 1; // a stale answer of the store
    completeRollout();
    EXPECT_EQ(m_planner.target(), 2U);
    EXPECT_EQ(engine(0).version, 2U);
    m_goal.configured = 1; // a confirmed plan
    completeRollout();
    EXPECT_EQ(engine(0).version, 1U);
}

TEST_F(RolloutPlannerTest, aLostAnswerIsResolvedByReadingBack)
{
    plan();
    m_planner.orderEnded(EndpointId("e0"), failure(ErrorCode::Unknown, "lost"), m_now);
    EXPECT_EQ(names(plan(), RolloutAction::Kind::ReadState), std::vector<std::string>{"e0"});
    state(0, 2, 0);
    EXPECT_TRUE(names(plan(), RolloutAction::Kind::ReadState).empty());
}

TEST_F(RolloutPlannerTest, aNewHolderOrdersEveryEngineOnceUnderItsNumber)
{
    completeRollout();
    plan(std::nullopt);
    m_now += seconds(1);
    const std::vector<RolloutAction> actions = plan(Fencing + 1);
    EXPECT_EQ(ordered(actions).size(), m_engines.size());
    for (const RolloutAction &action : actions) {
        EXPECT_EQ(action.reason, RolloutReason::NewHolder);
        EXPECT_EQ(action.order.fencing, Fencing + 1);
    }
}

TEST_F(RolloutPlannerTest, aNewHolderWaitsForTheMaxDeliveryTimeIfEnginesIgnoreFencing)
{
    m_goal.enginesCheckFencing = false;
    EXPECT_TRUE(plan().empty());
    m_now += milliseconds(4999);
    EXPECT_TRUE(plan().empty());
    m_now += milliseconds(1);
    EXPECT_FALSE(plan().empty());
}

TEST_F(RolloutPlannerTest, anEngineThatRestartedWithOldWeightsIsOrderedAgain)
{
    completeRollout();
    engine(2).version = 1;
    EXPECT_EQ(ordered(plan()), std::vector<std::string>{"e2"});
}

TEST_F(RolloutPlannerTest, leavingAndUnreachableEnginesReceiveNoOrders)
{
    engine(0).leaving = true;
    engine(1).reachable = false;
    m_goal.capacityFloorPercent = 0;
    EXPECT_EQ(ordered(plan()), (std::vector<std::string>{"e2", "e3"}));
}

} // namespace
} // namespace bergamot
