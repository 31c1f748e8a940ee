#include <algorithm>

#include <gtest/gtest.h>

#include "bergamot/dispatch/load_planner.h"

namespace bergamot::dispatch
{
namespace
{

using namespace std::chrono_literals;
using Demand = std::map<std::string, ModelDemand>;
using EngineCounts = std::map<std::string, std::size_t>; // by model

constexpr Duration Tick = 50ms;
constexpr Duration LoadFailurePause = 600ms; // of `EnginePool`, before the next order to an engine whose load failed

/// Engines whose loads end within a tick, and the planner that orders them.
class SimulatedPool
{
public:
    SimulatedPool(std::size_t engines, const std::vector<std::string> &models)
    {
        for (std::size_t number = 0; number < engines; ++number) {
            LoadCandidate engine{.engine = "e" + std::to_string(100 + number),
                                 .service = "llm",
                                 .slots = 8,
                                 .acceptsRuns = true,
                                 .mayOrderLoad = true};
            for (const std::string &model : models) {
                engine.versions[model] = 1;
            }
            m_engines.push_back(std::move(engine));
        }
    }

    std::vector<LoadCandidate> &engines()
    {
        return m_engines;
    }

    LoadCandidate &engineOf(const std::string &model)
    {
        return *std::find_if(m_engines.begin(), m_engines.end(), [&](const LoadCandidate &engine) {
            return m_assignments.modelOf(engine.engine) == model;
        });
    }

    /// Runs the planner for `time`; each load that it orders succeeds unless the engine is in `failing`.
    void run(const Demand &demand, Duration time, const std::set<std::string> &failing = {})
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += Tick) {
            for (LoadCandidate &engine : m_engines) {
                const auto paused = m_pausedUntil.find(engine.engine);
                if (paused != m_pausedUntil.end()) {
                    engine.acceptsRuns = m_now >= paused->second;
                }
            }
            m_changes += m_assignments.update(m_engines, demand, {}, m_now).size();
            for (const PlannedLoad &load : nextLoads(m_engines, demand, m_assignments, {})) {
                ++m_loads;
                const auto engine = std::find_if(m_engines.begin(), m_engines.end(), [&](const LoadCandidate &other) {
                    return other.engine == load.engine;
                });
                if (failing.contains(load.engine)) {
                    m_pausedUntil[load.engine] = m_now + LoadFailurePause;
                } else {
                    engine->versions[load.model] = load.version;
                }
            }
        }
    }

    /// Engines that are assigned to each model and may run its samples.
    EngineCounts serving(const Demand &demand) const
    {
        EngineCounts counts;
        for (const LoadCandidate &engine : m_engines) {
            const auto needs = demand.find(m_assignments.modelOf(engine.engine));
            if (needs != demand.end() && !engine.draining && engine.acceptsRuns
                && engine.versions.contains(needs->first)
                && engine.versions.at(needs->first) >= needs->second.minVersion) {
                ++counts[needs->first];
            }
        }
        return counts;
    }

    void replaceOwner()
    {
        m_assignments = {};
    }

    std::size_t changes() const
    {
        return m_changes;
    }

    std::size_t loads() const
    {
        return m_loads;
    }

    const ModelAssignments &assignments() const
    {
        return m_assignments;
    }

private:
    std::vector<LoadCandidate> m_engines;
    std::map<std::string, TimePoint> m_pausedUntil; // by engine; present if its last load failed
    ModelAssignments m_assignments;
    TimePoint m_now{};
    std::size_t m_changes = 0;
    std::size_t m_loads = 0;
};

/// What happens to the engines of the first model, "a".
enum class Event {
    Lost,
    Draining,
    BackingOff,
    OrdersOfAnEarlierOwner,
    LoadsFail,
    LoadNeverEnds,
    RegistersWithoutTheModel,
    NewOwner,
};

struct WithoutEngineCase
{
    std::string name;
    std::size_t engines;
    std::vector<std::string> models; // "a" has four samples, each other model six times as many as its slots
    Event event;
};

