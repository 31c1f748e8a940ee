// What a node does about its links to endpoints: announces whether it has them, sends requests through other instances
// without them, and leaves the engine pool to an instance that has them.

#include "bergamot/net/status.h"
#include "bergamot/net/whole_answer.h"
#include "bergamot/node/node.h"

namespace bergamot::node
{

using namespace net::status;

namespace
{

constexpr Duration ProofTimeout = std::chrono::milliseconds(500); // hundreds of times the round trip within a region
constexpr Duration AnnounceInterval = std::chrono::seconds(40); // others forget an instance after two minutes
constexpr Duration AnnounceJitter = std::chrono::seconds(10);
constexpr Duration OwnerProbeInterval = std::chrono::seconds(1); // of the one instance that everybody waits for
constexpr Duration ReachAskInterval = std::chrono::milliseconds(1100); // longer than an answer takes
constexpr Duration ProbeLead = std::chrono::milliseconds(300); // before a claim is due; a probe takes as long

} // namespace

void Node::proveProcess(const EndpointProcess &process,
                        const Address &address,
                        const RequestForwarder::ProcessProven &done)
{
    const net::Request report = m_codec.reportRequest();
    net::ClientRequest request{.to = address,
                               .method = report.method,
                               .target = report.target,
                               .headers = report.headers,
                               .newConnection = true, // an answer does not say which call it belongs to
                               .connectTimeout = ProofTimeout,
                               .headTimeout = ProofTimeout,
                               .bodyGapTimeout = ProofTimeout,
                               .answerTimeout = ProofTimeout,
                               .maxBodyBytes = MaxReportBytes};
    request.headers.set("Host", toString(address));
    request.headers.set(m_codec.headers().expectedEndpoint, process.endpoint.value());
    net::startForWholeAnswer(m_client, std::move(request), [this, process, done](const net::WholeAnswer &answer) {
        const bool answered = answer.end.failure == net::CallFailure::None && answer.status == Ok;
        const Result<EngineReport> read = m_codec.report(answer.body);
        done(answered && read && read->incarnation == process.incarnation);
    });
}

bool Node::relayRequest(const UnservedRequest &unserved)
{
    const bool unsent = unserved.refusal.reason == RefusalReason::NoEndpoint
        || unserved.refusal.reason == RefusalReason::NoSuchSoftware
        || unserved.refusal.reason == RefusalReason::RetriesExhausted
        || unserved.refusal.reason == RefusalReason::AttemptFailed;
    return unsent && (m_reach.cutOff() || m_reach.suspects())
        && m_relayClient.start(unserved.id, unserved.request, unserved.refusal, unserved.attemptsLeft, unserved.sink);
}

void Node::reachChanged()
{
    m_forwarder.setCutOff(m_reach.cutOff());
    announce(BootClock::now(), false);
}

void Node::announce(TimePoint now, bool stopping)
{
    const bool reaches = !m_reach.cutOff();
    if (!m_options.peerAddress || !m_batchLog.started()
        || (now < m_announceAt && reaches == m_announcedReach && !stopping)) {
        return;
    }
    m_announcedReach = reaches;
    m_announceAt = now + AnnounceInterval + drawUpTo(AnnounceJitter);
    m_batchLog.announce({.name = m_options.instance,
                         .zone = m_options.zone,
                         .address = m_batchLog.peerAddress(),
                         .reaches = reaches,
                         .stopping = stopping});
}

Duration Node::drawUpTo(Duration most)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, most.count())(m_random));
}

bool Node::mayClaimPool(TimePoint now)
{
    const reach::ClaimVerdict verdict = m_claimRule.update(
        claimPhase(now),
        [this](TimePoint since) {
            return m_reach.reachesSince(since);
        },
        now);
    const bool putOff = verdict == reach::ClaimVerdict::PutOff;
    if (putOff && !m_claimPutOff) {
        m_log.write(EventKind::State, "pool-claim-put-off", {{"cut_off", m_reach.cutOff() ? "yes" : "not known"}});
    }
    m_claimPutOff = putOff;
    return !putOff; // also allows asking whether a silent owner still runs
}

reach::ClaimPhase Node::claimPhase(TimePoint now) const
{
    const duties::PoolOwnership &ownership = m_batchLog.ownership();
    // Without the log, silence says nothing about the owner, and no claim can be made.
    if (!m_batchLog.mayConfirm() || ownership.isOwner() || !ownership.shouldClaim(now + ProbeLead)) {
        return reach::ClaimPhase::NotDue;
    }
    return ownership.shouldClaim(now) ? reach::ClaimPhase::Due : reach::ClaimPhase::Soon;
}

void Node::yieldPoolIfCutOff(TimePoint now)
{
    if (m_pool.active()) {
        m_reach.probeUnlessReached(now, OwnerProbeInterval); // open connections may hang for longer
    }
    if (!m_pool.active() || !m_reach.cutOff()) {
        m_yielding = false;
        return;
    }
    if (m_yielding || now - m_reachAskedAt < ReachAskInterval) {
        return;
    }
    m_reachAskedAt = now;
    m_relayClient.askReach([this](std::size_t asked, bool othersReach) {
        m_log.write(EventKind::State,
                    othersReach ? "pool-yielded" : "pool-kept",
                    {{"reason", othersReach ? "another instance reaches endpoints" : "nobody reaches endpoints"},
                     {"asked", std::to_string(asked)}});
        if (othersReach && m_pool.active() && m_reach.cutOff()) {
            m_yielding = true;
            m_pool.save();
            m_batchLog.yieldOwnership();
        }
    });
}

} // namespace bergamot::node
