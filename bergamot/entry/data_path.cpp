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
using entry_internal::factsOf;
using entry_internal::KeyClaims;
using entry_internal::StreamGate;
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
        std::shared_ptr<StreamGate> gate;
        TimePoint arrivedAt;
    };

    Impl(DataPathOptions given, const Clock &givenClock, std::shared_ptr<ControlLink> link, Metrics &givenMetrics)
        : options(std::move(given))
        , clock(givenClock)
        , metrics(givenMetrics)
        , entryMetrics(givenMetrics)
        , router(options.router, options.seed)
        , keys(link, options.instance.value() + "-" + std::to_string(options.seed) + "-")
        , views(options.instance, options.domain, std::move(link))
        , shutdown(options.shutdown)
        , drained(closed.get_future())
    { }

    ~Impl()
    {
        loop.stop();
    }

    void start()
    {
        // Events come from other threads, also after this object has gone.
        const auto posted = [this, poster = loop.poster()](std::function<void(Impl &)> task) {
            poster.post([this, task = std::move(task)] {
                task(*this);
            });
        };
        calls = std::make_unique<EndpointCalls>(options.instance.value() + "-" + std::to_string(options.seed) + "-",
                                                EndpointCalls::Events{
                                                    .started =
                                                        [posted](AttemptId id) {
                                                            posted([id](Impl &impl) {
                                                                impl.router.onStreamStarted(id);
                                                            });
                                                        },
                                                    .callerLost =
                                                        [posted](RequestId id, CallerLoss loss) {
                                                            posted([id, loss](Impl &impl) {
                                                                impl.callerLost(id, loss);
                                                            });
                                                        },
                                                    .done =
                                                        [posted](AttemptId id, CallOutcome outcome) {
                                                            posted([id, outcome = std::move(outcome)](Impl &impl) {
                                                                impl.attemptDone(id, outcome);
                                                            });
                                                        },
                                                });
        keyReplied = [posted](RequestId id, Result<inner::KeyClaimReplyT> reply) {
            posted([id, reply = std::move(reply)](Impl &impl) {
                impl.keyReply(id, reply);
            });
        };
        viewCame = [posted](const ViewSource &source, Result<ViewNews> news) {
            posted([source, news = std::move(news)](Impl &impl) {
                impl.takeView(source, news);
            });
        };
        loop.post([this] {
            askForView();
        });
        loop.every(options.viewPeriod, [this] {
            askForView();
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
                             .gate = std::make_shared<StreamGate>(std::move(responder)),
                             .arrivedAt = clock.now()});
        router.onRequest(facts, clock.now());
        act();
    }

    void attemptDone(AttemptId id, const CallOutcome &outcome)
    {
        if (outcome) {
            calls->keepAnswer(id, *outcome);
            router.onAnswered(id, factsOf(*outcome), clock.now());
        } else {
            calls->forget(id);
            router.onFailed(id, factsOf(outcome.error()), clock.now());
        }
        act();
    }

    void callerLost(RequestId id, CallerLoss loss)
    {
        const auto found = pending.find(id);
        if (found == pending.end()) {
            return;
        }
        const CallerRequest &facts = found->second.parsed.facts;
        if (loss == CallerLoss::TooSlow) {
            log.warning("A stream of " + facts.target + " was closed: its caller did not take it.");
            entryMetrics.callerTooSlow(facts.trafficClass);
        } else {
            entryMetrics.callerDisconnected(facts.trafficClass);
        }
        pending.erase(found);
        router.onCallerDisconnected(id, clock.now());
        act();
    }

    void keyReply(RequestId id, const Result<inner::KeyClaimReplyT> &reply)
    {
        const entry_internal::KeyVerdictFacts verdict = keys.take(id, reply);
        router.onKeyState(id, verdict.state, verdict.retryAfter, clock.now());
        act();
    }

    void askForView()
    {
        views.ask(router.takeSuspectChanges(), viewCame);
    }

    void takeView(const ViewSource &source, const Result<ViewNews> &news)
    {
        const bool wasDistrusted = !views.followsOwn();
        const std::shared_ptr<const RoutingTable> next = views.take(source, news, clock.now());
        if (!wasDistrusted && !views.followsOwn()) {
            askForView(); // another control process, at once
        }
        if (!next) {
            return;
        }
        table.publish(next);
        hasView = true;
        router.onView(*next, clock.now());
        act();
    }

    void tick()
    {
        router.tick(clock.now());
        act();
        entryMetrics.load(router.pending(), router.queued());
        const ShutdownPhase before = shutdown.phase();
        const ShutdownPhase phase = shutdown.advance(clock.now(), router.pending());
        if (phase == before) {
            return;
        }
        if (phase == ShutdownPhase::Refusing) {
            log.info("The balancer's grace is over; new requests are refused as not run.");
            router.stopAccepting();
        }
        if (phase == ShutdownPhase::Closed) {
            log.info("Every request has its answer.");
            closed.set_value();
        }
    }

    void act()
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
        entryMetrics.attempted(call.parsed.facts.target);
        calls->dispatch(action, call.parsed, call.gate);
    }

    void run(const ForwardAction &action)
    {
        const bool streamed = calls->streamed(action.attempt);
        HttpResponse answer = calls->takeAnswer(action.attempt);
        const std::optional<Call> call = end(action.request, RequestOutcome::Answered, "");
        if (!call) {
            return;
        }
        if (streamed) {
            call->gate->responder().endStream();
        } else {
            call->gate->responder().reply(answerToCaller(std::move(answer)));
        }
    }

    void run(const ForwardStoredAction &action)
    {
        const inner::KeyClaimReplyT stored = keys.takeStored(action.request);
        if (const std::optional<Call> call = end(action.request, RequestOutcome::Answered, "stored")) {
            call->gate->responder().reply(answerToCaller(stored));
        }
    }

    void run(const RefuseAction &action)
    {
        const std::string reason(refusalReasonName(action.reason));
        if (const std::optional<Call> call = end(action.request, action.outcome, reason)) {
            call->gate->responder().reply(answerToCaller(action));
        }
    }

    void run(const AbortStreamAction &action)
    {
        if (const std::optional<Call> call = end(action.request, RequestOutcome::MaybeRan, "broken-stream")) {
            call->gate->responder().abortStream();
        }
    }

    void run(const CancelAction &action)
    {
        calls->cancel(action.attempt);
    }

    void run(const DropConnectionsAction &action)
    {
        log.warning("A connection to " + toString(action.address) + " went silent; its idle ones are dropped.");
        calls->dropConnections(action.address);
    }

    void run(const ClaimKeyAction &action)
    {
        const Call &call = pending.at(action.request);
        const Duration left = call.parsed.facts.deadline - clock.now();
        keys.claim(action.request, call.parsed, left, keyReplied);
    }

    void run(const RecordKeyAction &action)
    {
        keys.record(action, calls->peekAnswer(action.attempt));
    }

    /// Takes the call out and counts its end; none if its caller has gone.
    std::optional<Call> end(RequestId id, RequestOutcome outcome, const std::string &reason)
    {
        auto node = pending.extract(id);
        if (node.empty()) {
            return std::nullopt;
        }
        const CallerRequest &facts = node.mapped().parsed.facts;
        const Duration elapsed = clock.now() - node.mapped().arrivedAt;
        entryMetrics.finished(node.mapped().parsed.tenant, facts.trafficClass, outcome, reason, elapsed);
        return std::move(node.mapped());
    }

    DataPathOptions options;
    const Clock &clock;
    Metrics &metrics;
    EntryMetrics entryMetrics;
    ComponentLogger log{"entry"};
    Snapshot<RoutingTable> table{std::make_shared<const RoutingTable>()};
    std::atomic<bool> hasView{false};
    std::atomic<bool> leaving{false};

    // Used on the loop's thread only.
    Router router;
    std::unique_ptr<EndpointCalls> calls;
    KeyClaims keys;
    ViewReader views;
    ShutdownSequence shutdown;
    std::unordered_map<RequestId, Call> pending;
    RequestId lastRequest = 0;
    std::function<void(RequestId, Result<inner::KeyClaimReplyT>)> keyReplied;
    ViewReader::Came viewCame;
    std::promise<void> closed;
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
                                              .message = "This instance has no view of the endpoints yet.",
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
    return m_impl->hasView && !m_impl->leaving;
}

void DataPath::beginShutdown()
{
    m_impl->leaving = true;
    m_impl->loop.post([impl = m_impl.get()] {
        impl->shutdown.begin(impl->clock.now());
    });
}

std::shared_future<void> DataPath::drained() const
{
    return m_impl->drained;
}

} // namespace bergamot
