#include "bergamot/control/trainer_router.h"

#include <algorithm>

#include "bergamot/base/hash.h"

namespace bergamot
{

namespace
{

constexpr std::string_view TrainersPrefix = "/v1/trainers/";
constexpr std::chrono::milliseconds PassOnTimeout{40'000}; // longer than the longest wait of a draw
constexpr std::chrono::milliseconds RetryAfter{1000};

Error notPassedOn(const Error &error, const InstanceId &to)
{
    // Steps and draws may be asked again, whatever became of this request.
    return {ErrorCode::Unavailable, "Instance " + to.value() + " did not answer: " + error.message, RetryAfter};
}

} // namespace

std::optional<TrainerId> trainerIn(std::string_view path)
{
    if (!path.starts_with(TrainersPrefix)) {
        return std::nullopt;
    }
    path.remove_prefix(TrainersPrefix.size());
    const std::string_view name = path.substr(0, path.find('/'));
    return name.empty() ? std::nullopt : std::optional(TrainerId(std::string(name)));
}

std::optional<InstanceId> trainerOwner(const TrainerId &trainer, const std::vector<InstanceId> &instances)
{
    const std::string key = "trainer/" + trainer.value();
    const auto lighter = [&key](const InstanceId &left, const InstanceId &right) {
        return rendezvousWeight(key, left.value()) < rendezvousWeight(key, right.value());
    };
    const auto owner = std::max_element(instances.begin(), instances.end(), lighter);
    return owner == instances.end() ? std::nullopt : std::optional(*owner);
}

TrainerRouter::TrainerRouter(InstanceId self, FleetNode &node, PeerClient &peers, Handler here)
    : m_self(std::move(self))
    , m_node(node)
    , m_peers(peers)
    , m_here(std::move(here))
{ }

void TrainerRouter::handle(const HttpRequest &request, const ResponderPtr &responder, std::uint32_t hops)
{
    const std::optional<TrainerId> trainer = trainerIn(request.path);
    const std::optional<InstanceId> owner =
        trainer ? trainerOwner(*trainer, m_node.eligibleEverywhere()) : std::nullopt;
    if (!owner || *owner == m_self || hops >= MaxForwardHops) {
        m_here(request, responder);
        return;
    }
    passOn(*owner, request, responder, hops + 1);
}

void TrainerRouter::passOn(const InstanceId &to,
                           const HttpRequest &request,
                           const ResponderPtr &responder,
                           std::uint32_t hops)
{
    const Result<Address> address = m_node.controlAddress(to);
    if (!address) {
        responder->reply(errorResponse(notPassedOn(address.error(), to)));
        return;
    }
    inner::BodyUnion body;
    body.Set(toForwardRequest(request, hops));
    m_peers.request(*address, std::move(body), PassOnTimeout, [to, responder](Result<inner::FrameT> reply) {
        if (reply && reply->body.AsForwardReply() != nullptr) {
            responder->reply(fromForwardReply(*reply->body.AsForwardReply()));
            return;
        }
        const Error error = reply ? Error{ErrorCode::Internal, "another kind of frame", std::nullopt} : reply.error();
        responder->reply(errorResponse(notPassedOn(error, to)));
    });
}

} // namespace bergamot
