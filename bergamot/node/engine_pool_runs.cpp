// Processing of samples: runs on engines, scoring calls, results.

#include "bergamot/node/engine_pool.h"

#include <boost/asio/post.hpp>

#include "bergamot/net/status.h"
#include "bergamot/node/service_choice.h"
#include "bergamot/node/store_events.h"

namespace bergamot::node
{

using namespace net::status;

namespace
{

std::uint64_t parseNumber(std::string_view text)
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

/// Receives the response to a scoring call.
class EnginePool::ScoringSink final : public ForwardSink
{
public:
    ScoringSink(EnginePool &pool, dispatch::ItemKey key, std::uint64_t generation)
        : m_pool(pool)
        , m_key(std::move(key))
        , m_generation(generation)
    { }

    void answer(net::Response response) override
    {
        if (m_generation == m_pool.m_generation) {
            m_pool.handleScoringEnd(m_key, response.status, &response);
        }
    }
    void refuse(const RefuseAction &refusal) override
    {
        if (m_generation == m_pool.m_generation) {
            m_pool.handleScoringEnd(m_key, refusal.status, nullptr, refusal.retryAfter);
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
    std::size_t queuedBytes() const override
    {
        return 0;
    }

private:
    EnginePool &m_pool;
    dispatch::ItemKey m_key;
    std::uint64_t m_generation;
    net::Response m_streamed;
};

void EnginePool::startRun(const dispatch::StartRun &action)
{
    const batch::Item *item = m_scheduler.item(action.key);
    const std::string *host = m_scheduler.batchHost(action.key.batch);
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
                               .bodyGapTimeout = m_options.gapTimeout,
                               .answerTimeout = Duration::max(), // `endRunsWithoutProgress` bounds every response
                               .acceptsStream =
                                   [this](const net::ResponseHead &head) {
                                       return head.status == Ok && !head.headers.has(m_codec.headers().notExecuted);
                                   },
                               .expectedEcho = item->id,
                               .echoHeader = names.requestId};
    for (const batch::ItemHeader &header : item->headers) {
        request.headers.add(header.name, header.value);
    }
    if (m_view.configuration().tenants()) {
        const batch::BatchEntry *entry = m_log.index().find(action.key.batch);
        nameTenant(names, entry == nullptr ? std::string() : entry->tenant, request.headers);
    }
    request.headers.set("Host", *host);
    request.headers.set(names.requestId, item->id);
    request.headers.set(names.expectedEndpoint, action.engine);
    request.headers.set(names.urgency, std::to_string(m_options.sampleUrgency));
    if (action.resumeAfter) {
        request.headers.set(names.lastEvent, std::to_string(*action.resumeAfter));
    }
    if (action.expectedVersion) {
        request.headers.set(names.expectedVersion, std::to_string(*action.expectedVersion));
    }
    if (action.discardedEvents > 0) {
        m_eventLog.write(EventKind::Request,
                         "sample-text-discarded",
                         {{"item", item->id},
                          {"events", std::to_string(action.discardedEvents)},
                          {"software", action.discardedSoftware},
                          {"engine", action.engine}});
    }
    const auto endpoint = m_view.endpoints().find(action.engine);
    const bool listed = endpoint != m_view.endpoints().end();
    m_eventLog.write(EventKind::Request,
                     "sample-run",
                     {{"item", item->id},
                      {"batch", action.key.batch},
                      {"engine", action.engine},
                      {"incarnation", std::to_string(listed ? endpoint->second.incarnation : 0)},
                      {"software", listed ? endpoint->second.softwareVersion : std::string()},
                      {"endpoints_age_ms", milliseconds(m_view.endpointsAge(BootClock::now()))},
                      {"after_event", action.resumeAfter ? std::to_string(*action.resumeAfter) : "start"}});
    const dispatch::RunId id = action.run;
    ActiveRun &run = m_runs[id];
    run.key = action.key;
    run.engine = action.engine;
    run.incarnation = listed ? endpoint->second.incarnation : 0;
    run.model = action.model;
    run.expectsVersion = action.expectedVersion.has_value();
    run.resumed = action.resumeAfter.has_value();
    run.call = m_client.start(std::move(request),
                              {.onHead =
                                   [this, id](const net::ResponseHead &head) {
                                       handleRunHead(id, head);
                                   },
                               .onData =
                                   [this, id](std::string_view data) {
                                       handleRunData(id, data);
                                   },
                               .onEnd =
                                   [this, id](const net::CallEnd &end) {
                                       handleRunEnd(id, end);
                                   }});
}

void EnginePool::handleRunHead(dispatch::RunId id, const net::ResponseHead &head)
{
    const auto answered = m_runs.find(id);
    if (answered != m_runs.end()) {
        m_quota.heardAnswer({EndpointId(answered->second.engine), answered->second.incarnation},
                            head.status,
                            head.headers.find(m_codec.headers().limit).value_or(""));
    }
    if (answered != m_runs.end() && saysLeaving(m_codec.headers(), head.headers)) {
        const std::string engine = answered->second.engine; // the run may be cancelled meanwhile
        m_view.endpointLeaving(engine, answered->second.incarnation, "sample");
    }
    const auto found = m_runs.find(id);
    if (found == m_runs.end()) {
        return;
    }
    ActiveRun &run = found->second;
    run.status = head.status;
    run.progressAt = BootClock::now();
    run.notExecuted = head.headers.has(m_codec.headers().notExecuted);
    if (head.status == Ok) {
        const std::optional<cost::LoadReport> load = m_codec.endpointLoad(head.headers);
        if (load && load->slowness) {
            m_scheduler.engineReportsPace(run.engine);
        }
        run.version = parseNumber(head.headers.find(m_codec.headers().weightVersions).value_or(""));
        m_scheduler.runAccepted(id, run.version, BootClock::now());
        endLoadIfVersionReached(run);
        performActions();
    }
}

void EnginePool::handleRunData(dispatch::RunId id, std::string_view data)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end() || found->second.status != Ok) {
        return;
    }
    const TimePoint now = BootClock::now();
    found->second.bytesSinceProgress += data.size();
    for (const dispatch::StreamEvent &event : found->second.reader.feed(data)) {
        ActiveRun &run = found->second;
        for (const auto &[name, value] : event.otherFields) {
            if (name == m_codec.headers().weightVersionField) {
                run.version = parseNumber(value);
                endLoadIfVersionReached(run);
            }
        }
        if (!event.id) {
            continue;
        }
        run.hasEvents = true;
        run.progressAt = now;
        run.bytesSinceProgress = 0;
        if (!m_scheduler.runEvent(id, *event.id, event.data, run.version, now)) {
            break;
        }
    }
    if (found->second.bytesSinceProgress > m_options.maxBytesWithoutEvent) {
        breakOffRun(id, dispatch::RunOutcome::StreamInterrupted, "the response goes on without an event");
        return;
    }
    performActions();
}

void EnginePool::endRunsWithoutProgress(TimePoint now)
{
    std::vector<dispatch::RunId> runs;
    for (const auto &[id, run] : m_runs) {
        if (run.status != 0 && now - run.progressAt > m_options.gapTimeout) {
            runs.push_back(id);
        }
    }
    for (const dispatch::RunId id : runs) {
        if (m_runs.contains(id)) {
            breakOffRun(id, dispatch::RunOutcome::TimedOut, "the response had no event within the timeout");
        }
    }
}

void EnginePool::breakOffRun(dispatch::RunId id, dispatch::RunOutcome outcome, std::string_view reason)
{
    m_runs.at(id).call->cancel();
    endRun(id, outcome, reason);
}

void EnginePool::handleRunEnd(dispatch::RunId id, const net::CallEnd &end)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end()) {
        return;
    }
    const ActiveRun &run = found->second;
    if (end.failure != net::CallFailure::None) {
        const bool unresponsive =
            end.failure == net::CallFailure::TimedOut || end.failure == net::CallFailure::NotConnected;
        if (unresponsive && end.reused) {
            // The connection may be dead rather than the engine; then the idle connections may be dead as well.
            const auto endpoint = m_view.endpoints().find(run.engine);
            if (endpoint != m_view.endpoints().end()) {
                m_client.dropIdle(endpoint->second.address);
            }
        }
        const bool stale = end.failure == net::CallFailure::Lost && end.reused && run.status == 0;
        const dispatch::RunOutcome lost =
            stale ? dispatch::RunOutcome::StaleConnection : dispatch::RunOutcome::StreamInterrupted;
        endRun(id, unresponsive ? dispatch::RunOutcome::TimedOut : lost, end.detail);
        return;
    }
    if (run.status == Ok) {
        // If the earlier run broke off behind the last event, nothing is left to send, and only the end is missing. An
        // end by close cannot be told from a crash before the first event.
        const bool onlyEndLeft = run.resumed && !end.delimitedByClose;
        const bool complete = !run.reader.hasPartialEvent() && (run.hasEvents || onlyEndLeft);
        endRun(id,
               complete ? dispatch::RunOutcome::Complete : dispatch::RunOutcome::StreamInterrupted,
               complete ? "complete" : "the stream ended early");
    } else if (run.status == MisdirectedRequest) {
        endRun(id,
               run.expectsVersion ? dispatch::RunOutcome::WrongVersion : dispatch::RunOutcome::WrongEndpoint,
               "another endpoint or weight version");
    } else if (run.notExecuted) {
        endRun(id, dispatch::RunOutcome::NotExecuted, "the engine did not run the sample");
    } else if (run.status == Unprocessable) {
        endRun(id, dispatch::RunOutcome::Rejected, "the engine refuses the item as invalid");
    } else if (run.status == InternalServerError) {
        endRun(id, dispatch::RunOutcome::Failed, "the engine failed");
    } else {
        endRun(id, dispatch::RunOutcome::StreamInterrupted, "status " + std::to_string(run.status));
    }
}

