#pragma once

// Rolls weights out in this instance's failure domain: runs one `RolloutPlanner` per model while this instance holds
// the duty "rollout/<model>/<domain>", and sends its orders and state reads to the engines.
//
//     RolloutService rollout({.domain = FailureDomainId("north")}, loop, clock, engines, store, guard, evidence);
//     rollout.onView(view);
//     rollout.tick(); // every 100 ms

#include <chrono>
#include <map>
#include <memory>

#include "bergamot/base/clock.h"
#include "bergamot/base/event_loop.h"
#include "bergamot/base/logging.h"
#include "bergamot/config/configuration.h"
#include "bergamot/evidence/evidence_sink.h"
#include "bergamot/platform/engine.h"
#include "bergamot/platform/weight_store.h"
#include "bergamot/protocol/generated/inner_generated.h"
#include "bergamot/rollout/duty_guard.h"
#include "bergamot/rollout/rollout_planner.h"

namespace bergamot
{

struct RolloutServiceOptions
{
    FailureDomainId domain;
    RolloutOptions planner;
    std::chrono::milliseconds orderTimeout{2000};
    std::chrono::milliseconds stateTimeout{1000};
    std::chrono::milliseconds storePeriod{1000}; // between queries for a model's newest version
    std::chrono::milliseconds storeTimeout{2000};
};

/// The duty of one model in one failure domain.
DutyId rolloutDuty(const ModelId &model, const FailureDomainId &domain);

/// Confined to the thread of `loop`. All references must outlive the service.
class RolloutService
{
public:
    RolloutService(RolloutServiceOptions options,
                   EventLoop &loop,
                   Clock &clock,
                   EngineClient &engines,
                   WeightStore &store,
                   DutyGuard &guard,
                   EvidenceSink &evidence);
    ~RolloutService();
    RolloutService(const RolloutService &) = delete;
    RolloutService &operator=(const RolloutService &) = delete;

    /// Updates the models and engines from the fleet view; a configuration that cannot be parsed is logged and ignored.
    void onView(const inner::ViewT &view);
    /// Starts the actions that are due; call it about every 100 ms.
    void tick();
    /// The newest published version that this instance has read; 0 if none.
    WeightVersion published(const ModelId &model) const;

private:
    struct Model
    {
        ModelConfig config;
        RolloutPlanner planner;
        WeightVersion published = 0;
        std::uint64_t concurrentFetches = 1; // the store's limit for all failure domains
        TimePoint nextStoreQuery;
        bool storeQueryPending = false;
    };

    void setModels(const std::map<ModelId, ModelConfig> &configured, const std::vector<FailureDomainId> &domains);
    void setGoal(Model &model);
    void queryStore(const ModelId &id, Model &model);
    void plan(const ModelId &id, Model &model);
    void perform(const ModelId &id, const RolloutAction &action);
    void sendOrder(const ModelId &id, const RolloutAction &action);
    void orderEnded(const ModelId &id, const RolloutAction &action, const Result<void> &outcome);
    void readState(const ModelId &id, const RolloutAction &action);
    void record(const char *kind, const RolloutAction &action, const std::string &outcome);
    /// Posts tasks to the loop; a task does nothing once the service is destroyed.
    std::function<void(std::function<void()> task)> poster();

    RolloutServiceOptions m_options;
    EventLoop &m_loop;
    Clock &m_clock;
    EngineClient &m_engines;
    WeightStore &m_store;
    DutyGuard &m_guard;
    EvidenceSink &m_evidence;
    ComponentLogger m_log{"rollout"};
    std::map<ModelId, Model> m_models;
    std::size_t m_domainCount = 1;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace bergamot
