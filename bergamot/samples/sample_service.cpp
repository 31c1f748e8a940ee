#include "bergamot/samples/sample_service.h"

#include "bergamot/base/hash.h"
#include "bergamot/base/json.h"
#include "bergamot/evidence/sample_receipt.h"
#include "bergamot/samples/fleet_view.h"
#include "bergamot/samples/internal/trainer_routes.h"

namespace bergamot
{

namespace
{

using web::json::value;

/// A total of the scheduler that is published as a metric.
struct TotalMetric
{
    const char *name;
    std::uint64_t SchedulerCounters::*total;
};

constexpr std::array TotalMetrics{
    TotalMetric{"handed_over", &SchedulerCounters::deliveredSamples},
    TotalMetric{"discarded_too_old", &SchedulerCounters::discardedTooOld},
    TotalMetric{"cancelled_too_old", &SchedulerCounters::cancelledTooOld},
    TotalMetric{"discarded_unproven", &SchedulerCounters::discardedUnproven},
    TotalMetric{"failed", &SchedulerCounters::failed},
    TotalMetric{"spares", &SchedulerCounters::speculativeCopies},
    TotalMetric{"moved", &SchedulerCounters::moved},
    TotalMetric{"given_back", &SchedulerCounters::releasedSlots},
    TotalMetric{"engine_deaths", &SchedulerCounters::engineDeaths},
    TotalMetric{"scoreless", &SchedulerCounters::scoreless},
    TotalMetric{"tokens_discarded", &SchedulerCounters::tokensDiscarded},
};

const prometheus::Histogram::BucketBoundaries StalenessBuckets{0, 1, 2, 3, 4, 6, 8, 12, 16};

SchedulerOptions schedulerOptions(const SampleServiceOptions &options)
{
    SchedulerOptions result;
    result.instance = options.instance;
    result.incarnation = options.incarnation;
    result.limits = options.limits;
    return result;
}

HttpResponse jsonResponse(const value &body)
{
    HttpResponse response;
    response.body = body.serialize();
    return response;
}

} // namespace

SampleService::SampleService(SampleServiceOptions options,
                             EventLoop &loop,
                             Clock &clock,
                             EngineClient &engines,
                             ScoringClientFactory scoringClientFactory,
                             EvidenceSink &evidence,
                             Metrics &metrics)
    : m_options(std::move(options))
    , m_loop(loop)
    , m_clock(clock)
    , m_engines(engines)
    , m_scoringClientFactory(std::move(scoringClientFactory))
    , m_evidence(evidence)
    , m_totals(metrics.gauges("bergamot_samples", "Samples by what became of them, since the start."))
    , m_staleness(metrics.histograms("bergamot_sample_staleness", "Versions behind at the hand-over, by trainer."))
    , m_scheduler(schedulerOptions(m_options))
{ }

SampleService::~SampleService()
{
    *m_alive = false;
}

std::function<void(std::function<void()> task)> SampleService::poster()
{
    return [this, poster = m_loop.poster(), alive = m_alive](std::function<void()> task) {
        poster.post([this, alive, task = std::move(task)] {
            if (*alive) {
                task();
                performActions();
            }
        });
    };
}

void SampleService::handle(const HttpRequest &request, const ResponderPtr &responder)
{
    const Result<TrainerRoute> route = parseTrainerRoute(request);
    if (!route) {
        responder->reply(errorResponse(route.error()));
        return;
    }
    switch (route->kind) {
    case TrainerRoute::Kind::Submit:
        submit(route->key, request, responder);
        break;
    case TrainerRoute::Kind::Draw:
        draw(route->key, request, responder);
        break;
    case TrainerRoute::Kind::Drop:
        drop(route->key, responder);
        break;
    case TrainerRoute::Kind::Status:
        status(route->key.trainer, responder);
        break;
    }
    performActions();
}

void SampleService::submit(const StepKey &key, const HttpRequest &request, const ResponderPtr &responder)
{
    const Result<value> body = parseJson(request.body);
    Result<StepSpec> spec = body ? parseStepSpec(*body, m_options.limits) : tl::unexpected(body.error());
    if (!spec) {
        responder->reply(errorResponse(spec.error()));
        return;
    }
    FieldReader reader(*body, "step");
    const std::string cursor = reader.optionalString("cursor", "");
    const Result<StepStatus> status = m_scheduler.submit(key, std::move(*spec), cursor, m_clock.now());
    responder->reply(status ? jsonResponse(statusJson(key, *status)) : errorResponse(status.error()));
}

void SampleService::draw(const StepKey &key, const HttpRequest &request, const ResponderPtr &responder)
{
    Result<DrawRequest> draw = parseDraw(request.body, m_options.maxWait, m_clock.now());
    if (!draw) {
        responder->reply(errorResponse(draw.error()));
        return;
    }
    draw->drawId = m_nextDraw++;
    draw->step = key;
    m_draws[draw->drawId] = responder;
    const std::uint64_t drawId = draw->drawId;
    if (const Result<void> accepted = m_scheduler.draw(std::move(*draw), m_clock.now()); !accepted) {
        m_draws.erase(drawId);
        responder->reply(errorResponse(accepted.error()));
    }
}

void SampleService::drop(const StepKey &key, const ResponderPtr &responder)
{
    m_scheduler.drop(key, m_clock.now());
    responder->reply(jsonResponse(value::object()));
}

void SampleService::status(const TrainerId &trainer, const ResponderPtr &responder)
{
    std::vector<value> steps;
    for (const auto &[key, status] : m_scheduler.status(trainer)) {
        steps.push_back(statusJson(key, status));
    }
    value body = value::object();
    body["trainer"] = value::string(trainer.value());
    body["steps"] = value::array(std::move(steps));
    responder->reply(jsonResponse(body));
}

void SampleService::onView(const inner::ViewT &view)
{
    Result<FleetState> fleetState = readFleetState(view);
    if (!fleetState) {
        m_log.error("Cannot read the view: " + fleetState.error().message + ".");
        return;
    }
    m_scheduler.setFleet(std::move(*fleetState), m_clock.now());
    performActions();
}

void SampleService::tick()
{
    m_scheduler.tick(m_clock.now());
    performActions();
    publishCounters();
}

void SampleService::performActions()
{
    for (SchedulerAction &action : m_scheduler.takeActions()) {
        std::visit(
            [this](auto &typed) {
                perform(typed);
            },
            action);
    }
}

void SampleService::perform(StartGeneration &action)
{
    const std::string requestId = action.request.requestId;
    const auto done = [this, requestId, post = poster()](const Result<Generation> &outcome) {
        post([this, requestId, outcome] {
            m_scheduler.generationEnded(requestId, outcome, m_clock.now());
        });
    };
    m_engines.generate(action.engine, action.request, action.timeout, done);
}

void SampleService::perform(CancelGeneration &action)
{
    m_engines.cancel(action.engine, action.requestId, m_options.cancelTimeout);
}

void SampleService::perform(ExportGeneration &action)
{
    const auto done = [this, requestId = action.requestId, post = poster()](const Result<std::string> &outcome) {
        post([this, requestId, outcome] {
            m_scheduler.exportEnded(requestId, outcome, m_clock.now());
        });
    };
    m_engines.exportCache(action.engine, action.requestId, m_options.exportTimeout, done);
}

void SampleService::perform(StartScoring &action)
{
    std::shared_ptr<ScoringService> &service = m_scoringClients[action.service];
    if (!service) {
        service = m_scoringClientFactory(action.service);
    }
    const auto done = [this, id = action.scoringId, post = poster()](const Result<double> &outcome) {
        post([this, id, outcome] {
            m_scheduler.scoringEnded(id, outcome, m_clock.now());
        });
    };
    service->score(action.prompt, action.text, m_options.scoringTimeout, done);
}

void SampleService::perform(RecordEvidence &action)
{
    m_evidence.record(std::move(action.kind), std::move(action.fields));
}

void SampleService::perform(AnswerDraw &action)
{
    const value body = buildDelivery(action);
    const auto draw = m_draws.find(action.drawId);
    if (draw != m_draws.end()) {
        draw->second->reply(jsonResponse(body));
        m_draws.erase(draw);
    }
}

web::json::value SampleService::buildDelivery(const AnswerDraw &answer)
{
    const EvidencePosition position = m_evidence.nextPosition();
    std::vector<value> samples;
    std::vector<value> evidence;
    for (const DeliveredSample &deliveredSample : answer.samples) {
        const std::string textDigest = sha256Hex(deliveredSample.sample.text);
        const SampleReceipt receipt =
            makeReceipt(toText(deliveredSample.id), textDigest, spansText(deliveredSample.sample.spans), position);
        samples.push_back(sampleJson(deliveredSample, toText(receipt)));
        evidence.push_back(sampleEvidence(deliveredSample, textDigest));
        m_staleness.Add({{"trainer", answer.step.trainer.value()}}, StalenessBuckets)
            .Observe(static_cast<double>(deliveredSample.staleness));
    }
    if (!answer.samples.empty()) {
        value record = value::object();
        record["step"] = value::string(toText(answer.step));
        record["bound"] = value::number(answer.stalenessBound);
        record["newest"] = value::number(answer.newest);
        record["samples"] = value::array(std::move(evidence));
        m_evidence.record("samples-handed-over", std::move(record));
    }
    return drawJson(answer, std::move(samples));
}

void SampleService::publishCounters()
{
    for (const TotalMetric &metric : TotalMetrics) {
        m_totals.Add({{"outcome", metric.name}}).Set(static_cast<double>(m_scheduler.counters().*metric.total));
    }
}

} // namespace bergamot