void EnginePool::endRun(dispatch::RunId id, dispatch::RunOutcome outcome, std::string_view reason)
{
    const auto found = m_runs.find(id);
    if (outcome != dispatch::RunOutcome::Complete) {
        writeRunEnd(found->second, reason);
    }
    m_runs.erase(found);
    m_scheduler.runEnded(id, outcome, BootClock::now());
    performActions();
}

void EnginePool::writeRunEnd(const ActiveRun &run, std::string_view reason)
{
    const batch::Item *item = m_scheduler.item(run.key);
    m_eventLog.write(EventKind::Request,
                     "sample-run-ended",
                     {{"item", item == nullptr ? std::string() : item->id},
                      {"engine", run.engine},
                      {"status", std::to_string(run.status)},
                      {"reason", std::string(reason)}});
}

void EnginePool::startScoring(const dispatch::ItemKey &key)
{
    const batch::Item *item = m_scheduler.item(key);
    if (item == nullptr || !item->scoring) {
        return;
    }
    const batch::ScoringCall &call = *item->scoring;
    const fleet::Route *route = m_view.configuration().findRoute(call.host, call.path);
    if (route == nullptr || fleet::activeServices(*route).empty()) {
        m_eventLog.write(EventKind::Request, "scoring-without-route", {{"item", item->id}, {"host", call.host}});
        boost::asio::post(m_loop, [this, key, generation = m_generation] {
            if (generation == m_generation) {
                m_scheduler.scoringEnded(key, dispatch::ScoringOutcome::NoAnswer, {}, BootClock::now());
                performActions();
            }
        });
        return;
    }
    ForwardRequest request{.id = call.id,
                           .request = {.method = "POST", .target = call.path, .body = call.body},
                           .route = *route,
                           .service = chooseService(*route, m_random),
                           .receivedAt = BootClock::now(),
                           .callerTimeout = route->timeout,
                           .owed = true,
                           .basis = {.configuration = m_view.configuration().version(),
                                     .batch = key.batch,
                                     .ownerEpoch = m_log.ownership().epoch()}};
    request.request.headers.add("Host", call.host);
    request.request.headers.add(m_codec.headers().requestId, call.id);
    m_scoringRequests[key] =
        m_forwarder.forward(std::move(request), std::make_shared<ScoringSink>(*this, key, m_generation));
}

