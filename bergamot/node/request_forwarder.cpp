#include "bergamot/node/request_forwarder.h"

#include <boost/asio/post.hpp>

#include "bergamot/net/status.h"
#include "bergamot/routing/crash_quarantine.h"

namespace bergamot::node
{

using namespace net::status;

namespace
{

constexpr Duration TickPeriod = std::chrono::milliseconds(10); // resolution of the router's timers
constexpr Duration KnowledgeAge = std::chrono::seconds(1); // of what this instance tells of endpoints
constexpr std::size_t MaxQueuedBytes = std::size_t{512} * 1024; // of one stream, before its endpoint is held back

std::string milliseconds(Duration duration)
{
    const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return std::to_string(std::max<std::int64_t>(1, whole));
}

} // namespace

RequestForwarder::RequestForwarder(boost::asio::io_context &loop,
                                   net::HttpClient &client,
                                   const HeaderNames &headers,
                                   EventLog &log,
                                   RouterOptions options,
                                   std::uint64_t seed)
    : m_loop(loop)
    , m_client(client)
    , m_headers(headers)
    , m_log(log)
    , m_router(std::move(options), seed)
    , m_timer(loop)
{ }

RequestForwarder::~RequestForwarder() = default;

void RequestForwarder::onLeaving(std::function<void(const std::string &, std::uint64_t)> handler)
{
    m_leavingHandler = std::move(handler);
}

void RequestForwarder::onAnswerHead(std::function<void(const EndpointProcess &, const net::ResponseHead &)> handler)
{
    m_answerHeadHandler = std::move(handler);
}

void RequestForwarder::onTokensNeeded(std::function<void(const TokenRequest &, TokensGranted)> handler)
{
    m_tokensHandler = std::move(handler);
}

void RequestForwarder::onBegan(std::function<void(const ForwardRequest &, TimePoint)> handler)
{
    m_beganHandler = std::move(handler);
}

void RequestForwarder::recordBegan(const Attempt &attempt)
{
    const auto pending = m_pending.find(attempt.request);
    if (m_beganHandler && pending != m_pending.end() && !std::exchange(pending->second.began, true)) {
        m_beganHandler(pending->second.request, attempt.startedAt);
    }
}

void RequestForwarder::onStreamBegan(std::function<void(const StreamBeginning &)> handler)
{
    m_streamHandler = std::move(handler);
}

void RequestForwarder::requestTokens()
{
    if (!m_tokensHandler) {
        return;
    }
    for (const TokenRequest &request : m_router.takeTokenRequests(BootClock::now())) {
        m_tokensHandler(request, [this, id = request.id](const auto &returns) {
            m_router.onTokens(id, returns, BootClock::now());
            performActions();
        });
    }
}

void RequestForwarder::setEndpointsAge(std::function<Duration(TimePoint now)> age)
{
    m_endpointsAge = std::move(age);
}

void RequestForwarder::updateEndpoints(const RoutingTable &table)
{
    m_router.onView(table, BootClock::now());
    performActions();
}

void RequestForwarder::recordHeartbeat(const std::string &endpoint, std::uint64_t incarnation, TimePoint aliveAt)
{
    m_router.onHeartbeat({EndpointId(endpoint), incarnation}, aliveAt, BootClock::now());
    performActions();
}

void RequestForwarder::applyCrashReport(const CrashReport &report)
{
    m_router.onCrashReports({report}, BootClock::now());
    performActions();
}

std::vector<CrashReport> RequestForwarder::takeCrashReports()
{
    return m_router.takeCrashReports(BootClock::now());
}

TrafficClass RequestForwarder::classOf(const ForwardRequest &request) const
{
    if (m_placesByCompletion && request.owed) {
        return TrafficClass::Batch; // no caller waits for it
    }
    // The requests of this instance's own callers go first.
    return request.relayed ? TrafficClass::Internal : TrafficClass::Interactive;
}

RequestId RequestForwarder::forward(ForwardRequest request, std::shared_ptr<ForwardSink> sink)
{
    const RequestId id = ++m_lastRequest;
    if (request.body == nullptr) {
        request.body = std::make_shared<const std::string>(std::exchange(request.request.body, {}));
    }
    const fleet::Route &route = request.route;
    const bool streaming = route.kind == fleet::RouteKind::Streaming || route.kind == fleet::RouteKind::Batch;
    const TimePoint deadline = request.receivedAt + std::min(request.callerTimeout, route.timeout);
    CallerRequest caller{.id = id,
                         .target = request.service,
                         .trafficClass = classOf(request),
                         .deadline = deadline,
                         .repeatable = route.kind == fleet::RouteKind::Idempotent || (streaming && route.resumable),
                         .streaming = streaming,
                         .fingerprint = requestFingerprint(
                             request.service, request.request.method, request.request.target, *request.body),
                         .mostAttempts = std::max(1U, route.maxAttempts),
                         .softwareVersion = request.softwareVersion,
                         .beginsStream = streaming && route.resumable && request.softwareVersion.empty(),
                         .tenant = request.tenant,
                         .owed = request.owed};
    cost::RequestKind kind{.route = route.name, .tenant = request.tenant, .bytes = request.body->size()};
    if (m_placesByCompletion && !streaming) {
        const cost::WorkEstimate work = m_work.of(kind);
        caller.usualWork = work.usual;
        caller.tailWork = work.tail;
        caller.queuedWork = m_work.mean();
    }
    m_pending.emplace(id,
                      Pending{.request = std::move(request),
                              .sink = std::move(sink),
                              .fingerprint = caller.fingerprint,
                              .kind = std::move(kind)});
    m_router.onRequest(std::move(caller), BootClock::now());
    boost::asio::post(m_loop, [this] {
        performActions();
    });
    return id;
}

void RequestForwarder::setPlacesByCompletion(bool places)
{
    m_placesByCompletion = places;
    m_router.setPlacesByCompletion(places);
}

void RequestForwarder::recordLoad(const std::string &endpoint, const cost::LoadReport &report)
{
    m_router.onLoadReport(EndpointId(endpoint), report, BootClock::now());
    for (auto &[id, attempt] : m_attempts) {
        if (attempt.endpoint == endpoint && attempt.response.status != 0) {
            attempt.load = report;
        }
    }
}

std::size_t RequestForwarder::roomForOwed(const std::string &service, const std::string &route, std::size_t waiting)
{
    return m_router.batchRoom(service, waiting, m_work.of({.route = route}).usual, BootClock::now());
}

std::vector<cost::SharedOutlook> RequestForwarder::outlooks(TimePoint now) const
{
    return m_router.outlooks(now - KnowledgeAge, now);
}

void RequestForwarder::applyOutlooks(const std::vector<cost::SharedOutlook> &outlooks)
{
    for (const cost::SharedOutlook &told : outlooks) {
        m_router.onOutlookTold(told, BootClock::now());
    }
}

void RequestForwarder::learnWork(const Attempt &attempt, TimePoint now)
{
    const auto pending = m_pending.find(attempt.request);
    const bool queued = attempt.load && attempt.load->waiting > 0; // then the duration says little about the request
    if (!m_placesByCompletion || pending == m_pending.end() || attempt.streaming || queued
        || attempt.response.status >= InternalServerError) {
        return;
    }
    const double slowness = attempt.load ? attempt.load->slowness.value_or(1.0) : 1.0;
    const std::chrono::duration<double> duration = (now - attempt.startedAt) / std::max(slowness, 0.1);
    m_work.record(pending->second.kind, std::chrono::duration_cast<Duration>(duration));
}

bool RequestForwarder::takeOver(RequestId id, const Pending &pending, const RefuseAction &refusal)
{
    const fleet::Route &route = pending.request.route;
    const bool mayRepeat =
        route.kind == fleet::RouteKind::Idempotent || (route.kind == fleet::RouteKind::Streaming && route.resumable);
    const bool notRun = refusal.outcome == RequestOutcome::RefusedNotRun;
    const std::uint32_t used = notRun ? 0 : pending.attempts;
    const std::uint32_t maxAttempts = std::max(1U, route.maxAttempts);
    if (!m_unservedHandler || pending.request.relayed || (!notRun && !mayRepeat) || used >= maxAttempts) {
        return false;
    }
    return m_unservedHandler({.id = id,
                              .request = pending.request,
                              .refusal = refusal,
                              .attemptsLeft = maxAttempts - used,
                              .sink = pending.sink});
}

void RequestForwarder::onUnserved(std::function<bool(const UnservedRequest &)> handler)
{
    m_unservedHandler = std::move(handler);
}

void RequestForwarder::onTakenOverCallerLeft(std::function<void(RequestId)> handler)
{
    m_takenOverCallerLeftHandler = std::move(handler);
}

void RequestForwarder::setCutOff(bool cutOff)
{
    m_router.setCutOff(cutOff, BootClock::now());
    performActions();
}

void RequestForwarder::callerDisconnected(RequestId id)
{
    if (m_pending.erase(id) == 0) {
        if (m_takenOverCallerLeftHandler) {
            m_takenOverCallerLeftHandler(id);
        }
        return;
    }
    m_router.onCallerDisconnected(id, BootClock::now());
    performActions();
}

void RequestForwarder::stop()
{
    m_router.stop(BootClock::now());
    performActions();
}

std::size_t RequestForwarder::pending() const
{
    return m_pending.size();
}

void RequestForwarder::performActions()
{
    if (m_performing) {
        return;
    }
    m_performing = true;
    for (Actions actions = m_router.takeActions(); !actions.empty(); actions = m_router.takeActions()) {
        for (const Action &action : actions) {
            if (const auto *dispatch = std::get_if<DispatchAction>(&action)) {
                startAttempt(*dispatch);
            } else if (const auto *forward = std::get_if<ForwardAction>(&action)) {
                const auto attempt = m_attempts.find(forward->attempt);
                const auto pending = m_pending.find(forward->request);
                if (attempt != m_attempts.end() && pending != m_pending.end()) {
                    const std::shared_ptr<ForwardSink> sink = pending->second.sink;
                    net::Response response = std::move(attempt->second.response);
                    const bool streamed = attempt->second.streaming;
                    const int status = response.status;
                    m_attempts.erase(attempt);
                    finishRequest(forward->request, status, "answered");
                    streamed ? sink->finishStream() : sink->answer(std::move(response));
                }
            } else if (const auto *refuse = std::get_if<RefuseAction>(&action)) {
                const auto pending = m_pending.find(refuse->request);
                if (pending != m_pending.end() && takeOver(refuse->request, pending->second, *refuse)) {
                    finishRequest(refuse->request, 0, "handed to another instance");
                } else if (pending != m_pending.end()) {
                    const std::shared_ptr<ForwardSink> sink = pending->second.sink;
                    finishRequest(refuse->request, refuse->status, refusalReasonName(refuse->reason));
                    sink->refuse(*refuse);
                }
            } else if (const auto *abort = std::get_if<AbortStreamAction>(&action)) {
                const auto pending = m_pending.find(abort->request);
                if (pending != m_pending.end()) {
                    const std::shared_ptr<ForwardSink> sink = pending->second.sink;
                    finishRequest(abort->request, 0, "stream broken");
                    sink->abortStream();
                }
            } else if (const auto *cancel = std::get_if<CancelAction>(&action)) {
                const auto attempt = m_attempts.find(cancel->attempt);
                if (attempt != m_attempts.end()) {
                    const std::shared_ptr<net::ClientCall> call = attempt->second.call;
                    m_attempts.erase(attempt);
                    if (call != nullptr) {
                        call->cancel();
                    }
                }
            } else if (const auto *drop = std::get_if<DropConnectionsAction>(&action)) {
                m_client.dropIdle(drop->address);
            }
        }
    }
    m_performing = false;
    requestTokens();
    scheduleTick();
}

void RequestForwarder::startAttempt(const DispatchAction &action)
{
    const auto found = m_pending.find(action.request);
    if (found == m_pending.end()) {
        return;
    }
    Pending &pending = found->second;
    ++pending.attempts;
    const fleet::RouteKind kind = pending.request.route.kind;
    const bool stream = kind == fleet::RouteKind::Streaming;
    const bool boundedByGaps = stream || kind == fleet::RouteKind::Batch;
    net::ClientRequest outgoing{.to = action.address,
                                .method = pending.request.request.method,
                                .target = pending.request.request.target,
                                .headers = net::withoutHopByHopFields(pending.request.request.headers),
                                .sharedBody = pending.request.body,
                                .newConnection = action.connection == Connection::Fresh || pending.request.id.empty(),
                                .connectTimeout = std::min<Duration>(action.timeout, std::chrono::milliseconds(400)),
                                .headTimeout = action.timeout,
                                .bodyGapTimeout = stream ? action.timeout : action.deadlineLeft,
                                .answerTimeout = boundedByGaps ? action.deadlineLeft : action.timeout,
                                .streamTimeout = action.deadlineLeft,
                                .acceptsStream =
                                    [this, stream](const net::ResponseHead &head) {
                                        return stream && !saysNotRun(head);
                                    },
                                .expectedEcho = pending.request.id,
                                .echoHeader = pending.request.id.empty() ? std::string() : m_headers.requestId};
    outgoing.headers.remove("Expect");
    outgoing.headers.set(m_headers.deadline, milliseconds(action.deadlineLeft));
    outgoing.headers.set(m_headers.expectedEndpoint, action.endpoint.value());
    const AttemptId id = action.attempt;
    Attempt &attempt = m_attempts[id];
    attempt.request = action.request;
    attempt.acceptsStream = stream;
    attempt.startedAt = BootClock::now();
    pending.last = {.endpoint = action.endpoint.value(),
                    .startedAfter = attempt.startedAt - pending.request.receivedAt,
                    .endpointsAge = m_endpointsAge ? m_endpointsAge(attempt.startedAt) : Duration::zero()};
    attempt.endpoint = action.endpoint.value();
    attempt.incarnation = action.incarnation;
    attempt.softwareVersion = action.softwareVersion;
    attempt.address = action.address;
    attempt.call = m_client.start(std::move(outgoing),
                                  {.onHead =
                                       [this, id](const net::ResponseHead &head) {
                                           handleAttemptHead(id, head);
                                       },
                                   .onData =
                                       [this, id](std::string_view data) {
                                           handleAttemptData(id, data);
                                       },
                                   .onEnd =
                                       [this, id](const net::CallEnd &end) {
                                           handleAttemptEnd(id, end);
                                       }});
}

void RequestForwarder::handleAttemptHead(AttemptId id, const net::ResponseHead &head)
{
    // The body of a stream may take minutes, so the head counts.
    const auto answered = m_attempts.find(id);
    if (answered != m_attempts.end() && m_answerHeadHandler) {
        m_answerHeadHandler({EndpointId(answered->second.endpoint), answered->second.incarnation}, head);
    }
    if (answered != m_attempts.end() && m_leavingHandler && saysLeaving(m_headers, head.headers)) {
        const std::string endpoint = answered->second.endpoint; // the attempt may be cancelled meanwhile
        m_leavingHandler(endpoint, answered->second.incarnation);
    }
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return;
    }
    Attempt &attempt = found->second;
    attempt.response.status = head.status;
    attempt.response.headers = net::withoutHopByHopFields(head.headers);
    const bool notRun = saysNotRun(head);
    if (!notRun) {
        recordBegan(attempt);
    }
    const auto pending = m_pending.find(attempt.request);
    if (pending == m_pending.end() || !attempt.acceptsStream || !net::isEventStream(head) || notRun) {
        return;
    }
    if (pending->second.request.softwareVersion.empty() || !m_doubtHandler) {
        passStreamOn(id);
        return;
    }
    attempt.unproven = true;
    setPaused(attempt, true);
    m_doubtHandler({EndpointId(attempt.endpoint), attempt.incarnation}, attempt.address, [this, id](bool proven) {
        handleProof(id, proven);
    });
}

