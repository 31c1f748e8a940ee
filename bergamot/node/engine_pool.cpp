#include "bergamot/node/engine_pool.h"

#include <boost/asio/post.hpp>

#include "bergamot/node/service_choice.h"

namespace bergamot::node
{

namespace
{

constexpr int Ok = 200;
constexpr int Misdirected = 421;
constexpr int Unprocessable = 422;
constexpr int ServerError = 500;

std::uint64_t number(std::string_view text)
{
    std::uint64_t value = 0;
    for (const char digit : text) {
        if (digit < '0' || digit > '9') {
            return value;
        }
        value = value * 10 + static_cast<std::uint64_t>(digit - '0');
    }
    return value;
}

} // namespace

/// Takes the answer to a scoring call.
class EnginePool::ScoringSink final : public ForwardSink
{
public:
    ScoringSink(EnginePool &pool, dispatch::ItemKey key, std::uint64_t turn)
        : m_pool(pool)
        , m_key(std::move(key))
        , m_turn(turn)
    { }

    void answer(net::Response response) override
    {
        if (m_turn == m_pool.m_turn) {
            m_pool.scoringEnded(m_key, response.status, &response);
        }
    }
    void refuse(const RefuseAction &refusal) override
    {
        if (m_turn == m_pool.m_turn) {
            m_pool.scoringEnded(m_key, refusal.status, nullptr);
        }
    }
    void beginStream(const net::ResponseHead &head) override
    {
        m_streamed.status = head.status;
        m_streamed.headers = head.headers;
    }
    void write(std::string_view) override
    { }
    void finishStream() override
    {
        answer(std::move(m_streamed));
    }
    void abortStream() override
    {
        refuse({});
    }

private:
    EnginePool &m_pool;
    dispatch::ItemKey m_key;
    std::uint64_t m_turn;
    net::Response m_streamed;
};

EnginePool::EnginePool(boost::asio::io_context &loop,
                       net::HttpClient &client,
                       RequestForwarder &forwarder,
                       BatchLog &log,
                       FleetView &view,
                       const PlatformCodec &codec,
                       EventLog &eventLog,
                       EnginePoolOptions options,
                       std::uint64_t seed)
    : m_loop(loop)
    , m_client(client)
    , m_forwarder(forwarder)
    , m_log(log)
    , m_view(view)
    , m_codec(codec)
    , m_eventLog(eventLog)
    , m_options(std::move(options))
    , m_random(seed)
    , m_scheduler(m_options.scheduler)
{ }

EnginePool::~EnginePool() = default;

void EnginePool::begin()
{
    m_active = true;
    ++m_turn;
    m_eventLog.write(EventKind::State, "pool-begin", {{"epoch", std::to_string(m_log.ownership().epoch())}});
    endpointsChanged();
    for (const auto &[id, entry] : m_log.index().batches()) {
        if (!entry.ended && entry.results.size() < entry.totalItems) {
            loadBatch(id);
        }
    }
}

void EnginePool::save()
{
    m_scheduler.saveAll();
    perform();
}

void EnginePool::end()
{
    m_active = false;
    ++m_turn;
    m_eventLog.write(EventKind::State, "pool-end", {{"running", std::to_string(m_runs.size())}});
    for (auto &[id, run] : m_runs) {
        if (run.call != nullptr) {
            run.call->cancel();
        }
    }
    m_runs.clear();
    for (const auto &[key, request] : m_scorings) {
        m_forwarder.callerGone(request);
    }
    m_scorings.clear();
    m_loads.clear();
    m_loadNotBefore.clear();
    m_orderCounts.clear();
    m_addresses.clear();
    m_scheduler.clear();
}

bool EnginePool::active() const
{
    return m_active;
}

std::size_t EnginePool::running() const
{
    return m_runs.size();
}

std::size_t EnginePool::waiting() const
{
    return m_scheduler.waiting();
}

void EnginePool::batchChanged(batch::BatchChange change, const batch::log::Record &record)
{
    if (!m_active) {
        return;
    }
    switch (change) {
    case batch::BatchChange::Accepted:
        loadBatch(batch::text(record.payload_as_BatchAccepted()->batch()));
        break;
    case batch::BatchChange::ResultListed: {
        const batch::log::ResultListed &listed = *record.payload_as_ResultListed();
        m_scheduler.itemListed({batch::text(listed.batch()), listed.item()});
        break;
    }
    case batch::BatchChange::Ended: {
        const std::string batch = batch::text(record.payload_as_BatchEnd()->batch());
        m_scheduler.endBatch(batch);
        m_addresses.erase(batch);
        m_eventLog.write(EventKind::State, "batch-ended", {{"batch", batch}});
        break;
    }
    case batch::BatchChange::Nothing:
        break;
    }
    perform();
}

void EnginePool::loadBatch(const std::string &batch)
{
    const batch::BatchEntry *entry = m_log.index().find(batch);
    m_log.fetch(entry->partition,
                entry->parts,
                [this, batch, turn = m_turn](bool complete, const std::vector<LogRecord> &records) {
                    if (turn != m_turn) {
                        return;
                    }
                    const batch::BatchEntry *now = m_log.index().find(batch);
                    if (now == nullptr || now->ended) {
                        return;
                    }
                    if (!complete) {
                        auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, m_options.orderPause);
                        timer->async_wait([this, batch, turn, timer](const boost::system::error_code &) {
                            if (turn == m_turn && m_log.index().find(batch) != nullptr) {
                                loadBatch(batch);
                            }
                        });
                        return;
                    }
                    batch::Batch loaded{.id = batch,
                                        .host = now->host,
                                        .step = now->step,
                                        .model = now->model,
                                        .minVersion = now->minVersion,
                                        .wantedGroups = now->wantedGroups};
                    for (const LogRecord &fetched : records) {
                        const batch::log::Record *record = batch::parseRecord(fetched.bytes);
                        const batch::log::BatchPart *part =
                            record == nullptr ? nullptr : record->payload_as_BatchPart();
                        if (part == nullptr || part->items() == nullptr) {
                            continue;
                        }
                        for (const batch::log::Item *item : *part->items()) {
                            loaded.items.push_back(batch::toItem(*item));
                        }
                    }
                    if (loaded.items.empty()) {
                        return;
                    }
                    BatchAddress address{.host = loaded.host, .itemPath = loaded.items.front().path};
                    if (loaded.items.front().scoring) {
                        address.scoringHost = loaded.items.front().scoring->host;
                        address.scoringPath = loaded.items.front().scoring->path;
                    }
                    m_eventLog.write(EventKind::State,
                                     "batch-taken-up",
                                     {{"batch", batch},
                                      {"step", std::to_string(loaded.step)},
                                      {"items", std::to_string(loaded.items.size())},
                                      {"listed", std::to_string(now->results.size())},
                                      {"min_version", std::to_string(loaded.minVersion)}});
                    m_addresses[batch] = std::move(address);
                    restoreProgress(std::move(loaded));
                });
}

