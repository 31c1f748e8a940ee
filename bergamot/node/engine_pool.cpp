#include "bergamot/node/engine_pool.h"

namespace bergamot::node
{

EnginePool::EnginePool(boost::asio::io_context &loop,
                       net::HttpClient &client,
                       RequestForwarder &forwarder,
                       BatchLog &log,
                       FleetView &view,
                       QuotaExchange &quota,
                       const PlatformCodec &codec,
                       EventLog &eventLog,
                       EnginePoolOptions options,
                       std::uint64_t seed)
    : m_loop(loop)
    , m_client(client)
    , m_forwarder(forwarder)
    , m_log(log)
    , m_view(view)
    , m_quota(quota)
    , m_codec(codec)
    , m_eventLog(eventLog)
    , m_options(std::move(options))
    , m_random(seed)
    , m_scheduler(schedulerOptions())
{ }

dispatch::SampleSchedulerOptions EnginePool::schedulerOptions()
{
    dispatch::SampleSchedulerOptions scheduler = m_options.scheduler;
    scheduler.gate = &m_quota.sampleGate();
    scheduler.maxTextBytes = std::min(scheduler.maxTextBytes, m_log.options().maxRecordBytes * 15 / 16);
    scheduler.mayScore = [this](const batch::Item &item) {
        return mayScore(item);
    };
    return scheduler;
}

EnginePool::~EnginePool() = default;

void EnginePool::begin()
{
    m_active = true;
    ++m_generation;
    m_eventLog.write(EventKind::State, "pool-begin", {{"epoch", std::to_string(m_log.ownership().epoch())}});
    applyEndpoints();
    std::vector<std::pair<TimePoint, std::string>> open;
    for (const auto &[id, entry] : m_log.index().batches()) {
        if (!entry.ended && entry.results.size() < entry.totalItems) {
            open.emplace_back(entry.acceptedAt, id);
        }
    }
    std::sort(open.begin(), open.end());
    for (const auto &[acceptedAt, id] : open) {
        takeUp(id);
    }
}

void EnginePool::save()
{
    m_scheduler.saveAllProgress();
    performActions();
}

void EnginePool::end()
{
    m_active = false;
    ++m_generation;
    m_eventLog.write(EventKind::State, "pool-end", {{"running", std::to_string(m_runs.size())}});
    for (auto &[id, run] : m_runs) {
        if (run.call != nullptr) {
            run.call->cancel();
        }
    }
    m_runs.clear();
    for (const auto &[key, request] : m_scoringRequests) {
        m_forwarder.callerDisconnected(request);
    }
    m_scoringRequests.clear();
    m_loads.clear();
    m_earliestNextLoad.clear();
    m_acceptedOrders.clear();
    m_routes.clear();
    m_waitingBatches.clear();
    m_takes.clear();
    m_scheduler.clear();
}

bool EnginePool::active() const
{
    return m_active;
}

std::size_t EnginePool::runningSamples() const
{
    return m_runs.size();
}

std::size_t EnginePool::waitingSamples() const
{
    return m_scheduler.waitingItems();
}

void EnginePool::batchChanged(batch::BatchChange change, const batch::log::Record &record)
{
    if (!m_active) {
        return;
    }
    switch (change) {
    case batch::BatchChange::Accepted:
        takeUp(batch::stringOrEmpty(record.payload_as_BatchAccepted()->batch()));
        break;
    case batch::BatchChange::ResultCommitted: {
        const batch::log::ResultListed &committed = *record.payload_as_ResultListed();
        m_scheduler.resultCommitted({batch::stringOrEmpty(committed.batch()), committed.item()});
        break;
    }
    case batch::BatchChange::Ended: {
        const std::string batch = batch::stringOrEmpty(record.payload_as_BatchEnd()->batch());
        m_scheduler.endBatch(batch);
        m_routes.erase(batch);
        m_eventLog.write(EventKind::State, "batch-ended", {{"batch", batch}});
        break;
    }
    case batch::BatchChange::Nothing:
        break;
    }
    performActions();
}

void EnginePool::endpointsChanged()
{
    m_endpointsChanged = true; // with many engines the list changes constantly: it is applied once per tick
}

void EnginePool::endpointAlive(const std::string &endpoint, std::uint64_t incarnation, TimePoint aliveAt)
{
    if (m_active) {
        m_scheduler.engineAlive(endpoint, incarnation, aliveAt);
    }
}

void EnginePool::endpointLeaving()
{
    if (m_active) {
        applyEndpoints();
    }
}

void EnginePool::applyEndpoints()
{
    m_endpointsChanged = false;
    std::vector<dispatch::EngineDescription> engines;
    for (const auto &[id, endpoint] : m_view.endpoints()) {
        const auto service = m_view.configuration().services().find(endpoint.service);
        if (service == m_view.configuration().services().end() || !service->second.engine) {
            continue;
        }
        const fleet::EngineTraits &traits = *service->second.engine;
        dispatch::EngineDescription description{.id = id,
                                                .service = endpoint.service,
                                                .address = endpoint.address,
                                                .zone = endpoint.zone,
                                                .slots =
                                                    std::max(1U, endpoint.slots > 0 ? endpoint.slots : traits.slots),
                                                .memoryTokens = traits.memoryTokens,
                                                .draining = endpoint.leaving(),
                                                .incarnation = endpoint.incarnation,
                                                .versions = {},
                                                .softwareVersion = endpoint.softwareVersion};
        for (const fleet::ModelVersion &model : endpoint.models) {
            description.versions[model.model] = model.version;
        }
        std::uint64_t &knownIncarnation = m_incarnations[id];
        if (knownIncarnation != endpoint.incarnation) {
            knownIncarnation = endpoint.incarnation;
            m_acceptedOrders.erase(id);
            if (m_loads.contains(id)) {
                endLoad(id, "the engine has restarted");
            }
        }
        if (endpoint.leaving() && m_loads.contains(id)) {
            endLoad(id, "the engine is leaving");
        }
        const auto load = m_loads.find(id);
        if (load != m_loads.end() && load->second.phase == LoadPhase::Loading
            && description.versions[load->second.model] >= load->second.version) {
            m_scheduler.recordReportedVersion(id, load->second.model, description.versions[load->second.model]);
            endLoad(id, "loaded");
        }
        engines.push_back(std::move(description));
    }
    m_scheduler.setEngines(engines, BootClock::now());
    performActions();
}

void EnginePool::configurationChanged()
{
    if (!m_active) {
        return;
    }
    for (auto &[batch, routes] : m_routes) {
        m_scheduler.setPolicies(batch, itemPolicies(m_view.configuration(), routes.origin));
        updateAbsences(batch, routes);
    }
    applyEndpoints();
}

void EnginePool::tick(TimePoint now)
{
    if (!m_active) {
        return;
    }
    if (m_endpointsChanged) {
        applyEndpoints();
    }
    checkRoutes(now);
    endRunsWithoutProgress(now);
    takeUpWaiting();
    m_scheduler.setUnwrittenBytes(m_log.unwrittenPayloadBytes());
    m_scheduler.tick(now);
    logHeldStarts();
    advanceLoads(now);
    planLoads(now);
    performActions();
}

void EnginePool::performActions()
{
    if (m_performing) {
        return;
    }
    m_performing = true;
    for (auto actions = m_scheduler.takeActions(); !actions.empty(); actions = m_scheduler.takeActions()) {
        for (const dispatch::SchedulerAction &action : actions) {
            if (const auto *start = std::get_if<dispatch::StartRun>(&action)) {
                startRun(*start);
            } else if (const auto *cancel = std::get_if<dispatch::CancelRun>(&action)) {
                const auto run = m_runs.find(cancel->run);
                if (run != m_runs.end()) {
                    const std::shared_ptr<net::ClientCall> call = run->second.call;
                    writeRunEnd(run->second, dispatch::cancelCauseName(cancel->cause));
                    m_runs.erase(run);
                    call->cancel();
                }
            } else if (const auto *scoring = std::get_if<dispatch::StartScoring>(&action)) {
                startScoring(scoring->key);
            } else if (const auto *stop = std::get_if<dispatch::CancelScoring>(&action)) {
                const auto request = m_scoringRequests.find(stop->key);
                if (request != m_scoringRequests.end()) {
                    m_forwarder.callerDisconnected(request->second);
                    m_scoringRequests.erase(request);
                }
            } else if (const auto *list = std::get_if<dispatch::CommitResult>(&action)) {
                commitResult(list->result);
            } else if (const auto *save = std::get_if<dispatch::SaveProgress>(&action)) {
                saveProgress(save->progress);
            } else if (const auto *read = std::get_if<dispatch::ReadContents>(&action)) {
                readContents(*read);
            } else if (const auto *reserved = std::get_if<dispatch::EngineReserved>(&action)) {
                const batch::Item *item = m_scheduler.item(reserved->key);
                m_eventLog.write(EventKind::State,
                                 "engine-reserved",
                                 {{"engine", reserved->engine},
                                  {"batch", reserved->key.batch},
                                  {"item", item == nullptr ? std::string() : item->id},
                                  {"item_tokens", std::to_string(reserved->itemTokens)},
                                  {"used_tokens", std::to_string(reserved->usedTokens)}});
            }
        }
    }
    m_performing = false;
}

void EnginePool::logHeldStarts()
{
    const bool held = m_scheduler.startsHeldForTexts();
    if (held != std::exchange(m_startsHeld, held)) {
        m_eventLog.write(EventKind::State,
                         held ? "starts-held" : "starts-released",
                         {{"text_bytes", std::to_string(m_scheduler.memory().texts)},
                          {"unwritten_bytes", std::to_string(m_log.unwrittenPayloadBytes())}});
    }
}

dispatch::SchedulerMemory EnginePool::memory() const
{
    return m_scheduler.memory();
}

void EnginePool::checkRoutes(TimePoint now)
{
    for (auto &[batch, routes] : m_routes) {
        for (auto &[item, absence] : routes.absences) {
            if (absence.removed(false, now, m_view.configurationConfirmedAt())) {
                m_scheduler.routeRemoved({batch, item});
            }
        }
    }
}

} // namespace bergamot::node
