#pragma once

// HTTP interface of the trainers that this instance owns: trainers submit steps and draw samples. Performs the actions
// of `SampleScheduler` on engines and scoring services.
//
//     SampleService samples(options, loop, clock, engines, scoringClientFactory, evidence, metrics);
//     samples.onView(view);
//     samples.handle(request, responder); // PUT /v1/trainers/{t}/steps/{n}, POST .../draw, DELETE, GET
//     samples.tick();                     // every 100 ms

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "bergamot/base/clock.h"
#include "bergamot/base/event_loop.h"
#include "bergamot/base/logging.h"
#include "bergamot/base/metrics.h"
#include "bergamot/evidence/evidence_sink.h"
#include "bergamot/http/message.h"
#include "bergamot/platform/engine.h"
#include "bergamot/platform/scoring.h"
#include "bergamot/protocol/generated/inner_generated.h"
#include "bergamot/samples/sample_scheduler.h"

namespace bergamot
{

struct SampleServiceOptions
{
    std::string instance;
    std::uint64_t incarnation = 0; // differs for each start of the process
    StepLimits limits;
    std::chrono::milliseconds maxWait{30000}; // upper limit for the wait of one draw
    std::chrono::milliseconds scoringTimeout{5000};
    std::chrono::milliseconds exportTimeout{2000};
    std::chrono::milliseconds cancelTimeout{2000};
};

/// Creates a client for the scoring service at an address.
using ScoringClientFactory = std::function<std::shared_ptr<ScoringService>(const Address &address)>;

/// Must be used on the thread of `loop` only. Steps are kept in memory; trainers submit them again after a restart.
class SampleService
{
public:
    SampleService(SampleServiceOptions options,
                  EventLoop &loop,
                  Clock &clock,
                  EngineClient &engines,
                  ScoringClientFactory scoringClientFactory,
                  EvidenceSink &evidence,
                  Metrics &metrics);
    ~SampleService();
    SampleService(const SampleService &) = delete;
    SampleService &operator=(const SampleService &) = delete;

    void handle(const HttpRequest &request, const ResponderPtr &responder);
    void onView(const inner::ViewT &view);
    void tick();

    /// Returns new reports since the last call on prompts that crash engines or were cleared. They are sent to the
    /// other instances of the failure domain together with the reports of entry processes; reports of others come with
    /// the view.
    std::vector<SuspectReport> takeSuspectChanges()
    {
        return m_scheduler.takeSuspectChanges();
    }

    const SchedulerCounters &counters() const
    {
        return m_scheduler.counters();
    }

private:
    void submit(const StepKey &key, const HttpRequest &request, const ResponderPtr &responder);
    void draw(const StepKey &key, const HttpRequest &request, const ResponderPtr &responder);
    void drop(const StepKey &key, const ResponderPtr &responder);
    void status(const TrainerId &trainer, const ResponderPtr &responder);

    void performActions();
    void perform(StartGeneration &action);
    void perform(CancelGeneration &action);
    void perform(ExportGeneration &action);
    void perform(StartScoring &action);
    void perform(AnswerDraw &action);
    void perform(RecordEvidence &action);
    web::json::value buildDelivery(const AnswerDraw &answer);
    void publishCounters();
    /// Returns a function that posts a task to the loop. The task is skipped if this service has been destroyed; the
    /// function can be called on any thread, also after that.
    std::function<void(std::function<void()> task)> poster();

    SampleServiceOptions m_options;
    EventLoop &m_loop;
    Clock &m_clock;
    EngineClient &m_engines;
    ScoringClientFactory m_scoringClientFactory;
    EvidenceSink &m_evidence;
    ComponentLogger m_log{"samples"};
    prometheus::Family<prometheus::Gauge> &m_totals;
    prometheus::Family<prometheus::Histogram> &m_staleness;
    SampleScheduler m_scheduler;
    std::map<Address, std::shared_ptr<ScoringService>> m_scoringClients;
    std::map<std::uint64_t, ResponderPtr> m_draws;
    std::uint64_t m_nextDraw = 1;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace bergamot