bool EnginePool::mayScore(const batch::Item &item)
{
    const fleet::Route *route = m_view.configuration().findRoute(item.scoring->host, item.scoring->path);
    const std::vector<std::string> services =
        route == nullptr ? std::vector<std::string>() : fleet::activeServices(*route);
    if (services.empty()) {
        return true;
    }
    std::size_t room = 0;
    for (const std::string &service : services) {
        const std::size_t roomThere = m_forwarder.roomForOwed(service, route->name, m_scheduler.awaitingScoring());
        room += std::min(roomThere, std::numeric_limits<std::size_t>::max() - room);
    }
    if (m_scoringRequests.size() >= room) {
        return false;
    }
    if (!m_quota.limitsAny()) {
        return true;
    }
    const auto scores = [&services](const fleet::Endpoint &endpoint) {
        return std::find(services.begin(), services.end(), endpoint.service) != services.end();
    };
    std::vector<EndpointProcess> processes;
    for (const auto &[id, endpoint] : m_view.endpoints()) {
        if (scores(endpoint) && !endpoint.leaving()) {
            processes.push_back({.endpoint = EndpointId(id), .incarnation = endpoint.incarnation});
        }
    }
    return m_quota.takeForScoring(processes);
}

void EnginePool::handleScoringEnd(const dispatch::ItemKey &key,
                                  int status,
                                  const net::Response *response,
                                  Duration retryAfter)
{
    m_scoringRequests.erase(key);
    const bool success = response != nullptr && status >= Ok && status < 300;
    const std::string_view signature =
        success ? response->headers.find(m_codec.headers().signature).value_or("") : std::string_view();
    dispatch::ScoringOutcome outcome = dispatch::ScoringOutcome::NoAnswer;
    if (success && !signature.empty()) {
        outcome = dispatch::ScoringOutcome::Scored;
    } else if (response != nullptr && status == InternalServerError) {
        outcome = dispatch::ScoringOutcome::Failed;
    }
    m_scheduler.scoringEnded(key, outcome, std::string(signature), BootClock::now(), retryAfter);
    performActions();
}

void EnginePool::commitResult(const batch::ItemResult &result)
{
    m_log.writeWithPayload(
        m_log.payloadPartition(result.batch),
        batch::resultRecord(result),
        [batch = result.batch, item = result.item](std::uint64_t offset) {
            return batch::resultCommittedRecord(batch, item, offset);
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
            return batch::progressSavedRecord(batch, item, offset);
        },
        nullptr);
}

} // namespace bergamot::node