void RequestForwarder::passStreamOn(AttemptId id)
{
    Attempt &attempt = m_attempts.at(id);
    const auto pending = m_pending.find(attempt.request);
    attempt.streaming = true;
    m_router.onStreamStarted(id, BootClock::now());
    if (pending->second.request.route.resumable && m_streamHandler) {
        const ForwardRequest &request = pending->second.request;
        m_streamHandler({.name = request.streamName.empty() ? request.id : request.streamName,
                         .route = pending->second.request.route,
                         .service = pending->second.request.service,
                         .softwareVersion = attempt.softwareVersion,
                         .process = {EndpointId(attempt.endpoint), attempt.incarnation}});
    }
    const std::shared_ptr<ForwardSink> sink = pending->second.sink;
    sink->beginStream({.status = attempt.response.status, .headers = attempt.response.headers});
    const std::string held = std::exchange(attempt.response.body, {});
    if (!held.empty()) {
        sink->write(held);
    }
    adjustFlow(attempt, *sink);
    performActions(); // ends other attempts of the request
}

void RequestForwarder::handleProof(AttemptId id, bool proven)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end() || !found->second.unproven) {
        return;
    }
    found->second.unproven = false;
    const auto pending = m_pending.find(found->second.request);
    if (pending == m_pending.end()) {
        return;
    }
    if (proven) {
        passStreamOn(id);
    } else {
        m_log.write(EventKind::Request,
                    "process-unproven",
                    {{"request", pending->second.request.id},
                     {"endpoint", found->second.endpoint},
                     {"incarnation", std::to_string(found->second.incarnation)},
                     {"software", found->second.softwareVersion}});
        found->second.call->cancel();
        m_router.onFailed(id, {.proof = DeliveryProof::MaybeRan, .timedOut = true}, BootClock::now());
        m_attempts.erase(id);
        performActions();
        return;
    }
    if (const std::optional<net::CallEnd> end = std::exchange(found->second.heldEnd, std::nullopt)) {
        handleAttemptEnd(id, *end);
    }
}

