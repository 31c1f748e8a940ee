#include "bergamot/node/owner_probe.h"

#include "bergamot/net/status.h"

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
    struct Answer
    {
        int status = 0;
        std::string body;
    };
    auto answer = std::make_shared<Answer>();
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
    client.start(std::move(request),
                 {.onHead =
                      [answer](const net::ResponseHead &head) {
                          answer->status = head.status;
                      },
                  .onData =
                      [answer](std::string_view data) {
                          answer->body += data;
                      },
                  .onEnd =
                      [answer, instance, done = std::move(done)](const net::CallEnd &end) {
                          const bool answered =
                              end.failure == net::CallFailure::None && answer->status == net::status::Ok;
                          if (!answered) {
                              done(end.refused ? ProbeOutcome::Gone : ProbeOutcome::NoAnswer);
                          } else {
                              done(answer->body == instance ? ProbeOutcome::Alive : ProbeOutcome::Gone);
                          }
                      }});
}

} // namespace bergamot::node
