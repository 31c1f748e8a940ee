#pragma once

// Takes claims and outcomes of idempotency keys from the entry of this instance, or from another instance, to the
// instance that claims keys for the key's home domain. Nothing rests on the choice: the log decides.
//
//     KeyRouter router({self, domain}, node, peers, keys, domains);
//     router.handle(std::move(frame), reply);

#include <functional>

#include "bergamot/control/fleet_node.h"
#include "bergamot/keys/key_placement.h"
#include "bergamot/keys/key_service.h"
#include "bergamot/protocol/peer_server.h"

namespace bergamot
{

/// Where a claim or an outcome is dealt with.
struct KeyPlace
{
    enum class Kind {
        Nowhere, // no domain is configured, or none of the home domain's instances is known
        Here,
        Elsewhere,
    };
    Kind kind = Kind::Nowhere;
    InstanceId instance; // if elsewhere
    std::string problem; // if nowhere
};

struct KeyPlacement
{
    InstanceId self;
    FailureDomainId domain;
    std::vector<FailureDomainId> configuredDomains;
    std::function<std::vector<InstanceId>(const FailureDomainId &domain)> eligible;
};

/// Decides about `key`. A frame that another instance passed on is dealt with here if this is its home domain, and
/// never passed on again.
KeyPlace placeKey(const std::string &key, bool isPassedOn, const KeyPlacement &placement);

/// Confined to the thread of the loop.
class KeyRouter
{
public:
    /// `node`, `peers`, `loop` and `keys` outlive the router.
    KeyRouter(InstanceId self,
              FailureDomainId domain,
              FleetNode &node,
              PeerClient &peers,
              KeyService &keys,
              std::function<std::vector<FailureDomainId>()> configuredDomains);

    /// A frame whose body is a `KeyClaim` or a `KeyOutcome`.
    void handle(inner::FrameT frame, const PeerServer::Reply &reply);

private:
    KeyPlace place(const std::string &key, const inner::FrameT &frame) const;
    void claimHere(const inner::KeyClaimT &claim, const PeerServer::Reply &reply);
    void outcomeHere(const inner::KeyOutcomeT &outcome, const PeerServer::Reply &reply);
    void passOn(const InstanceId &to, inner::BodyUnion body, const PeerServer::Reply &reply);

    InstanceId m_self;
    FailureDomainId m_domain;
    FleetNode &m_node;
    PeerClient &m_peers;
    KeyService &m_keys;
    std::function<std::vector<FailureDomainId>()> m_configuredDomains;
};

} // namespace bergamot