void EnginePool::restoreProgress(batch::Batch loaded)
{
    const std::string batch = loaded.id;
    std::vector<std::uint64_t> offsets;
    for (const auto &[item, saved] : m_log.index().find(loaded.id)->progress) {
        offsets.insert(offsets.end(), saved.begin(), saved.end());
    }
    std::sort(offsets.begin(), offsets.end());
    const auto take = [this, loaded = std::move(loaded), turn = m_turn](bool complete,
                                                                        const std::vector<LogRecord> &records) {
        const batch::BatchEntry *now = m_log.index().find(loaded.id);
        if (turn != m_turn || now == nullptr || now->ended) {
            return;
        }
        if (!complete) {
            m_eventLog.write(EventKind::State, "progress-unreadable", {{"batch", loaded.id}});
        }
        const auto address = m_addresses.find(loaded.id);
        m_scheduler.holdStarts();
        m_scheduler.addBatch(loaded, now->listed, routeOf(address->second), BootClock::now());
        for (const LogRecord &fetched : records) {
            const batch::log::Record *record = batch::parseRecord(fetched.bytes);
            if (record != nullptr && record->payload_as_ItemProgress() != nullptr) {
                m_scheduler.restore(batch::toProgress(*record->payload_as_ItemProgress()));
            }
        }
        m_scheduler.releaseStarts(BootClock::now());
        perform();
    };
    if (offsets.empty()) {
        take(true, {});
        return;
    }
    m_log.fetch(m_log.index().find(batch)->partition, std::move(offsets), take);
}

