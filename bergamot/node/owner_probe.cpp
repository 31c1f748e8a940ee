#include "bergamot/node/owner_probe.h"

#include "bergamot/net/status.h"
#include "bergamot/net/whole_answer.h"

namespace bergamot::node
{

namespace
{

constexpr Duration ProbeTimeout = std::chrono::milliseconds(400);
constexpr std::size_t MaxAnswerBytes = 4096; // the answer is the name of an instance

} // namespace

net::Response probeResponse(const std::string &instance)
{
    return {.body = instance};
}

void probeOwner(net::HttpClient &client,
                const Address &address,
                const std::string &instance,
                std::function<void(ProbeOutcome)> done)
{
    net::ClientRequest request{.to = address,
                               .target = "/instance",
                               .newConnection = true,
                               .connectTimeout = ProbeTimeout,
                               .headTimeout = ProbeTimeout,
                               .bodyGapTimeout = ProbeTimeout,
                               .answerTimeout = ProbeTimeout,
                               .maxBodyBytes = MaxAnswerBytes};
    request.headers.add("Host", toString(address));
    request.headers.add("Connection", "close");
    net::startForWholeAnswer(
        client, std::move(request), [instance, done = std::move(done)](const net::WholeAnswer &answer) {
            const bool answered = answer.end.failure == net::CallFailure::None && answer.status == net::status::Ok;
            if (!answered) {
                done(answer.end.refused ? ProbeOutcome::Gone : ProbeOutcome::NoAnswer);
            } else {
                done(answer.body == instance ? ProbeOutcome::Alive : ProbeOutcome::Gone);
            }
        });
}

} // namespace bergamot::node
