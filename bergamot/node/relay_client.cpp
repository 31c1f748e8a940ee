#include "bergamot/node/relay_client.h"

#include "bergamot/net/status.h"
#include "bergamot/net/whole_answer.h"
#include "bergamot/relay/relay_messages.h"

namespace bergamot::node
{

using namespace net::status;

namespace
{

constexpr std::size_t MaxQueuedBytes = std::size_t{512} * 1024; // of one stream, before the peer is held back
constexpr Duration ReachTimeout = std::chrono::milliseconds(1000); // the peer has to probe
constexpr std::size_t ReachPeers = 3; // that are asked at once
constexpr std::size_t MaxReachBytes = 64;
constexpr Duration OutdatedPause = std::chrono::seconds(1); // until this instance may have read what others have

bool mayRepeat(const fleet::Route &route)
{
    return route.kind == fleet::RouteKind::Idempotent || (route.kind == fleet::RouteKind::Streaming && route.resumable);
}

} // namespace

RelayClient::RelayClient(boost::asio::io_context &loop,
                         net::HttpClient &client,
                         BatchLog &log,
                         EventLog &eventLog,
                         RelayClientOptions options,
                         std::uint64_t seed)
    : m_loop(loop)
    , m_client(client)
    , m_log(log)
    , m_eventLog(eventLog)
    , m_options(std::move(options))
    , m_peers(m_options.instance, m_options.zone, {}, seed)
{ }

RelayClient::~RelayClient() = default;

std::size_t RelayClient::pending() const
{
    return m_relays.size();
}

Duration RelayClient::timeLeft(const Relay &relay)
{
    const Duration allowed = std::min(relay.request.callerTimeout, relay.request.route.timeout);
    return relay.request.receivedAt + allowed - BootClock::now();
}

bool RelayClient::start(RequestId id,
                        const ForwardRequest &request,
                        const RefuseAction &refusal,
                        std::uint32_t attemptsLeft,
                        const std::shared_ptr<ForwardSink> &sink)
{
    m_relays.emplace(id, Relay{.request = request, .sink = sink, .refusal = refusal, .attemptsLeft = attemptsLeft});
    if (sendToNextPeer(id)) {
        return true;
    }
    m_relays.erase(id);
    return false;
}

bool RelayClient::hasRoomFor(const ForwardRequest &request) const
{
    constexpr std::size_t Copies = 4; // the message, while it is built
    const std::size_t bytes = request.body->size();
    return bytes <= net::MemoryAccount::SmallBytes || m_options.account == nullptr
        || m_options.account->hasRoomFor(Copies * bytes);
}

bool RelayClient::sendToNextPeer(RequestId id)
{
    Relay &relay = m_relays.at(id);
    const Duration left = timeLeft(relay);
    if (!hasRoomFor(relay.request)) {
        writeRelay("relay-too-large", relay, std::to_string(relay.request.body->size()) + " bytes");
        return false;
    }
    if (relay.tried.size() >= m_options.maxPeers || left < m_options.minTimeLeft || relay.attemptsLeft == 0) {
        return false;
    }
    const std::optional<batch::Instance> peer = m_peers.choose(m_log.instances(), relay.tried, BootClock::now());
    const Result<Address> address =
        peer ? parseAddress(peer->address) : Result<Address>(failure(ErrorCode::NotFound, "no peer"));
    if (!address) {
        return false;
    }
    relay.peer = peer->name;
    relay.tried.insert(peer->name);
    relay.response = {};
    relay.answered = false;
    fleet::Route route = relay.request.route;
    route.maxAttempts = relay.attemptsLeft;
    net::ClientRequest outgoing{.to = *address,
                                .method = "POST",
                                .target = std::string(relay::RelayPath),
                                .body = relay::relayMessage({.instance = m_options.instance,
                                                             .id = relay.request.id,
                                                             .request = relay.request.request,
                                                             .service = relay.request.service,
                                                             .route = std::move(route),
                                                             .deadlineLeft = left - m_options.deadlineMargin,
                                                             .softwareVersion = relay.request.softwareVersion,
                                                             .owed = relay.request.owed,
                                                             .streamName = relay.request.streamName,
                                                             .basis = relay.request.basis,
                                                             .body = relay.request.body}),
                                .newConnection = !mayRepeat(relay.request.route),
                                .connectTimeout = std::min(m_options.connectTimeout, left),
                                .headTimeout = left,
                                .bodyGapTimeout = left,
                                .answerTimeout = left,
                                .streamTimeout = left,
                                .acceptsStream = [streams = relay.request.route.kind
                                                      == fleet::RouteKind::Streaming](const net::ResponseHead &head) {
                                    return streams && head.headers.find(relay::OutcomeHeader) == relay::Answered;
                                }};
    outgoing.headers.set("Host", peer->address);
    writeRelay("request-relayed", relay, std::to_string(relay.tried.size()));
    relay.call = m_client.start(std::move(outgoing),
                                {.onHead =
                                     [this, id](const net::ResponseHead &head) {
                                         handleHead(id, head);
                                     },
                                 .onData =
                                     [this, id](std::string_view data) {
                                         handleData(id, data);
                                     },
                                 .onEnd =
                                     [this, id](const net::CallEnd &end) {
                                         handleEnd(id, end);
                                     }});
    return true;
}

void RelayClient::handleHead(RequestId id, const net::ResponseHead &head)
{
    const auto found = m_relays.find(id);
    if (found == m_relays.end()) {
        return;
    }
    Relay &relay = found->second;
    relay.response.status = head.status;
    relay.response.headers = net::withoutHopByHopFields(head.headers);
    relay.answered = head.headers.find(relay::OutcomeHeader) == relay::Answered;
    if (!relay.answered) {
        return;
    }
    relay.response.headers.remove(relay::OutcomeHeader);
    if (relay.request.route.kind == fleet::RouteKind::Streaming && net::isEventStream(head)) {
        relay.streaming = true;
        relay.sink->beginStream({.status = head.status, .headers = relay.response.headers});
    }
}

void RelayClient::handleData(RequestId id, std::string_view data)
{
    const auto found = m_relays.find(id);
    if (found == m_relays.end()) {
        return;
    }
    if (!found->second.streaming) {
        found->second.response.body += data;
        return;
    }
    found->second.sink->write(data);
    adjustFlow(id);
}

void RelayClient::adjustFlow(RequestId id)
{
    const auto found = m_relays.find(id);
    if (found == m_relays.end()) {
        return;
    }
    Relay &relay = found->second;
    const bool behind = relay.sink->queuedBytes() > MaxQueuedBytes;
    if (behind != relay.paused) {
        relay.paused = behind;
        relay.call->setPaused(behind);
    }
    if (!behind) {
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, m_options.flowCheck);
    timer->async_wait([this, id, timer, alive = std::weak_ptr(m_alive)](const boost::system::error_code &error) {
        if (!error && !alive.expired()) {
            adjustFlow(id);
        }
    });
}

void RelayClient::handleEnd(RequestId id, const net::CallEnd &end)
{
    const auto found = m_relays.find(id);
    if (found == m_relays.end()) {
        return;
    }
    Relay &relay = found->second;
    const bool whole = end.failure == net::CallFailure::None;
    if (relay.streaming) {
        writeRelay("relay-done", relay, whole ? "stream complete" : end.detail);
        const std::shared_ptr<ForwardSink> sink = relay.sink;
        m_relays.erase(found);
        whole ? sink->finishStream() : sink->abortStream();
        return;
    }
    if (whole && relay.answered) {
        writeRelay("relay-done", relay, "status " + std::to_string(relay.response.status));
        const std::shared_ptr<ForwardSink> sink = relay.sink;
        net::Response response = std::move(relay.response);
        m_relays.erase(found);
        sink->answer(std::move(response));
        return;
    }
    const std::string_view outcome = relay.response.headers.find(relay::OutcomeHeader).value_or("");
    const bool declined = whole && outcome == relay::Declined;
    const bool notRun = declined || (whole && outcome == relay::NotRun);
    const bool mayHaveRun = !notRun && end.failure != net::CallFailure::NotConnected;
    const std::string reason(relay.response.headers.find(relay::ReasonHeader).value_or(""));
    const bool outdated = whole && relay.response.headers.has(relay::OutdatedHeader);
    handleRefusal(id,
                  {.mayHaveRun = mayHaveRun, .unhelpful = declined || !whole, .outdated = outdated},
                  whole ? reason : end.detail);
}

void RelayClient::handleRefusal(RequestId id, const PeerRefusal &peerRefusal, const std::string &reason)
{
    Relay &relay = m_relays.at(id);
    const bool mayHaveRun = peerRefusal.mayHaveRun;
    writeRelay("relay-failed", relay, (mayHaveRun ? "may have run: " : "not run: ") + reason);
    if (peerRefusal.unhelpful) {
        m_peers.failed(relay.peer, BootClock::now());
    }
    if (mayHaveRun) {
        relay.refusal.outcome = RequestOutcome::MaybeRan;
        relay.refusal.status = timeLeft(relay) <= Duration::zero() ? GatewayTimeout : BadGateway;
        relay.refusal.message = "The instance that sent the request gave no complete answer; the request may have run.";
        relay.attemptsLeft -= 1;
    }
    if (peerRefusal.outdated) {
        if (!relay.request.basis.batch.empty()) { // a caller is served by another instance at once
            relay.refusal.retryAfter = std::max(relay.refusal.retryAfter, OutdatedPause);
        }
    } else if ((!mayHaveRun || mayRepeat(relay.request.route)) && sendToNextPeer(id)) {
        return;
    }
    const std::shared_ptr<ForwardSink> sink = relay.sink;
    const RefuseAction refusal = relay.refusal;
    m_relays.erase(id);
    sink->refuse(refusal);
}

void RelayClient::callerDisconnected(RequestId id)
{
    const auto found = m_relays.find(id);
    if (found == m_relays.end()) {
        return;
    }
    writeRelay("relay-done", found->second, "the caller has left");
    const std::shared_ptr<net::ClientCall> call = found->second.call;
    m_relays.erase(found);
    call->cancel();
}

void RelayClient::askReach(std::function<void(std::size_t, bool)> done)
{
    struct Question
    {
        std::size_t open = 0;
        std::size_t asked = 0;
        std::function<void(std::size_t, bool)> done;
    };
    auto question = std::make_shared<Question>(Question{.open = 1, .done = std::move(done)});
    const auto answered = [question](bool reaches) {
        --question->open;
        if (question->done && (reaches || question->open == 0)) {
            std::exchange(question->done, nullptr)(question->asked, reaches);
        }
    };
    std::set<std::string> asked;
    while (asked.size() < ReachPeers) {
        const std::optional<batch::Instance> peer = m_peers.choose(m_log.instances(), asked, BootClock::now());
        if (!peer) {
            break;
        }
        asked.insert(peer->name);
        const Result<Address> address = parseAddress(peer->address);
        if (!address) {
            continue;
        }
        net::ClientRequest request{.to = *address,
                                   .target = std::string(relay::ReachPath),
                                   .connectTimeout = m_options.connectTimeout,
                                   .headTimeout = ReachTimeout,
                                   .bodyGapTimeout = ReachTimeout,
                                   .answerTimeout = ReachTimeout,
                                   .maxBodyBytes = MaxReachBytes};
        request.headers.add("Host", peer->address);
        ++question->open;
        ++question->asked;
        net::startForWholeAnswer(
            m_client, std::move(request), [this, answered, name = peer->name](const net::WholeAnswer &answer) {
                const bool answered200 = answer.end.failure == net::CallFailure::None && answer.status == Ok;
                const bool reaches = answered200 && answer.body == relay::ReachesAnswer;
                if (!reaches && !(answered200 && answer.body == relay::ReachesWithoutLogAnswer)) {
                    m_peers.failed(name, BootClock::now());
                }
                answered(reaches);
            });
    }
    answered(false); // stands for this call itself
}

void RelayClient::writeRelay(std::string_view event, const Relay &relay, const std::string &detail)
{
    m_eventLog.write(EventKind::Request,
                     event,
                     {{"request", relay.request.id},
                      {"batch", relay.request.basis.batch},
                      {"service", relay.request.service},
                      {"peer", relay.peer},
                      {"time_left_ms",
                       std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft(relay)).count())},
                      {"detail", detail}});
}

} // namespace bergamot::node