std::optional<dispatch::ItemRoute> EnginePool::routeOf(const BatchAddress &address) const
{
    const fleet::Route *route = m_view.configuration().match(address.host, address.itemPath);
    if (route == nullptr) {
        return std::nullopt;
    }
    const fleet::Route *scoring = m_view.configuration().match(address.scoringHost, address.scoringPath);
    dispatch::ItemRoute found{.maxAttempts = std::max(1U, route->maxAttempts),
                              .maxScoringFailures =
                                  std::max(route->maxAttempts, scoring == nullptr ? 1U : scoring->maxAttempts),
                              .singleVersion = route->singleVersion,
                              .resultDeadline = route->resultDeadline,
                              .retention = route->retention};
    for (const fleet::WeightedService &service : route->services) {
        found.services.push_back(service.service);
    }
    return found;
}

void EnginePool::endpointsChanged()
{
    if (!m_active) {
        return;
    }
    std::vector<dispatch::EngineFacts> engines;
    for (const auto &[id, endpoint] : m_view.endpoints()) {
        const auto service = m_view.configuration().services().find(endpoint.service);
        if (service == m_view.configuration().services().end() || !service->second.engine) {
            continue;
        }
        const fleet::EngineTraits &traits = *service->second.engine;
        dispatch::EngineFacts facts{.id = id,
                                    .service = endpoint.service,
                                    .address = endpoint.address,
                                    .zone = endpoint.zone,
                                    .slots = std::max(1U, endpoint.slots > 0 ? endpoint.slots : traits.slots),
                                    .memoryTokens = traits.memoryTokens,
                                    .draining = endpoint.draining,
                                    .incarnation = endpoint.incarnation};
        for (const fleet::ModelVersion &model : endpoint.models) {
            facts.versions[model.model] = model.version;
        }
        std::uint64_t &known = m_incarnations[id];
        if (known != endpoint.incarnation) {
            known = endpoint.incarnation;
            m_orderCounts.erase(id);
            if (m_loads.contains(id)) {
                endLoad(id, "the engine has restarted");
            }
        }
        const auto load = m_loads.find(id);
        if (load != m_loads.end() && load->second.phase == LoadPhase::Loading
            && facts.versions[load->second.model] >= load->second.version) {
            m_scheduler.versionSeen(id, load->second.model, facts.versions[load->second.model]);
            endLoad(id, "loaded");
        }
        engines.push_back(std::move(facts));
    }
    m_scheduler.setEngines(engines, BootClock::now());
    perform();
}

void EnginePool::configurationChanged()
{
    if (!m_active) {
        return;
    }
    for (const auto &[batch, address] : m_addresses) {
        m_scheduler.setRoute(batch, routeOf(address));
    }
    endpointsChanged();
}

void EnginePool::tick(TimePoint now)
{
    if (!m_active) {
        return;
    }
    checkRoutes(now);
    m_scheduler.tick(now);
    advanceLoads(now);
    planLoads(now);
    perform();
}

