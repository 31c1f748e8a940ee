#include "bergamot/entry/data_path.h"

#include "bergamot/base/event_loop.h"
#include "bergamot/base/logging.h"
#include "bergamot/base/snapshot.h"
#include "bergamot/entry/call_parser.h"
#include "bergamot/entry/entry_metrics.h"
#include "bergamot/entry/internal/answers.h"
#include "bergamot/entry/internal/endpoint_calls.h"
#include "bergamot/entry/internal/key_claims.h"
#include "bergamot/entry/internal/view_reader.h"

namespace bergamot
{

using entry_internal::answerToCaller;
using entry_internal::CallerLoss;
using entry_internal::EndpointCalls;
using entry_internal::extractFacts;
using entry_internal::KeyClaims;
using entry_internal::SharedCallerStream;
using entry_internal::ViewReader;

namespace
{

constexpr std::chrono::seconds NoViewRetryAfter{1};
constexpr std::string_view HealthPath = "/healthz";
constexpr std::string_view ReadyPath = "/readyz";
constexpr std::string_view MetricsPath = "/metrics";

} // namespace

struct DataPath::Impl
{
    struct Call
    {
        CallerCall parsed;
        std::shared_ptr<SharedCallerStream> callerStream;
        TimePoint arrivedAt;
    };

    Impl(DataPathOptions givenOptions,
         const Clock &givenClock,
         std::shared_ptr<ControlLink> link,
         Metrics &givenMetrics)
        : options(std::move(givenOptions))
        , clock(givenClock)
        , metrics(givenMetrics)
        , entryMetrics(givenMetrics)
        , router(options.router, options.seed)
        , keys(link, options.instance.value() + "-" + std::to_string(options.seed) + "-")
        , views(options.instance, options.domain, std::move(link))
        , shutdown(options.shutdown)
        , drained(drainedPromise.get_future())
    { }

    ~Impl()
    {
        loop.stop();
    }

    void start()
    {
        // Events arrive on other threads, possibly after this object has been destroyed; the poster discards those.
        const auto postToLoop = [this, poster = loop.poster()](std::function<void(Impl &)> task) {
            poster.post([this, task = std::move(task)] {
                task(*this);
            });
        };
        calls = std::make_unique<EndpointCalls>(options.instance.value() + "-" + std::to_string(options.seed) + "-",
                                                EndpointCalls::Events{
                                                    .started =
                                                        [postToLoop](AttemptId id) {
                                                            postToLoop([id](Impl &impl) {
                                                                impl.router.onStreamStarted(id, impl.clock.now());
                                                            });
                                                        },
                                                    .callerLost =
                                                        [postToLoop](RequestId id, CallerLoss loss) {
                                                            postToLoop([id, loss](Impl &impl) {
                                                                impl.callerLost(id, loss);
                                                            });
                                                        },
                                                    .done =
                                                        [postToLoop](AttemptId id, CallOutcome outcome) {
                                                            postToLoop([id, outcome = std::move(outcome)](Impl &impl) {
                                                                impl.attemptDone(id, outcome);
                                                            });
                                                        },
                                                });
        onKeyReply = [postToLoop](RequestId id, Result<inner::KeyClaimReplyT> reply) {
            postToLoop([id, reply = std::move(reply)](Impl &impl) {
                impl.applyKeyReply(id, reply);
            });
        };
        onViewUpdate = [postToLoop](const ViewSource &source, Result<ViewUpdate> update) {
            postToLoop([source, update = std::move(update)](Impl &impl) {
                impl.applyView(source, update);
            });
        };
        loop.post([this] {
            requestView();
        });
        loop.every(options.viewPeriod, [this] {
            requestView();
        });
        loop.every(options.tickPeriod, [this] {
            tick();
        });
    }

    void accept(CallerCall parsed, ResponderPtr responder)
    {
        const RequestId id = ++lastRequest;
        parsed.facts.id = id;
        const CallerRequest facts = parsed.facts;
        pending.emplace(id,
                        Call{.parsed = std::move(parsed),
                             .callerStream = std::make_shared<SharedCallerStream>(std::move(responder)),
                             .arrivedAt = clock.now()});
        router.onRequest(facts, clock.now());
        runActions();
    }