std::vector<WithoutEngineCase> withoutEngineCases()
{
    const std::vector<std::pair<std::string, Event>> events{
        {"Lost", Event::Lost},
        {"Draining", Event::Draining},
        {"BackingOff", Event::BackingOff},
        {"OrdersOfAnEarlierOwner", Event::OrdersOfAnEarlierOwner},
        {"LoadsFail", Event::LoadsFail},
        {"LoadNeverEnds", Event::LoadNeverEnds},
        {"RegistersWithoutTheModel", Event::RegistersWithoutTheModel},
        {"NewOwner", Event::NewOwner}};
    std::vector<WithoutEngineCase> cases;
    for (const auto &[name, event] : events) {
        for (const std::size_t engines : {3U, 4U, 9U, 12U, 40U}) {
            cases.push_back({name + "TwoModels" + std::to_string(engines), engines, {"a", "b"}, event});
            if (engines > 3) {
                cases.push_back({name + "ThreeModels" + std::to_string(engines), engines, {"a", "b", "c"}, event});
            }
        }
    }
    return cases;
}

class WithoutEngineTest : public testing::TestWithParam<WithoutEngineCase>
{
protected:
    Demand demand(std::uint64_t newest, std::uint64_t minimum) const
    {
        Demand result;
        for (const std::string &model : GetParam().models) {
            const bool small = model == "a";
            const double samples = small ? 4.0 : 48.0 * static_cast<double>(GetParam().engines);
            result[model] = {.slotSeconds = samples,
                             .peakSamples = samples,
                             .newestVersion = newest,
                             .minVersion = minimum,
                             .waitingSamples = small ? 4U : 0U};
        }
        return result;
    }

    static void apply(Event event, const std::string &affected, SimulatedPool &pool)
    {
        const auto engine = std::find_if(pool.engines().begin(), pool.engines().end(), [&](const LoadCandidate &other) {
            return other.engine == affected;
        });
        switch (event) {
        case Event::Lost:
            pool.engines().erase(engine);
            break;
        case Event::Draining:
            engine->draining = true;
            break;
        case Event::BackingOff:
            engine->acceptsRuns = false;
            break;
        case Event::OrdersOfAnEarlierOwner:
            engine->mayOrderLoad = false;
            break;
        case Event::LoadsFail:
            break;
        case Event::LoadNeverEnds:
            engine->loading = true;
            engine->loadOverdue = true;
            break;
        case Event::RegistersWithoutTheModel:
            engine->versions.erase("a");
            break;
        case Event::NewOwner:
            pool.replaceOwner();
            break;
        }
    }
};

// Guards against a model that waits for good, although other engines are idle, after its only engine is of no use.
TEST_P(WithoutEngineTest, AModelWithoutAnEngineThatServesItGetsAnotherOne)
{
    SimulatedPool pool(GetParam().engines, GetParam().models);
    pool.run(demand(2, 2), 2s);
    ASSERT_EQ(pool.serving(demand(2, 2))["a"], 1U);
    const std::string affected = pool.engineOf("a").engine;
    apply(GetParam().event, affected, pool);
    const std::set<std::string> failing =
        GetParam().event == Event::LoadsFail ? std::set<std::string>{affected} : std::set<std::string>{};
    pool.run(demand(3, 3), 5s, failing);
    EngineCounts serving = pool.serving(demand(3, 3));
    for (const std::string &model : GetParam().models) {
        EXPECT_GE(serving[model], 1U) << model;
    }
    const std::size_t changes = pool.changes();
    pool.run(demand(3, 3), 20s, failing);
    EXPECT_EQ(pool.changes(), changes) << "further moves without a need cost loads";
}

INSTANTIATE_TEST_SUITE_P(Pools, WithoutEngineTest, testing::ValuesIn(withoutEngineCases()), [](const auto &test) {
    return test.param.name;
});

struct LateModelCase
{
    const char *name;
    std::size_t engines;
    double smallPeak; // samples of the model that is named last; 0: no batch yet
};

class LateModelTest : public testing::TestWithParam<LateModelCase>
{ };

