#pragma once

// Takes a trainer's requests to the instance that owns the trainer: the present one with the highest rendezvous weight.
// No lease is needed: that samples are handed over once rests on the trainer's own cursor.
//
//     TrainerRouter router(self, node, peers, [&](const HttpRequest &r, ResponderPtr a) { samples.handle(r, a); });
//     router.handle(request, responder, 0);

#include <functional>

#include "bergamot/control/fleet_node.h"
#include "bergamot/control/forwarded_http.h"

namespace bergamot
{

/// A request that has been passed on this often is dealt with where it is.
inline constexpr std::uint32_t MaxForwardHops = 2;

/// The trainer in "/v1/trainers/<trainer>/..."; none for other paths.
std::optional<TrainerId> trainerIn(std::string_view path);

/// The owner of `trainer` among `instances`; none if there are none.
std::optional<InstanceId> trainerOwner(const TrainerId &trainer, const std::vector<InstanceId> &instances);

/// Confined to the thread of the loop.
class TrainerRouter
{
public:
    using Handler = std::function<void(const HttpRequest &request, const ResponderPtr &responder)>;

    /// `node` and `peers` outlive the router.
    TrainerRouter(InstanceId self, FleetNode &node, PeerClient &peers, Handler here);

    /// `hops` says how often the request has been passed on.
    void handle(const HttpRequest &request, const ResponderPtr &responder, std::uint32_t hops);

private:
    void passOn(const InstanceId &to, const HttpRequest &request, const ResponderPtr &responder, std::uint32_t hops);

    InstanceId m_self;
    FleetNode &m_node;
    PeerClient &m_peers;
    Handler m_here;
};

} // namespace bergamot