void RequestForwarder::onProcessDoubted(
    std::function<void(const EndpointProcess &, const Address &, ProcessProven)> handler)
{
    m_doubtHandler = std::move(handler);
}

void RequestForwarder::handleAttemptData(AttemptId id, std::string_view data)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return;
    }
    if (!found->second.streaming) {
        found->second.response.body += data;
        return;
    }
    const auto pending = m_pending.find(found->second.request);
    if (pending != m_pending.end()) {
        pending->second.sink->write(data);
        adjustFlow(found->second, *pending->second.sink);
    }
}

void RequestForwarder::adjustFlow(Attempt &attempt, const ForwardSink &sink)
{
    setPaused(attempt, sink.queuedBytes() > MaxQueuedBytes);
}

void RequestForwarder::setPaused(Attempt &attempt, bool paused)
{
    if (paused != attempt.paused) {
        attempt.paused = paused;
        attempt.call->setPaused(paused);
    }
}

bool RequestForwarder::saysNotRun(const net::ResponseHead &head) const
{
    return head.headers.has(m_headers.notExecuted) || head.status == MisdirectedRequest;
}

void RequestForwarder::handleAttemptEnd(AttemptId id, const net::CallEnd &end)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return;
    }
    Attempt &attempt = found->second;
    if (attempt.unproven) {
        attempt.heldEnd = end;
        return;
    }
    const TimePoint now = BootClock::now();
    const auto pending = m_pending.find(attempt.request);
    if (end.failure == net::CallFailure::None) {
        const bool notRun = saysNotRun({.status = attempt.response.status, .headers = attempt.response.headers});
        if (notRun && pending != m_pending.end()) {
            m_log.write(EventKind::Request,
                        "attempt-not-executed",
                        {{"request", pending->second.request.id},
                         {"endpoint", attempt.endpoint},
                         {"status", std::to_string(attempt.response.status)}});
        }
        if (!notRun) {
            learnWork(attempt, now);
        }
        m_router.onAnswered(id, {.status = attempt.response.status, .notRun = notRun}, now);
    } else {
        if (pending != m_pending.end()) {
            m_log.write(EventKind::Request,
                        "attempt-failed",
                        {{"request", pending->second.request.id},
                         {"endpoint", attempt.endpoint},
                         {"incarnation", std::to_string(attempt.incarnation)},
                         {"fingerprint", std::to_string(pending->second.fingerprint)},
                         {"reason", end.detail},
                         {"reused", end.reused ? "yes" : "no"}});
        }
        const bool notConnected = end.failure == net::CallFailure::NotConnected;
        if (end.failure == net::CallFailure::Lost && !end.reused) {
            recordBegan(
                attempt); // the endpoint broke off; a connection that was open before may have been closed unread
        }
        m_router.onFailed(id,
                          {.proof = notConnected ? DeliveryProof::NotRun : DeliveryProof::MaybeRan,
                           .timedOut = end.failure == net::CallFailure::TimedOut},
                          now);
    }
    performActions();
    m_attempts.erase(id); // no effect if the response has been forwarded
}