void EnginePool::perform()
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
                    m_runs.erase(run);
                    call->cancel();
                }
            } else if (const auto *scoring = std::get_if<dispatch::StartScoring>(&action)) {
                startScoring(scoring->key);
            } else if (const auto *stop = std::get_if<dispatch::CancelScoring>(&action)) {
                const auto request = m_scorings.find(stop->key);
                if (request != m_scorings.end()) {
                    m_forwarder.callerGone(request->second);
                    m_scorings.erase(request);
                }
            } else if (const auto *list = std::get_if<dispatch::ListResult>(&action)) {
                listResult(list->result);
            } else if (const auto *save = std::get_if<dispatch::SaveProgress>(&action)) {
                saveProgress(save->progress);
            }
        }
    }
    m_performing = false;
}

void EnginePool::startRun(const dispatch::StartRun &action)
{
    const batch::Item *item = m_scheduler.item(action.key);
    const std::string *host = m_scheduler.host(action.key.batch);
    if (item == nullptr || host == nullptr) {
        return;
    }
    const HeaderNames &names = m_codec.headers();
    net::ClientRequest request{.to = action.address,
                               .method = "POST",
                               .target = item->path,
                               .body = item->body,
                               .connectTimeout = m_options.connectTimeout,
                               .headTimeout = m_options.headTimeout,
                               .gapTimeout = m_options.gapTimeout,
                               .expectedEcho = item->id,
                               .echoHeader = names.requestId};
    for (const batch::ItemHeader &header : item->headers) {
        request.headers.add(header.name, header.value);
    }
    request.headers.set("Host", *host);
    request.headers.set(names.requestId, item->id);
    request.headers.set(names.expectedEndpoint, action.engine);
    request.headers.set(names.urgency, std::to_string(m_options.sampleUrgency));
    if (action.resumeAfter) {
        request.headers.set("Last-Event-Id", std::to_string(*action.resumeAfter));
    }
    if (action.expectedVersion) {
        request.headers.set(names.expectedVersion, std::to_string(*action.expectedVersion));
    }
    m_eventLog.write(EventKind::Request,
                     "sample-run",
                     {{"item", item->id},
                      {"batch", action.key.batch},
                      {"engine", action.engine},
                      {"after_event", action.resumeAfter ? std::to_string(*action.resumeAfter) : "start"}});
    const dispatch::RunId id = action.run;
    ActiveRun &run = m_runs[id];
    run.key = action.key;
    run.engine = action.engine;
    run.expectsVersion = action.expectedVersion.has_value();
    run.call = m_client.start(std::move(request),
                              {.onHead =
                                   [this, id](const net::ResponseHead &head) {
                                       runHead(id, head);
                                   },
                               .onData =
                                   [this, id](std::string_view data) {
                                       runData(id, data);
                                   },
                               .onEnd =
                                   [this, id](const net::CallEnd &end) {
                                       runEnd(id, end);
                                   }});
}

void EnginePool::runHead(dispatch::RunId id, const net::ResponseHead &head)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end()) {
        return;
    }
    ActiveRun &run = found->second;
    run.status = head.status;
    run.notExecuted = head.headers.has(m_codec.headers().notExecuted);
    if (head.status == Ok) {
        run.version = number(head.headers.find(m_codec.headers().weightVersions).value_or(""));
        m_scheduler.runStarted(id, run.version);
        const auto load = m_loads.find(run.engine);
        if (load != m_loads.end() && load->second.assumed && run.expectsVersion) {
            endLoad(run.engine, "loaded");
        }
    }
}

void EnginePool::runData(dispatch::RunId id, std::string_view data)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end() || found->second.status != Ok) {
        return;
    }
    const TimePoint now = BootClock::now();
    for (const dispatch::StreamEvent &event : found->second.reader.feed(data)) {
        ActiveRun &run = found->second;
        for (const auto &[name, value] : event.otherFields) {
            if (name == m_codec.headers().weightVersionField) {
                run.version = number(value);
            }
        }
        if (!event.id) {
            continue;
        }
        run.hasEvents = true;
        if (!m_scheduler.runEvent(id, *event.id, event.data, run.version, now)) {
            break;
        }
    }
    perform();
}

