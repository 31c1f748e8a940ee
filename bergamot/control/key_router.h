#pragma once

// Takes claims and outcomes of idempotency keys from the entry of this instance, or from another instance, to the
// instance that claims keys for the key's home domain: one of that domain, or of any other while none of it is left.
// Nothing rests on the choice: the log decides.
//
//     KeyRouter router(self, domain, node, peers, homes, domains);
//     router.handle(std::move(frame), reply);

#include <functional>

#include "bergamot/control/fleet_node.h"
#include "bergamot/control/key_homes.h"
#include "bergamot/protocol/peer_server.h"

namespace bergamot
{

/// Where a claim or an outcome is dealt with.
struct KeyPlace
{
    enum class Kind {
        Nowhere, // no domain is configured, or no instance is known
        Here,
        Elsewhere,
    };
    Kind kind = Kind::Nowhere;
    FailureDomainId home; // unless nowhere
    InstanceId instance; // if elsewhere
    std::string problem; // if nowhere
};

struct KeyPlacement
{
    InstanceId self;
    FailureDomainId domain;
    std::vector<FailureDomainId> configuredDomains;
    std::function<std::vector<InstanceId>(const FailureDomainId &domain)> eligible;
    std::function<std::vector<InstanceId>()> eligibleEverywhere;
};

/// The instance that claims the keys of `home`, as `placement` sees it; none if no instance is known.
std::optional<InstanceId> committerOf(const FailureDomainId &home, const KeyPlacement &placement);

/// Decides about `key`. A frame that another instance passed on is dealt with here if this is its home domain or no
/// instance of that domain is known here, and is never passed on again.
KeyPlace placeKey(const std::string &key, bool isPassedOn, const KeyPlacement &placement);

/// Confined to the thread of the loop.
class KeyRouter
{
public:
    /// `node`, `peers` and `homes` outlive the router.
    KeyRouter(InstanceId self,
              FailureDomainId domain,
              FleetNode &node,
              PeerClient &peers,
              KeyHomes &homes,
              std::function<std::vector<FailureDomainId>()> configuredDomains);

    /// A frame whose body is a `KeyClaim` or a `KeyOutcome`.
    void handle(inner::FrameT frame, const PeerServer::Reply &reply);
    /// Tells the homes for which of them this instance claims.
    void tick();

private:
    KeyPlacement placement() const;
    void claimHere(const FailureDomainId &home, const inner::KeyClaimT &claim, const PeerServer::Reply &reply);
    void outcomeHere(const FailureDomainId &home, const inner::KeyOutcomeT &outcome, const PeerServer::Reply &reply);
    void passOn(const InstanceId &to, inner::BodyUnion body, const PeerServer::Reply &reply);

    InstanceId m_self;
    FailureDomainId m_domain;
    FleetNode &m_node;
    PeerClient &m_peers;
    KeyHomes &m_homes;
    std::function<std::vector<FailureDomainId>()> m_configuredDomains;
};

} // namespace bergamot
