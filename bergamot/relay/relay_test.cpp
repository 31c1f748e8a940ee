#include <gtest/gtest.h>

#include "bergamot/relay/peer_choice.h"
#include "bergamot/relay/relay_messages.h"

namespace bergamot::relay
{
namespace
{

using namespace std::chrono_literals;

constexpr TimePoint Now{1h};

batch::Instance instance(const std::string &name, const std::string &zone, bool reaches = true)
{
    return {.name = name, .zone = zone, .address = "10.0.0.1:1", .reaches = reaches};
}

struct ChoiceCase
{
    const char *name;
    std::vector<batch::Instance> instances;
    std::set<std::string> tried;
    std::set<std::string> failed;
    std::set<std::string> chosen; // in many draws; empty: nobody
};

class ChoiceTest : public testing::TestWithParam<ChoiceCase>
{ };

TEST_P(ChoiceTest, OnlyPeersThatCanHelpAreChosen)
{
    PeerChoice choice("self", "a", {}, 1);
    std::map<std::string, batch::Instance> instances;
    for (const batch::Instance &known : GetParam().instances) {
        instances[known.name] = known;
    }
    for (const std::string &peer : GetParam().failed) {
        choice.failed(peer, Now);
    }
    std::set<std::string> chosen;
    for (int draw = 0; draw < 50; ++draw) {
        if (const std::optional<batch::Instance> peer = choice.choose(instances, GetParam().tried, Now)) {
            chosen.insert(peer->name);
        }
    }
    EXPECT_EQ(chosen, GetParam().chosen);
    EXPECT_EQ(choice.choose(instances, GetParam().tried, Now + 2s).has_value(),
              !GetParam().chosen.empty() || !GetParam().failed.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Peers,
    ChoiceTest,
    testing::Values(
        ChoiceCase{"NobodyElse", {instance("self", "a")}, {}, {}, {}},
        ChoiceCase{
            "OwnDomainFirst", {instance("n1", "a"), instance("n2", "a"), instance("n3", "b")}, {}, {}, {"n1", "n2"}},
        ChoiceCase{"OneLeftInTheDomain",
                   {instance("n1", "a"), instance("n2", "a", false), instance("n3", "b")},
                   {},
                   {},
                   {"n1", "n3"}},
        ChoiceCase{"TheWholeDomainIsCutOff", {instance("n1", "a", false), instance("n3", "b")}, {}, {}, {"n3"}},
        ChoiceCase{"Tried", {instance("n1", "b"), instance("n3", "b")}, {"n1"}, {}, {"n3"}},
        ChoiceCase{"Failed", {instance("n1", "b")}, {}, {"n1"}, {}},
        ChoiceCase{"NobodyReaches", {instance("n1", "a", false), instance("n3", "b", false)}, {}, {}, {}}),
    [](const auto &test) {
        return test.param.name;
    });

TEST(RelayMessagesTest, ARequestComesBackAsItWasSent)
{
    RelayedRequest sent{
        .instance = "n1",
        .id = "r1",
        .request = {.method = "POST", .target = "/p?q=1", .headers = {}, .body = std::string("b\0y", 3)},
        .service = "llm",
        .route = {.name = "r", .kind = fleet::RouteKind::Streaming, .maxAttempts = 2, .resumable = true},
        .deadlineLeft = 1500ms,
        .softwareVersion = "v1",
        .owed = true,
        .basis = {.configuration = 7, .callerKey = sha256("key"), .batch = "b1", .ownerEpoch = 3}};
    sent.request.headers.add("Host", "h");
    const Result<RelayedRequest> received = parseRelayed(relayMessage(sent));
    ASSERT_TRUE(received);
    EXPECT_EQ(received->instance, "n1");
    EXPECT_EQ(received->id, "r1");
    EXPECT_EQ(received->request.method, "POST");
    EXPECT_EQ(received->request.target, "/p?q=1");
    EXPECT_EQ(received->request.headers.find("host"), "h");
    EXPECT_EQ(received->request.body, sent.request.body);
    EXPECT_EQ(received->service, "llm");
    EXPECT_EQ(received->route.kind, fleet::RouteKind::Streaming);
    EXPECT_EQ(received->route.maxAttempts, 2U);
    EXPECT_TRUE(received->route.resumable);
    EXPECT_EQ(received->deadlineLeft, 1500ms);
    EXPECT_EQ(received->softwareVersion, "v1");
    EXPECT_TRUE(received->owed);
    EXPECT_EQ(received->basis.configuration, 7U);
    EXPECT_EQ(received->basis.callerKey, sent.basis.callerKey);
    EXPECT_EQ(received->basis.batch, "b1");
    EXPECT_EQ(received->basis.ownerEpoch, 3U);
}

TEST(RelayMessagesTest, BytesThatAreNoRequestAreRefused)
{
    EXPECT_FALSE(parseRelayed(""));
    EXPECT_FALSE(parseRelayed("no request"));
    EXPECT_FALSE(parseRelayed(relayMessage({})));
}

} // namespace
} // namespace bergamot::relay
