// Loading of weight versions onto engines: intent, report, order, confirmation.

#include "bergamot/node/engine_pool.h"

#include "bergamot/net/status.h"

namespace bergamot::node
{

using namespace net::status;

namespace
{

std::string joined(const std::set<std::string> &names)
{
    std::string result;
    for (const std::string &name : names) {
        result += (result.empty() ? "" : ",") + name;
    }
    return result;
}

} // namespace

void EnginePool::planLoads(TimePoint now)
{
    std::map<std::string, dispatch::ModelDemand> demand;
    for (const auto &[model, version] : m_view.namedVersions()) {
        const auto groups = m_scheduler.serviceDemands(model);
        for (const dispatch::SampleScheduler::ServiceDemand &group : groups) {
            const std::string name = groups.size() == 1 ? model : model + " at " + joined(group.services);
            demand[name] = {.model = model,
                            .slotSeconds = group.share * m_scheduler.slotSecondsPerBatch(model),
                            .peakSamples = group.share * m_scheduler.peakSamples(model),
                            .newestVersion = version,
                            .minVersion = m_scheduler.requiredVersion(model),
                            .waitingSamples = group.waitingSamples,
                            .runsContinueAcrossLoads = m_scheduler.allowsMixedVersions(model),
                            .services = group.services};
        }
    }
    std::vector<dispatch::LoadCandidate> candidates;
    for (dispatch::SampleScheduler::EngineStatus &engine : m_scheduler.engineStatuses(now)) {
        const auto earliestNextLoad = m_earliestNextLoad.find(engine.id);
        const bool paused = earliestNextLoad != m_earliestNextLoad.end() && now < earliestNextLoad->second;
        const auto load = m_loads.find(engine.id);
        candidates.push_back(
            {.engine = engine.id,
             .service = std::move(engine.service),
             .versions = std::move(engine.versions),
             .runs = engine.runs,
             .slots = engine.slots,
             // An engine counts as loading until its load is confirmed: concurrent loads slow each other down.
             .loading = engine.loading || load != m_loads.end(),
             .loadOverdue = load != m_loads.end() && now - load->second.beganAt > m_options.loadOverdueAfter,
             .acceptsRuns = engine.acceptsRuns && !paused,
             .mayOrderLoad = m_log.ownership().mayOrderLoad(engine.id, now),
             .draining = engine.draining});
    }
    for (const dispatch::AssignmentChange &change :
         m_modelAssignments.update(candidates, demand, m_options.loads, now)) {
        m_eventLog.write(EventKind::State,
                         "engine-assigned",
                         {{"engine", change.engine},
                          {"from", change.from},
                          {"model", change.to},
                          {"assigned", std::to_string(change.assigned)},
                          {"target", std::to_string(change.target)},
                          {"engines", std::to_string(candidates.size())},
                          {"reason", std::string(dispatch::assignmentReasonName(change.reason))}});
    }
    for (const dispatch::PlannedLoad &planned : nextLoads(candidates, demand, m_modelAssignments, m_options.loads)) {
        beginLoad(planned);
    }
}

void EnginePool::beginLoad(const dispatch::PlannedLoad &planned)
{
    m_scheduler.loadStarted(planned.engine, planned.model);
    const auto earlier = m_loads.find(planned.engine);
    const TimePoint beganAt = earlier == m_loads.end() ? BootClock::now() : earlier->second.beganAt;
    Load &load = m_loads[planned.engine];
    load = {.engine = planned.engine,
            .model = planned.model,
            .version = planned.version,
            .beganAt = beganAt,
            .phaseStart = BootClock::now(),
            .intentAt = BootClock::now()};
    m_eventLog.write(
        EventKind::State,
        "load-planned",
        {{"engine", planned.engine}, {"model", planned.model}, {"version", std::to_string(planned.version)}});
    m_log.writer().write(
        batch::loadIntentRecord(m_log.ownership().epoch(), planned.engine, planned.model, planned.version),
        [this, engine = planned.engine, generation = m_generation](bool written) {
            const auto found = m_loads.find(engine);
            if (generation != m_generation || found == m_loads.end()) {
                return;
            }
            found->second.intentAt = m_log.writer().acknowledgedCallSentAt();
            if (!written) {
                failLoad(engine, "the intent was not written");
            } else if (intentExpired(found->second)) {
                // The process was paused, or the store answered late.
                endLoad(engine, "the intent has expired");
            } else if (m_acceptedOrders.contains(engine)) {
                sendOrder(engine);
            } else {
                requestReport(engine);
            }
        });
}

bool EnginePool::callEngine(const std::string &engine,
                            std::string_view kind,
                            const net::Request &request,
                            CallPriority priority,
                            std::function<void(int status, const std::string &body, const net::CallEnd &end)> done)
{
    const auto endpoint = m_view.endpoints().find(engine);
    if (endpoint == m_view.endpoints().end()) {
        failLoad(engine, "the engine is no longer registered");
        return true;
    }
    if (endpoint->second.leaving()) {
        failLoad(engine, "the engine is leaving");
        return true;
    }
    const EndpointProcess process{EndpointId(engine), endpoint->second.incarnation};
    if (!m_quota.takeForCall(process, priority, BootClock::now())) {
        m_eventLog.write(EventKind::State,
                         "engine-call-delayed",
                         {{"engine", engine}, {"call", std::string(kind)}, {"reason", "limit"}});
        return false;
    }
    net::ClientRequest outgoing{.to = endpoint->second.address,
                                .method = request.method,
                                .target = request.target,
                                .headers = request.headers,
                                .body = request.body,
                                .newConnection = true, // an answer does not say which call it belongs to
                                .connectTimeout = m_options.connectTimeout,
                                .headTimeout = m_options.orderTimeout,
                                .bodyGapTimeout = m_options.orderTimeout,
                                .answerTimeout = m_options.orderTimeout,
                                .maxBodyBytes = MaxReportBytes};
    outgoing.headers.set("Host", toString(endpoint->second.address));
    outgoing.headers.set(m_codec.headers().expectedEndpoint, engine);
    struct Answer
    {
        int status = 0;
        std::string body;
    };
    auto answer = std::make_shared<Answer>();
    m_client.start(
        std::move(outgoing),
        {.onHead =
             [this, answer, engine, incarnation = endpoint->second.incarnation, kind](const net::ResponseHead &head) {
                 answer->status = head.status;
                 m_quota.heardAnswer({EndpointId(engine), incarnation},
                                     head.status,
                                     head.headers.find(m_codec.headers().limit).value_or(""));
                 if (saysLeaving(m_codec.headers(), head.headers)) {
                     m_view.endpointLeaving(engine, incarnation, kind);
                 }
             },
         .onData =
             [answer](std::string_view data) {
                 answer->body += data;
             },
         .onEnd =
             [this, answer, generation = m_generation, done = std::move(done)](const net::CallEnd &end) {
                 if (generation == m_generation) {
                     done(answer->status, answer->body, end);
                     performActions();
                 }
             }});
    return true;
}

void EnginePool::requestReport(const std::string &engine)
{
    Load &load = m_loads[engine];
    load.phase = LoadPhase::RequestingReport;
    load.phaseStart = BootClock::now();
    const bool called = callEngine(engine,
                                   "report",
                                   m_codec.reportRequest(),
                                   CallPriority::AheadOfRequests,
                                   [this, engine](int status, const std::string &body, const net::CallEnd &end) {
                                       const auto found = m_loads.find(engine);
                                       if (found == m_loads.end()) {
                                           return;
                                       }
                                       if (end.failure != net::CallFailure::None || status != Ok) {
                                           failLoad(engine,
                                                    "the report request failed: "
                                                        + (end.detail.empty() ? std::to_string(status) : end.detail));
                                           return;
                                       }
                                       const Result<EngineReport> report = m_codec.report(body);
                                       if (!report) {
                                           failLoad(engine, report.error().message);
                                           return;
                                       }
                                       applyReport(engine, *report);
                                   });
    if (!called) {
        pauseLoad(load);
    }
}

void EnginePool::applyReport(const std::string &engine, const EngineReport &report)
{
    Load &load = m_loads[engine];
    m_acceptedOrders[engine] = report.acceptedOrders;
    const auto version = report.versions.find(load.model);
    if (version != report.versions.end() && version->second >= load.version) {
        m_scheduler.recordReportedVersion(engine, load.model, version->second);
        endLoad(engine, "loaded");
        return;
    }
    if (report.busy) {
        pauseLoad(load);
        return;
    }
    if (intentExpired(load)) {
        endLoad(engine, "the intent has expired");
        return;
    }
    sendOrder(engine);
}

void EnginePool::confirmLoad(const std::string &engine)
{
    Load &load = m_loads[engine];
    load.confirming = true;
    const bool called = callEngine(
        engine,
        "report",
        m_codec.reportRequest(),
        CallPriority::AsRequests,
        [this, engine](int status, const std::string &body, const net::CallEnd &end) {
            const auto found = m_loads.find(engine);
            if (found == m_loads.end()) {
                return;
            }
            Load &current = found->second;
            current.confirming = false;
            current.nextConfirmAt = BootClock::now() + m_options.confirmInterval;
            const Result<EngineReport> report = m_codec.report(body);
            if (end.failure != net::CallFailure::None || status != Ok || !report) {
                m_eventLog.write(EventKind::State,
                                 "load-unconfirmed",
                                 {{"engine", engine}, {"status", std::to_string(status)}, {"detail", end.detail}});
                return; // requested again until `loadTimeout`
            }
            const auto version = report->versions.find(current.model);
            if (version != report->versions.end() && version->second >= current.version) {
                m_scheduler.recordReportedVersion(engine, current.model, version->second);
                endLoad(engine, "loaded");
            }
        });
    if (!called) {
        load.confirming = false;
        load.nextConfirmAt = BootClock::now() + m_options.confirmInterval;
    }
}

void EnginePool::sendOrder(const std::string &engine)
{
    Load &load = m_loads[engine];
    load.phase = LoadPhase::SendingOrder;
    load.phaseStart = BootClock::now();
    const LoadOrder order{.model = load.model,
                          .version = load.version,
                          .holder = m_options.holder,
                          .fencingToken = m_log.ownership().epoch(),
                          .expectedOrderCount = m_acceptedOrders[engine],
                          .runsContinueAcrossLoads = m_scheduler.allowsMixedVersions(load.model)};
    m_eventLog.write(EventKind::State,
                     "load-ordered",
                     {{"engine", engine},
                      {"version", std::to_string(load.version)},
                      {"fencing", std::to_string(order.fencingToken)},
                      {"expected_orders", std::to_string(order.expectedOrderCount)}});
    const bool called = callEngine(engine,
                                   "order",
                                   m_codec.loadOrderRequest(order),
                                   CallPriority::AheadOfRequests,
                                   [this, engine](int status, const std::string &, const net::CallEnd &end) {
                                       if (m_loads.contains(engine)) {
                                           handleOrderResponse(engine, status, end);
                                       }
                                   });
    if (!called) {
        pauseLoad(load);
    }
}

void EnginePool::handleOrderResponse(const std::string &engine, int status, const net::CallEnd &end)
{
    Load &load = m_loads[engine];
    m_eventLog.write(EventKind::State,
                     "load-answered",
                     {{"engine", engine}, {"status", std::to_string(status)}, {"detail", end.detail}});
    if (end.failure != net::CallFailure::None || status == Conflict) {
        // The order may have been accepted, or another order was accepted before it: the engine's report decides.
        m_acceptedOrders.erase(engine);
        pauseLoad(load);
        return;
    }
    if (status == Accepted) {
        ++m_acceptedOrders[engine];
        load.phase = LoadPhase::Loading;
        load.phaseStart = BootClock::now();
        return;
    }
    if (status == Ok) {
        m_scheduler.recordReportedVersion(engine, load.model, load.version);
        endLoad(engine, "the engine already has this version");
        return;
    }
    m_acceptedOrders.erase(engine);
    failLoad(engine, "refused with status " + std::to_string(status));
}

void EnginePool::endLoadIfVersionReached(const ActiveRun &run)
{
    const auto load = m_loads.find(run.engine);
    if (load != m_loads.end() && load->second.model == run.model && run.version >= load->second.version) {
        endLoad(run.engine, "loaded");
    }
}

bool EnginePool::intentExpired(const Load &load) const
{
    return BootClock::now() - load.intentAt > m_options.intentValidFor;
}

void EnginePool::pauseLoad(Load &load)
{
    load.phase = LoadPhase::WaitingToRetry;
    load.phaseStart = BootClock::now();
}

void EnginePool::endLoad(const std::string &engine, std::string_view reason)
{
    m_eventLog.write(EventKind::State, "load-ended", {{"engine", engine}, {"reason", std::string(reason)}});
    m_scheduler.loadCancelled(engine);
    m_loads.erase(engine);
}

void EnginePool::failLoad(const std::string &engine, std::string_view reason)
{
    m_earliestNextLoad[engine] = BootClock::now() + m_options.loadFailurePause;
    endLoad(engine, reason);
}

void EnginePool::advanceLoads(TimePoint now)
{
    std::vector<std::string> engines;
    for (const auto &[engine, load] : m_loads) {
        engines.push_back(engine);
    }
    for (const std::string &engine : engines) {
        const auto found = m_loads.find(engine);
        if (found == m_loads.end()) {
            continue;
        }
        Load &load = found->second;
        const Duration phaseAge = now - load.phaseStart;
        if (load.phase == LoadPhase::WaitingToRetry && phaseAge >= m_options.retryPause) {
            if (intentExpired(load)) {
                // The intent has expired: a new one is written before the next order.
                beginLoad({.engine = engine, .model = load.model, .version = load.version});
            } else {
                requestReport(engine);
            }
        } else if (load.phase == LoadPhase::Loading && phaseAge >= m_options.loadTimeout) {
            m_acceptedOrders.erase(engine);
            pauseLoad(load);
        } else if (load.phase == LoadPhase::Loading && !load.assumedLoaded && phaseAge >= m_options.expectedLoadTime) {
            load.assumedLoaded = true;
            load.nextConfirmAt = now + m_options.confirmInterval;
            m_scheduler.loadFinished(engine, load.model, load.version);
        } else if (load.phase == LoadPhase::Loading && load.assumedLoaded && !load.confirming
                   && now >= load.nextConfirmAt) {
            confirmLoad(engine);
        }
    }
}

} // namespace bergamot::node