void RequestForwarder::scheduleTick()
{
    if (m_tickScheduled || m_pending.empty()) {
        return;
    }
    m_tickScheduled = true;
    m_timer.expires_after(TickPeriod);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        m_tickScheduled = false;
        if (!error) {
            m_router.tick(BootClock::now());
            for (auto &[id, attempt] : m_attempts) {
                const auto pending = m_pending.find(attempt.request);
                if (attempt.paused && !attempt.unproven && pending != m_pending.end()) {
                    adjustFlow(attempt, *pending->second.sink);
                }
            }
            performActions();
        }
    });
}

void RequestForwarder::finishRequest(RequestId id, int status, std::string_view reason)
{
    const auto found = m_pending.find(id);
    const Pending &pending = found->second;
    const Duration elapsed = BootClock::now() - pending.request.receivedAt;
    m_log.write(EventKind::Request,
                "request-done",
                {{"request", pending.request.id},
                 {"route", pending.request.route.name},
                 {"service", pending.request.service},
                 {"fingerprint", std::to_string(pending.fingerprint)},
                 {"status", std::to_string(status)},
                 {"reason", std::string(reason)},
                 {"attempts", std::to_string(pending.attempts)},
                 {"endpoint", pending.last.endpoint},
                 {"sent_after_ms", milliseconds(pending.last.startedAfter)},
                 {"endpoints_age_ms", milliseconds(pending.last.endpointsAge)},
                 {"took_ms", milliseconds(elapsed)}});
    m_pending.erase(found);
}

} // namespace bergamot::node
