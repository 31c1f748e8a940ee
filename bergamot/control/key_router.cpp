#include "bergamot/control/key_router.h"

namespace bergamot
{

namespace
{

constexpr std::chrono::milliseconds PassOnTimeout{3000};
constexpr std::uint64_t RetryAfterMilliseconds = 1000;

template<typename T>
void replyWith(const PeerServer::Reply &reply, const Result<T> &answer)
{
    if (!answer) {
        reply(makeRefusal(answer.error()));
        return;
    }
    inner::BodyUnion body;
    body.Set(T(*answer));
    reply(std::move(body));
}

} // namespace

std::optional<InstanceId> committerOf(const FailureDomainId &home, const KeyPlacement &placement)
{
    const std::vector<InstanceId> atHome = placement.eligible(home);
    return keyCommitter(home, atHome.empty() ? placement.eligibleEverywhere() : atHome);
}

KeyPlace placeKey(const std::string &key, bool isPassedOn, const KeyPlacement &placement)
{
    const std::optional<FailureDomainId> home = keyHome(key, placement.configuredDomains);
    if (!home) {
        return {KeyPlace::Kind::Nowhere, {}, {}, "no failure domain is configured yet"};
    }
    if (isPassedOn) {
        const bool isOurs = *home == placement.domain || placement.eligible(*home).empty();
        return isOurs ? KeyPlace{KeyPlace::Kind::Here, *home, {}, {}}
                      : KeyPlace{KeyPlace::Kind::Nowhere, {}, {}, "the key's home is domain " + home->value()};
    }
    const std::optional<InstanceId> committer = committerOf(*home, placement);
    if (!committer) {
        return {KeyPlace::Kind::Nowhere, {}, {}, "no instance is known here"};
    }
    if (*committer == placement.self) {
        return {KeyPlace::Kind::Here, *home, {}, {}};
    }
    return {KeyPlace::Kind::Elsewhere, *home, *committer, {}};
}

KeyRouter::KeyRouter(InstanceId self,
                     FailureDomainId domain,
                     FleetNode &node,
                     PeerClient &peers,
                     KeyHomes &homes,
                     std::function<std::vector<FailureDomainId>()> configuredDomains)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_node(node)
    , m_peers(peers)
    , m_homes(homes)
    , m_configuredDomains(std::move(configuredDomains))
{ }

KeyPlacement KeyRouter::placement() const
{
    return {.self = m_self,
            .domain = m_domain,
            .configuredDomains = m_configuredDomains(),
            .eligible =
                [this](const FailureDomainId &domain) {
                    return m_node.eligible(domain);
                },
            .eligibleEverywhere =
                [this] {
                    return m_node.eligibleEverywhere();
                }};
}

void KeyRouter::tick()
{
    const KeyPlacement now = placement();
    for (const FailureDomainId &home : now.configuredDomains) {
        m_homes.setCommitting(home, committerOf(home, now) == m_self);
    }
}

void KeyRouter::handle(inner::FrameT frame, const PeerServer::Reply &reply)
{
    const inner::KeyClaimT *claim = frame.body.AsKeyClaim();
    const inner::KeyOutcomeT *outcome = frame.body.AsKeyOutcome();
    const bool isPassedOn = frame.sender != m_self.value();
    const KeyPlace where = placeKey(claim != nullptr ? claim->key : outcome->key, isPassedOn, placement());
    if (where.kind == KeyPlace::Kind::Nowhere) {
        reply(makeRefusal(errorCodeName(ErrorCode::Unavailable), where.problem, RetryAfterMilliseconds));
    } else if (where.kind == KeyPlace::Kind::Elsewhere) {
        passOn(where.instance, std::move(frame.body), reply);
    } else if (claim != nullptr) {
        claimHere(where.home, *claim, reply);
    } else {
        outcomeHere(where.home, *outcome, reply);
    }
}

void KeyRouter::claimHere(const FailureDomainId &home, const inner::KeyClaimT &claim, const PeerServer::Reply &reply)
{
    m_homes.service(home).claim(claim, [reply](const Result<inner::KeyClaimReplyT> &answer) {
        replyWith(reply, answer);
    });
}

void KeyRouter::outcomeHere(const FailureDomainId &home,
                            const inner::KeyOutcomeT &outcome,
                            const PeerServer::Reply &reply)
{
    m_homes.service(home).outcome(outcome, [reply](const Result<inner::KeyOutcomeReplyT> &answer) {
        replyWith(reply, answer);
    });
}

void KeyRouter::passOn(const InstanceId &to, inner::BodyUnion body, const PeerServer::Reply &reply)
{
    const Result<Address> address = m_node.controlAddress(to);
    if (!address) {
        reply(makeRefusal(errorCodeName(ErrorCode::Unavailable), address.error().message, RetryAfterMilliseconds));
        return;
    }
    m_peers.request(*address, std::move(body), PassOnTimeout, [reply](Result<inner::FrameT> answer) {
        if (!answer) {
            reply(makeRefusal(answer.error()));
            return;
        }
        reply(std::move(answer->body));
    });
}

} // namespace bergamot