    void attemptDone(AttemptId id, const CallOutcome &outcome)
    {
        if (outcome) {
            calls->storeAnswer(id, *outcome);
            router.onAnswered(id, extractFacts(*outcome), clock.now());
        } else {
            calls->discard(id);
            router.onFailed(id, extractFacts(outcome.error()), clock.now());
        }
        runActions();
    }

    void callerLost(RequestId id, CallerLoss loss)
    {
        const auto found = pending.find(id);
        if (found == pending.end()) {
            return;
        }
        const CallerRequest &facts = found->second.parsed.facts;
        if (loss == CallerLoss::TooSlow) {
            log.warning("Closed a stream of " + facts.target + ": its caller did not read it fast enough.");
            entryMetrics.recordSlowCaller(facts.trafficClass);
        } else {
            entryMetrics.recordCallerDisconnected(facts.trafficClass);
        }
        pending.erase(found);
        router.onCallerDisconnected(id, clock.now());
        runActions();
    }

    void applyKeyReply(RequestId id, const Result<inner::KeyClaimReplyT> &reply)
    {
        const entry_internal::ClaimResult result = keys.applyReply(id, reply);
        router.onKeyState(id, result.state, result.retryAfter, clock.now());
        runActions();
    }

    void requestView()
    {
        std::vector<SuspectReport> suspects;
        for (const CrashReport &report : router.takeCrashReports(clock.now())) {
            suspects.push_back(toSuspectReport(report));
        }
        views.requestViews(suspects, onViewUpdate);
    }

    void applyView(const ViewSource &source, const Result<ViewUpdate> &update)
    {
        const bool wasUsingPeers = !views.followsLocal();
        const std::shared_ptr<const RoutingTable> next = views.applyUpdate(source, update, clock.now());
        if (!wasUsingPeers && !views.followsLocal()) {
            requestView(); // asks another control process without waiting for the next period
        }
        if (!next) {
            return;
        }
        table.publish(next);
        hasView = true;
        router.onView(*next, clock.now());
        runActions();
    }

    void tick()
    {
        router.tick(clock.now());
        runActions();
        entryMetrics.setLoad(router.pending(), router.queued());
        const ShutdownPhase before = shutdown.phase();
        const ShutdownPhase phase = shutdown.advance(clock.now(), router.pending());
        if (phase == before) {
            return;
        }
        if (phase == ShutdownPhase::Refusing) {
            log.info("The balancer grace period is over; new requests are refused as not run.");
            router.stopAccepting();
        }
        if (phase == ShutdownPhase::Closed) {
            log.info("The shutdown sequence has ended: all requests are answered or the drain limit has passed.");
            drainedPromise.set_value();
        }
    }

    void runActions()
    {
        for (const Action &action : router.takeActions()) {
            std::visit(
                [this](const auto &each) {
                    run(each);
                },
                action);
        }
    }

    void run(const DispatchAction &action)
    {
        const Call &call = pending.at(action.request);
        entryMetrics.recordAttempt(call.parsed.facts.target);
        calls->dispatch(action, call.parsed, call.callerStream);
    }

    void run(const ForwardAction &action)
    {
        const bool streamed = calls->wasStreamed(action.attempt);
        HttpResponse answer = calls->takeAnswer(action.attempt);
        const std::optional<Call> call = finishCall(action.request, RequestOutcome::Answered, "");
        if (!call) {
            return;
        }
        if (streamed) {
            call->callerStream->responder().endStream();
        } else {
            call->callerStream->responder().reply(answerToCaller(std::move(answer)));
        }
    }

    void run(const ForwardStoredAction &action)
    {
        const inner::KeyClaimReplyT stored = keys.takeStored(action.request);
        if (const std::optional<Call> call = finishCall(action.request, RequestOutcome::Answered, "stored")) {
            call->callerStream->responder().reply(answerToCaller(stored));
        }
    }

    void run(const RefuseAction &action)
    {
        const std::string reason(refusalReasonName(action.reason));
        if (const std::optional<Call> call = finishCall(action.request, action.outcome, reason)) {
            call->callerStream->responder().reply(answerToCaller(action));
        }
    }