void EnginePool::runEnd(dispatch::RunId id, const net::CallEnd &end)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end()) {
        return;
    }
    const ActiveRun &run = found->second;
    if (end.failure != net::CallFailure::None) {
        const bool silent = end.failure == net::CallFailure::TimedOut || end.failure == net::CallFailure::NotConnected;
        if (silent && end.reused) {
            // The connection may have gone silent rather than the engine; the others may have as well.
            const auto endpoint = m_view.endpoints().find(run.engine);
            if (endpoint != m_view.endpoints().end()) {
                m_client.dropIdle(endpoint->second.address);
            }
        }
        const bool stale = end.failure == net::CallFailure::Lost && end.reused && run.status == 0;
        const dispatch::RunEnd lost = stale ? dispatch::RunEnd::StaleConnection : dispatch::RunEnd::Broken;
        endRun(id, silent ? dispatch::RunEnd::Silent : lost, end.detail);
        return;
    }
    if (run.status == Ok) {
        const bool whole = !run.reader.inEvent() && run.hasEvents;
        endRun(id, whole ? dispatch::RunEnd::Complete : dispatch::RunEnd::Broken, whole ? "complete" : "cut off");
    } else if (run.status == Misdirected) {
        endRun(id,
               run.expectsVersion ? dispatch::RunEnd::WrongVersion : dispatch::RunEnd::WrongEndpoint,
               "another endpoint or version");
    } else if (run.notExecuted) {
        endRun(id, dispatch::RunEnd::NotExecuted, "not executed");
    } else if (run.status == Unprocessable) {
        endRun(id, dispatch::RunEnd::Impossible, "the item can never be done");
    } else if (run.status == ServerError) {
        endRun(id, dispatch::RunEnd::Failed, "the engine failed");
    } else {
        endRun(id, dispatch::RunEnd::Broken, "status " + std::to_string(run.status));
    }
}

void EnginePool::endRun(dispatch::RunId id, dispatch::RunEnd end, std::string_view reason)
{
    const auto found = m_runs.find(id);
    if (end != dispatch::RunEnd::Complete) {
        const batch::Item *item = m_scheduler.item(found->second.key);
        m_eventLog.write(EventKind::Request,
                         "sample-run-ended",
                         {{"item", item == nullptr ? std::string() : item->id},
                          {"engine", found->second.engine},
                          {"status", std::to_string(found->second.status)},
                          {"reason", std::string(reason)}});
    }
    m_runs.erase(found);
    m_scheduler.runEnded(id, end, BootClock::now());
    perform();
}

void EnginePool::startScoring(const dispatch::ItemKey &key)
{
    const batch::Item *item = m_scheduler.item(key);
    if (item == nullptr || !item->scoring) {
        return;
    }
    const batch::ScoringCall &call = *item->scoring;
    const fleet::Route *route = m_view.configuration().match(call.host, call.path);
    if (route == nullptr || route->services.empty()) {
        m_eventLog.write(EventKind::Request, "scoring-without-route", {{"item", item->id}, {"host", call.host}});
        boost::asio::post(m_loop, [this, key, turn = m_turn] {
            if (turn == m_turn) {
                m_scheduler.scoringEnded(key, dispatch::ScoringEnd::NoAnswer, {}, BootClock::now());
                perform();
            }
        });
        return;
    }
    ForwardRequest request{.id = call.id,
                           .request = {.method = "POST", .target = call.path, .body = call.body},
                           .route = *route,
                           .service = chooseService(*route, m_random),
                           .receivedAt = BootClock::now(),
                           .callerWaits = route->timeout};
    request.request.headers.add("Host", call.host);
    request.request.headers.add(m_codec.headers().requestId, call.id);
    m_scorings[key] = m_forwarder.forward(std::move(request), std::make_shared<ScoringSink>(*this, key, m_turn));
}

