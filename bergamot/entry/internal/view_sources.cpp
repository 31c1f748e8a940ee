#include "bergamot/entry/internal/view_sources.h"

namespace bergamot::entry_internal
{

ViewSources::ViewSources(InstanceId self, FailureDomainId domain, ViewSourceOptions options)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_options(options)
    , m_peer{.instance = m_self}
{ }

void ViewSources::setMembers(const std::vector<std::unique_ptr<inner::MemberStatusT>> &members)
{
    m_peers.clear();
    for (const auto &member : members) {
        const Result<Address> address = parseAddress(member->control_address);
        const bool isOther = member->instance != m_self.value();
        if (isOther && address && !member->draining && member->silent_ms == 0) {
            const bool isElsewhere = member->domain != m_domain.value();
            const bool isBefore = member->instance < m_self.value();
            m_peers.emplace(Peer{isElsewhere, isBefore, InstanceId(member->instance)}, *address);
        }
    }
}

std::vector<ViewSource> ViewSources::due()
{
    std::vector<ViewSource> sources;
    if (!std::exchange(m_isOwnAsked, true)) {
        sources.emplace_back();
    }
    if (m_followsOwn || m_isPeerAsked || m_peers.empty()) {
        return sources;
    }
    const auto peer = m_peers.find(m_peer);
    if (peer == m_peers.end()) {
        nextPeer();
    }
    m_isPeerAsked = true;
    sources.emplace_back(m_peers.at(m_peer));
    return sources;
}

void ViewSources::nextPeer()
{
    const auto next = m_peers.upper_bound(m_peer);
    m_peer = next == m_peers.end() ? m_peers.begin()->first : next->first;
}

bool ViewSources::answered(const ViewSource &source, const ViewFacts &facts, TimePoint now)
{
    return source ? peerAnswered(facts, now) : ownAnswered(facts, now);
}

bool ViewSources::ownAnswered(const ViewFacts &facts, TimePoint now)
{
    m_isOwnAsked = false;
    const bool isFresh = facts.age && *facts.age <= m_options.staleAfter;
    const Duration slack = m_followsOwn ? m_options.staleAfter : m_options.slack;
    m_followsOwn = isFresh && isNewer(facts, slack, now);
    if (m_followsOwn || (facts.age && isNewer(facts, Duration{}, now))) {
        use(facts, now);
        return true;
    }
    return false;
}

bool ViewSources::peerAnswered(const ViewFacts &facts, TimePoint now)
{
    m_isPeerAsked = false;
    if (m_followsOwn) {
        return false; // the own one has come back meanwhile
    }
    if (!facts.age || !isNewer(facts, Duration{}, now)) {
        passOver();
        return false;
    }
    use(facts, now);
    return true;
}

bool ViewSources::isNewer(const ViewFacts &facts, Duration slack, TimePoint now) const
{
    if (facts.configVersion < m_configVersion || !facts.age) {
        return false;
    }
    return !m_knownAt || now - *facts.age + slack >= *m_knownAt;
}

void ViewSources::use(const ViewFacts &facts, TimePoint now)
{
    const TimePoint knownAt = now - *facts.age;
    m_knownAt = std::max(m_knownAt.value_or(knownAt), knownAt);
    m_configVersion = std::max(m_configVersion, facts.configVersion);
}

void ViewSources::failed(const ViewSource &source)
{
    if (!source) {
        m_isOwnAsked = false;
        m_followsOwn = false;
        return;
    }
    m_isPeerAsked = false;
    passOver();
}

void ViewSources::passOver()
{
    if (!m_peers.empty()) {
        nextPeer();
    }
}

bool ViewSources::followsOwn() const
{
    return m_followsOwn;
}

} // namespace bergamot::entry_internal
