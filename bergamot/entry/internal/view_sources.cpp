#include "bergamot/entry/internal/view_sources.h"

namespace bergamot::entry_internal
{

ViewSources::ViewSources(InstanceId self, FailureDomainId domain, ViewSourceOptions options)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_options(options)
    , m_lastPeer{.instance = m_self}
{ }

void ViewSources::setMembers(const std::vector<std::unique_ptr<inner::MemberStatusT>> &members)
{
    m_peers.clear();
    for (const auto &member : members) {
        const Result<Address> address = parseAddress(member->control_address);
        const bool isOther = member->instance != m_self.value();
        if (isOther && address && !member->draining && member->silent_ms == 0) {
            const bool isOtherDomain = member->domain != m_domain.value();
            const bool sortsBeforeSelf = member->instance < m_self.value();
            m_peers.emplace(Peer{isOtherDomain, sortsBeforeSelf, InstanceId(member->instance)}, *address);
        }
    }
}

std::vector<ViewSource> ViewSources::due()
{
    std::vector<ViewSource> sources;
    if (!std::exchange(m_localPending, true)) {
        sources.emplace_back();
    }
    if (m_followsLocal || m_peerPending || m_peers.empty()) {
        return sources;
    }
    const auto peer = m_peers.find(m_lastPeer);
    if (peer == m_peers.end()) {
        advancePeer();
    }
    m_peerPending = true;
    sources.emplace_back(m_peers.at(m_lastPeer));
    return sources;
}

void ViewSources::advancePeer()
{
    const auto next = m_peers.upper_bound(m_lastPeer);
    m_lastPeer = next == m_peers.end() ? m_peers.begin()->first : next->first;
}

bool ViewSources::onAnswer(const ViewSource &source, const ViewFreshness &freshness, TimePoint now)
{
    return source ? onPeerAnswer(freshness, now) : onLocalAnswer(freshness, now);
}

bool ViewSources::onLocalAnswer(const ViewFreshness &freshness, TimePoint now)
{
    m_localPending = false;
    const bool isFresh = freshness.age && *freshness.age <= m_options.staleAfter;
    const Duration allowedLag = m_followsLocal ? m_options.staleAfter : m_options.allowedLag;
    m_followsLocal = isFresh && isNewer(freshness, allowedLag, now);
    if (m_followsLocal || (freshness.age && isNewer(freshness, Duration{}, now))) {
        recordUse(freshness, now);
        return true;
    }
    return false;
}

bool ViewSources::onPeerAnswer(const ViewFreshness &freshness, TimePoint now)
{
    m_peerPending = false;
    if (m_followsLocal) {
        return false; // the local control process has answered in the meantime
    }
    if (!freshness.age || !isNewer(freshness, Duration{}, now)) {
        skipPeer();
        return false;
    }
    recordUse(freshness, now);
    return true;
}

bool ViewSources::isNewer(const ViewFreshness &freshness, Duration allowedLag, TimePoint now) const
{
    if (freshness.configVersion < m_configVersion || !freshness.age) {
        return false;
    }
    return !m_completeAt || now - *freshness.age + allowedLag >= *m_completeAt;
}

void ViewSources::recordUse(const ViewFreshness &freshness, TimePoint now)
{
    const TimePoint completeAt = now - *freshness.age;
    m_completeAt = std::max(m_completeAt.value_or(completeAt), completeAt);
    m_configVersion = std::max(m_configVersion, freshness.configVersion);
}

void ViewSources::onFailure(const ViewSource &source)
{
    if (!source) {
        m_localPending = false;
        m_followsLocal = false;
        return;
    }
    m_peerPending = false;
    skipPeer();
}

void ViewSources::skipPeer()
{
    if (!m_peers.empty()) {
        advancePeer();
    }
}

bool ViewSources::followsLocal() const
{
    return m_followsLocal;
}

} // namespace bergamot::entry_internal