void EnginePool::scoringEnded(const dispatch::ItemKey &key, int status, const net::Response *response)
{
    m_scorings.erase(key);
    const bool success = response != nullptr && status >= Ok && status < 300;
    const std::string_view stamp =
        success ? response->headers.find(m_codec.headers().stamp).value_or("") : std::string_view();
    dispatch::ScoringEnd end = dispatch::ScoringEnd::NoAnswer;
    if (success && !stamp.empty()) {
        end = dispatch::ScoringEnd::Scored;
    } else if (response != nullptr && status == ServerError) {
        end = dispatch::ScoringEnd::Failed;
    }
    m_scheduler.scoringEnded(key, end, std::string(stamp), BootClock::now());
    perform();
}

void EnginePool::listResult(const batch::ItemResult &result)
{
    m_log.writeWithPayload(
        m_log.payloadPartition(result.batch),
        batch::resultRecord(result),
        [batch = result.batch, item = result.item](std::uint64_t offset) {
            return batch::listedRecord(batch, item, offset);
        },
        [this, item = result.id, batch = result.batch, completed = result.completed](bool written) {
            m_eventLog.write(EventKind::Request,
                             written ? "result-listed" : "result-not-written",
                             {{"item", item}, {"batch", batch}, {"completed", completed ? "yes" : "no"}});
        });
}

void EnginePool::saveProgress(const batch::ItemProgress &progress)
{
    m_log.writeWithPayload(
        m_log.payloadPartition(progress.batch),
        batch::progressRecord(progress),
        [batch = progress.batch, item = progress.item](std::uint64_t offset) {
            return batch::savedRecord(batch, item, offset);
        },
        nullptr);
}

void EnginePool::checkRoutes(TimePoint now)
{
    const bool fresh =
        m_view.configuration().version() > 0 && m_view.configurationAge(now) <= m_options.freshConfiguration;
    for (auto &[batch, address] : m_addresses) {
        if (!fresh || m_view.configuration().match(address.host, address.itemPath) != nullptr) {
            address.withoutRouteSince.reset();
            continue;
        }
        if (!address.withoutRouteSince) {
            address.withoutRouteSince = now;
        }
        if (now - *address.withoutRouteSince >= m_options.routeGoneAfter) {
            m_scheduler.routeGone(batch);
        }
    }
}

void EnginePool::planLoads(TimePoint now)
{
    std::map<std::string, dispatch::ModelDemand> demand;
    for (const auto &[model, version] : m_view.namedVersions()) {
        demand[model] = {.work = m_scheduler.demand(model),
                         .named = version,
                         .needed = m_scheduler.neededVersion(model),
                         .waiting = m_scheduler.waiting(model)};
    }
    while (true) {
        std::vector<dispatch::LoadCandidate> candidates;
        for (const dispatch::SampleScheduler::EngineLoad &engine : m_scheduler.engineLoads(now)) {
            candidates.push_back(
                {.engine = engine.id,
                 .versions = engine.versions,
                 .runs = engine.runs,
                 .loading = engine.loading,
                 .usable = engine.usable && !m_loads.contains(engine.id) && now >= m_loadNotBefore[engine.id],
                 .mayOrder = m_log.ownership().mayOrder(engine.id, now)});
        }
        m_homes.update(candidates, demand);
        const std::optional<dispatch::PlannedLoad> planned = nextLoad(candidates, demand, m_homes, m_options.loads);
        if (!planned) {
            return;
        }
        beginLoad(*planned);
    }
}