    void run(const AbortStreamAction &action)
    {
        if (const std::optional<Call> call = finishCall(action.request, RequestOutcome::MaybeRan, "broken-stream")) {
            call->callerStream->responder().abortStream();
        }
    }

    void run(const CancelAction &action)
    {
        calls->cancel(action.attempt);
    }

    void run(const DropConnectionsAction &action)
    {
        log.warning("A connection to " + toString(action.address)
                    + " stopped responding; its idle connections are dropped.");
        calls->dropConnections(action.address);
    }

    void run(const ClaimKeyAction &action)
    {
        const Call &call = pending.at(action.request);
        const Duration left = call.parsed.facts.deadline - clock.now();
        keys.claim(action.request, call.parsed, left, onKeyReply);
    }

    void run(const RecordKeyAction &action)
    {
        keys.record(action, calls->peekAnswer(action.attempt));
    }

    /// Removes the call and records its outcome in the metrics; none if its caller has disconnected.
    std::optional<Call> finishCall(RequestId id, RequestOutcome outcome, const std::string &reason)
    {
        auto node = pending.extract(id);
        if (node.empty()) {
            return std::nullopt;
        }
        const CallerRequest &facts = node.mapped().parsed.facts;
        const Duration elapsed = clock.now() - node.mapped().arrivedAt;
        entryMetrics.recordAnswer(node.mapped().parsed.tenant, facts.trafficClass, outcome, reason, elapsed);
        return std::move(node.mapped());
    }

    DataPathOptions options;
    const Clock &clock;
    Metrics &metrics;
    EntryMetrics entryMetrics;
    ComponentLogger log{"entry"};
    Snapshot<RoutingTable> table{std::make_shared<const RoutingTable>()};
    std::atomic<bool> hasView{false};
    std::atomic<bool> shuttingDown{false};

    // Accessed on the event loop's thread only.
    Router router;
    std::unique_ptr<EndpointCalls> calls;
    KeyClaims keys;
    ViewReader views;
    ShutdownSequence shutdown;
    std::unordered_map<RequestId, Call> pending;
    RequestId lastRequest = 0;
    std::function<void(RequestId, Result<inner::KeyClaimReplyT>)> onKeyReply;
    ViewReader::UpdateCallback onViewUpdate;
    std::promise<void> drainedPromise;
    std::shared_future<void> drained;
    EventLoop loop;
};

DataPath::DataPath(DataPathOptions options, const Clock &clock, std::shared_ptr<ControlLink> control, Metrics &metrics)
    : m_impl(std::make_unique<Impl>(std::move(options), clock, std::move(control), metrics))
{
    m_impl->start();
}

DataPath::~DataPath() = default;

void DataPath::handle(HttpRequest request, ResponderPtr responder)
{
    if (request.path == HealthPath) {
        responder->reply({.body = "{}"});
        return;
    }
    if (request.path == ReadyPath) {
        responder->reply({.status = ready() ? 200 : 503, .headers = {}, .body = "{}"});
        return;
    }
    if (request.path == MetricsPath) {
        responder->reply({.headers = {}, .body = m_impl->metrics.exposition(), .contentType = "text/plain"});
        return;
    }
    if (!m_impl->hasView) {
        responder->reply(answerToCaller(Error{.code = ErrorCode::Unavailable,
                                              .message = "This instance has not received a view of the endpoints yet.",
                                              .retryAfter = NoViewRetryAfter}));
        return;
    }
    const TimePoint now = m_impl->clock.now();
    Result<CallerCall> call = parseCall(request, *m_impl->table.read(), now);
    if (!call) {
        responder->reply(answerToCaller(call.error()));
        return;
    }
    m_impl->loop.post([impl = m_impl.get(), call = std::move(*call), responder = std::move(responder)]() mutable {
        impl->accept(std::move(call), std::move(responder));
    });
}

bool DataPath::ready() const
{
    return m_impl->hasView && !m_impl->shuttingDown;
}

void DataPath::beginShutdown()
{
    m_impl->shuttingDown = true;
    m_impl->loop.post([impl = m_impl.get()] {
        impl->shutdown.begin(impl->clock.now());
    });
}

std::shared_future<void> DataPath::drained() const
{
    return m_impl->drained;
}

} // namespace bergamot
