#include "bergamot/node/owner_probe.h"

#include <gtest/gtest.h>

#include "bergamot/net/http_server.h"

namespace bergamot::node
{
namespace
{

using namespace std::chrono_literals;

enum class Peer {
    SameProcess,
    OtherProcess,
    Failing,
    Silent,
    NotListening,
};

struct ProbeCase
{
    const char *name;
    Peer peer;
    ProbeOutcome outcome;
};

class OwnerProbeTest : public testing::TestWithParam<ProbeCase>
{ };

TEST_P(OwnerProbeTest, SilenceAndFailuresAreNoEnd)
{
    boost::asio::io_context loop;
    std::vector<std::shared_ptr<net::Exchange>> unanswered;
    net::HttpServer server(loop, [&unanswered](std::shared_ptr<net::Exchange> exchange) {
        switch (GetParam().peer) {
        case Peer::SameProcess:
            exchange->respond(probeResponse("node-1"));
            break;
        case Peer::OtherProcess:
            exchange->respond(probeResponse("node-2"));
            break;
        case Peer::Failing:
            exchange->respond({.status = 503});
            break;
        default:
            unanswered.push_back(std::move(exchange));
            break;
        }
    });
    ASSERT_TRUE(server.listen({"127.0.0.1", 0}));
    const Address address{"127.0.0.1", server.port()};
    if (GetParam().peer == Peer::NotListening) {
        server.stopListening();
    }
    net::HttpClient client(loop, {});
    std::optional<ProbeOutcome> outcome;
    probeOwner(client, address, "node-1", [&outcome](ProbeOutcome result) {
        outcome = result;
    });
    for (int iteration = 0; iteration < 5000 && !outcome; ++iteration) {
        loop.run_one_for(20ms);
    }
    EXPECT_EQ(outcome, GetParam().outcome);
}

INSTANTIATE_TEST_SUITE_P(Peers,
                         OwnerProbeTest,
                         testing::Values(ProbeCase{"SameProcess", Peer::SameProcess, ProbeOutcome::Alive},
                                         ProbeCase{"OtherProcess", Peer::OtherProcess, ProbeOutcome::Gone},
                                         ProbeCase{"NotListening", Peer::NotListening, ProbeOutcome::Gone},
                                         ProbeCase{"Failing", Peer::Failing, ProbeOutcome::NoAnswer},
                                         ProbeCase{"Silent", Peer::Silent, ProbeOutcome::NoAnswer}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot::node