void EnginePool::beginLoad(const dispatch::PlannedLoad &planned)
{
    m_scheduler.loadStarted(planned.engine, planned.model);
    Load &load = m_loads[planned.engine];
    load = {.engine = planned.engine,
            .model = planned.model,
            .version = planned.version,
            .since = BootClock::now(),
            .intendedAt = BootClock::now()};
    m_eventLog.write(
        EventKind::State,
        "load-planned",
        {{"engine", planned.engine}, {"model", planned.model}, {"version", std::to_string(planned.version)}});
    m_log.writer().write(
        batch::loadIntentRecord(m_log.ownership().epoch(), planned.engine, planned.model, planned.version),
        [this, engine = planned.engine, turn = m_turn](bool written) {
            const auto found = m_loads.find(engine);
            if (turn != m_turn || found == m_loads.end()) {
                return;
            }
            found->second.intendedAt = BootClock::now();
            if (!written) {
                failLoad(engine, "the intent was not written");
            } else if (m_orderCounts.contains(engine)) {
                sendOrder(engine);
            } else {
                askReport(engine);
            }
        });
}

void EnginePool::callEngine(const std::string &engine,
                            const net::Request &request,
                            std::function<void(int status, const std::string &body, const net::CallEnd &end)> done)
{
    const auto endpoint = m_view.endpoints().find(engine);
    if (endpoint == m_view.endpoints().end()) {
        failLoad(engine, "the engine is gone");
        return;
    }
    net::ClientRequest outgoing{.to = endpoint->second.address,
                                .method = request.method,
                                .target = request.target,
                                .headers = request.headers,
                                .body = request.body,
                                .connectTimeout = m_options.connectTimeout,
                                .headTimeout = m_options.orderTimeout,
                                .gapTimeout = m_options.orderTimeout};
    outgoing.headers.set("Host", toString(endpoint->second.address));
    outgoing.headers.set(m_codec.headers().expectedEndpoint, engine);
    struct Answer
    {
        int status = 0;
        std::string body;
    };
    auto answer = std::make_shared<Answer>();
    m_client.start(std::move(outgoing),
                   {.onHead =
                        [answer](const net::ResponseHead &head) {
                            answer->status = head.status;
                        },
                    .onData =
                        [answer](std::string_view data) {
                            answer->body += data;
                        },
                    .onEnd =
                        [this, answer, turn = m_turn, done = std::move(done)](const net::CallEnd &end) {
                            if (turn == m_turn) {
                                done(answer->status, answer->body, end);
                                perform();
                            }
                        }});
}

void EnginePool::askReport(const std::string &engine)
{
    Load &load = m_loads[engine];
    load.phase = LoadPhase::Asking;
    load.since = BootClock::now();
    callEngine(
        engine, m_codec.reportCall(), [this, engine](int status, const std::string &body, const net::CallEnd &end) {
            const auto found = m_loads.find(engine);
            if (found == m_loads.end()) {
                return;
            }
            if (end.failure != net::CallFailure::None || status != Ok) {
                failLoad(engine, "no report: " + (end.detail.empty() ? std::to_string(status) : end.detail));
                return;
            }
            const Result<EngineReport> report = m_codec.report(body);
            if (!report) {
                failLoad(engine, report.error().message);
                return;
            }
            takeReport(engine, *report);
        });
}

void EnginePool::takeReport(const std::string &engine, const EngineReport &report)
{
    Load &load = m_loads[engine];
    m_orderCounts[engine] = report.orders;
    const auto version = report.versions.find(load.model);
    if (version != report.versions.end() && version->second >= load.version) {
        m_scheduler.versionSeen(engine, load.model, version->second);
        endLoad(engine, "loaded");
        return;
    }
    if (report.busy) {
        pauseLoad(load);
        return;
    }
    if (BootClock::now() - load.intendedAt > m_options.intentValidFor) {
        endLoad(engine, "the intent is too old");
        return;
    }
    sendOrder(engine);
}