// Guards against a model that never gets an engine, as another one was named first and took all of them.
TEST_P(LateModelTest, AModelThatIsNamedLastGetsAnEngine)
{
    SimulatedPool pool(GetParam().engines, {"a", "b"});
    const ModelDemand large{.slotSeconds = 400, .peakSamples = 4000, .newestVersion = 2};
    pool.run({{"b", large}}, 1s);
    const Demand both{{"a", {.peakSamples = GetParam().smallPeak, .newestVersion = 2, .minVersion = 2}}, {"b", large}};
    pool.run(both, 1s);
    EngineCounts serving = pool.serving(both);
    EXPECT_GE(serving["a"], 1U);
    EXPECT_GE(serving["b"], 1U);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         LateModelTest,
                         testing::Values(LateModelCase{"Two", 2, 4},
                                         LateModelCase{"Nine", 9, 4},
                                         LateModelCase{"NineWithoutABatch", 9, 0},
                                         LateModelCase{"Sixty", 60, 4}),
                         [](const auto &test) {
                             return test.param.name;
                         });

struct ScarceCase
{
    const char *name;
    std::size_t engines;
    std::map<std::string, std::size_t> waiting; // samples by model
    std::set<std::string> served; // models that have an engine afterwards
};

class ScarceTest : public testing::TestWithParam<ScarceCase>
{ };

TEST_P(ScarceTest, WithFewerEnginesThanModelsThoseWithWaitingSamplesGoFirst)
{
    SimulatedPool pool(GetParam().engines, {"a", "b", "c"});
    Demand idle;
    Demand demand;
    for (const auto &[model, waiting] : GetParam().waiting) {
        idle[model] = {.peakSamples = 8, .newestVersion = 2};
        demand[model] = {.peakSamples = 8, .newestVersion = 2, .minVersion = 2, .waitingSamples = waiting};
    }
    pool.run(idle, 1s);
    pool.run(demand, 1s);
    const std::size_t changes = pool.changes();
    pool.run(demand, 10s);
    EXPECT_EQ(pool.changes(), changes);
    std::set<std::string> served;
    for (const auto &[model, count] : pool.serving(demand)) {
        served.insert(model);
    }
    EXPECT_EQ(served, GetParam().served);
}

INSTANTIATE_TEST_SUITE_P(Waiting,
                         ScarceTest,
                         testing::Values(ScarceCase{"OneEngine", 1, {{"a", 0}, {"b", 0}, {"c", 5}}, {"c"}},
                                         ScarceCase{"TwoEngines", 2, {{"a", 0}, {"b", 3}, {"c", 5}}, {"b", "c"}},
                                         ScarceCase{"TheHolderKeepsIt", 1, {{"a", 1}, {"b", 3}, {"c", 5}}, {"a"}}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST(ModelAssignmentsTest, ANewOwnerChoosesTheEnginesThatHaveTheWeights)
{
    SimulatedPool pool(12, {"a", "b"});
    const Demand demand{{"a", {.peakSamples = 4, .newestVersion = 2, .minVersion = 2}},
                        {"b", {.peakSamples = 400, .newestVersion = 2, .minVersion = 2}}};
    pool.run(demand, 2s);
    const std::size_t loads = pool.loads();
    pool.replaceOwner();
    pool.run(demand, 2s);
    EXPECT_EQ(pool.loads(), loads);
}

// Guards against a model whose engines all belong to a service that its route has left.
TEST(ModelAssignmentsTest, AModelWhoseRouteMovesToAnotherServiceGetsEnginesThere)
{
    SimulatedPool pool(8, {"a", "b"});
    for (std::size_t index = 0; index < 4; ++index) {
        pool.engines()[index].service = "old";
    }
    Demand demand{
        {"a", {.peakSamples = 16, .newestVersion = 2, .minVersion = 2, .waitingSamples = 4, .services = {"old"}}},
        {"b", {.peakSamples = 16, .newestVersion = 2, .minVersion = 2, .services = {"old", "llm"}}}};
    pool.run(demand, 2s);
    demand["a"].services = {"llm"};
    pool.run(demand, 2s);
    EXPECT_GE(pool.serving(demand)["a"], 1U);
    for (const LoadCandidate &engine : pool.engines()) {
        EXPECT_FALSE(engine.service == "old" && pool.assignments().modelOf(engine.engine) == "a") << engine.engine;
    }
}

} // namespace
} // namespace bergamot::dispatch
