#pragma once

// The samples of the trainers that this instance owns, over HTTP: steps are handed in and drawn, and the scheduler's
// actions are carried out on engines and scoring services.
//
//     SampleService samples(options, loop, clock, engines, scoringAt, evidence, metrics);
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
    std::uint64_t incarnation = 0; // differs for each start
    StepLimits limits;
    std::chrono::milliseconds maxWait{30000}; // of one draw
    std::chrono::milliseconds scoringTimeout{5000};
    std::chrono::milliseconds exportTimeout{2000};
    std::chrono::milliseconds cancelTimeout{2000};
};

/// Gives the client of the scoring service at an address.
using ScoringAt = std::function<std::shared_ptr<ScoringService>(const Address &address)>;

/// Runs on the thread of `loop` alone. Steps live in memory: after a restart trainers hand them in again.
class SampleService
{
public:
    SampleService(SampleServiceOptions options,
                  EventLoop &loop,
                  Clock &clock,
                  EngineClient &engines,
                  ScoringAt scoringAt,
                  EvidenceSink &evidence,
                  Metrics &metrics);
    ~SampleService();
    SampleService(const SampleService &) = delete;
    SampleService &operator=(const SampleService &) = delete;

    void handle(const HttpRequest &request, const ResponderPtr &responder);
    void onView(const inner::ViewT &view);
    void tick();

    /// Prompts that were found to crash engines, or not to, since the last call: for the other instances of the failure
    /// domain, by the same way as the reports of entry processes. Theirs come in with the view.
    std::vector<SuspectReport> takeSuspectChanges()
    {
        return m_scheduler.takeSuspectChanges();
    }

    const SchedulerCounters &counters() const
    {
        return m_scheduler.counters();
    }

private:
    void handIn(const StepKey &key, const HttpRequest &request, const ResponderPtr &responder);
    void draw(const StepKey &key, const HttpRequest &request, const ResponderPtr &responder);
    void drop(const StepKey &key, const ResponderPtr &responder);
    void status(const TrainerId &trainer, const ResponderPtr &responder);

    void run();
    void perform(StartGeneration &action);
    void perform(CancelGeneration &action);
    void perform(ExportGeneration &action);
    void perform(StartScoring &action);
    void perform(AnswerDraw &action);
    void perform(RecordEvidence &action);
    web::json::value handedOver(const AnswerDraw &answer);
    void publishCounters();
    /// Runs tasks on the loop unless this service has gone by then; usable on any thread, also after that.
    std::function<void(std::function<void()> task)> poster();

    SampleServiceOptions m_options;
    EventLoop &m_loop;
    Clock &m_clock;
    EngineClient &m_engines;
    ScoringAt m_scoringAt;
    EvidenceSink &m_evidence;
    ComponentLogger m_log{"samples"};
    prometheus::Family<prometheus::Gauge> &m_totals;
    prometheus::Family<prometheus::Histogram> &m_staleness;
    SampleScheduler m_scheduler;
    std::map<Address, std::shared_ptr<ScoringService>> m_scorings;
    std::map<std::uint64_t, ResponderPtr> m_draws;
    std::uint64_t m_nextDraw = 1;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace bergamot