void EnginePool::confirmLoad(const std::string &engine)
{
    Load &load = m_loads[engine];
    load.asking = true;
    callEngine(engine, m_codec.reportCall(), [this, engine](int status, const std::string &body, const net::CallEnd &) {
        const auto found = m_loads.find(engine);
        if (found == m_loads.end()) {
            return;
        }
        Load &asked = found->second;
        asked.asking = false;
        asked.confirmAt = BootClock::now() + m_options.confirmEvery;
        const Result<EngineReport> report = m_codec.report(body);
        if (status != Ok || !report) {
            return; // asked again until its patience ends
        }
        const auto version = report->versions.find(asked.model);
        if (version != report->versions.end() && version->second >= asked.version) {
            m_scheduler.versionSeen(engine, asked.model, version->second);
            endLoad(engine, "loaded");
        }
    });
}

void EnginePool::sendOrder(const std::string &engine)
{
    Load &load = m_loads[engine];
    load.phase = LoadPhase::Ordering;
    load.since = BootClock::now();
    const LoadOrder order{.model = load.model,
                          .version = load.version,
                          .holder = m_options.holder,
                          .fencing = m_log.ownership().epoch(),
                          .expectedOrders = m_orderCounts[engine]};
    m_eventLog.write(EventKind::State,
                     "load-ordered",
                     {{"engine", engine},
                      {"version", std::to_string(load.version)},
                      {"fencing", std::to_string(order.fencing)},
                      {"expected_orders", std::to_string(order.expectedOrders)}});
    callEngine(
        engine, m_codec.loadOrder(order), [this, engine](int status, const std::string &, const net::CallEnd &end) {
            if (m_loads.contains(engine)) {
                orderAnswered(engine, status, end);
            }
        });
}

void EnginePool::orderAnswered(const std::string &engine, int status, const net::CallEnd &end)
{
    constexpr int Accepted = 202;
    constexpr int Conflict = 409;
    Load &load = m_loads[engine];
    m_eventLog.write(EventKind::State,
                     "load-answered",
                     {{"engine", engine}, {"status", std::to_string(status)}, {"detail", end.detail}});
    if (end.failure != net::CallFailure::None || status == Conflict) {
        // The order may have been accepted, or another one was: the engine's report tells.
        m_orderCounts.erase(engine);
        pauseLoad(load);
        return;
    }
    if (status == Accepted) {
        ++m_orderCounts[engine];
        load.phase = LoadPhase::Loading;
        load.since = BootClock::now();
        return;
    }
    if (status == Ok) {
        m_scheduler.versionSeen(engine, load.model, load.version);
        endLoad(engine, "holds already");
        return;
    }
    m_orderCounts.erase(engine);
    failLoad(engine, "refused with status " + std::to_string(status));
}

void EnginePool::pauseLoad(Load &load)
{
    load.phase = LoadPhase::Pausing;
    load.since = BootClock::now();
}

void EnginePool::endLoad(const std::string &engine, std::string_view reason)
{
    m_eventLog.write(EventKind::State, "load-ended", {{"engine", engine}, {"reason", std::string(reason)}});
    m_scheduler.loadAbandoned(engine);
    m_loads.erase(engine);
}

void EnginePool::failLoad(const std::string &engine, std::string_view reason)
{
    m_loadNotBefore[engine] = BootClock::now() + m_options.loadFailurePause;
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
        const Duration waited = now - load.since;
        if (load.phase == LoadPhase::Pausing && waited >= m_options.orderPause) {
            if (now - load.intendedAt > m_options.intentValidFor) {
                // A new intent is written before the engine is ordered again.
                beginLoad({.engine = engine, .model = load.model, .version = load.version});
            } else {
                askReport(engine);
            }
        } else if (load.phase == LoadPhase::Loading && waited >= m_options.loadPatience) {
            m_orderCounts.erase(engine);
            pauseLoad(load);
        } else if (load.phase == LoadPhase::Loading && !load.assumed && waited >= m_options.usualLoad) {
            load.assumed = true;
            load.confirmAt = now + m_options.confirmEvery;
            m_scheduler.loadFinished(engine, load.model, load.version);
        } else if (load.phase == LoadPhase::Loading && load.assumed && !load.asking && now >= load.confirmAt) {
            confirmLoad(engine);
        }
    }
}

} // namespace bergamot::node
