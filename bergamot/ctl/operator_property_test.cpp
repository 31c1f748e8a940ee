// bergamotctl against two instances whose log fails at random: what the exit codes say is true. The number of seeds
// comes from BERGAMOT_PROPERTY_SEEDS (default 4).

#include <future>

#include <gtest/gtest.h>

#include "bergamot/base/json.h"
#include "bergamot/ctl/session.h"
#include "bergamot/http/captured_responder.h"
#include "bergamot/intents/intent_service.h"
#include "bergamot/journal/property_seeds.h"
#include "bergamot/journal/random_log.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

constexpr int Intents = 25;
constexpr std::uint16_t Nodes = 2;

constexpr RandomFaults Faults{.outage = 300, .cut = 300};

struct Node
{
    Node(RandomLog &log, EventLoop &loop, const std::string &name)
        : client(log, name, 1, fold)
        , service({},
                  loop,
                  log.clock,
                  client,
                  fold,
                  {[] {
                       return std::vector<InstanceVersion>();
                   },
                   [] {
                       return FleetSnapshot();
                   },
                   [this] {
                       return client.caughtUp();
                   }})
    { }

    ConfigurationFold fold;
    RandomLogClient client;
    IntentService service;
    std::vector<std::pair<HttpRequest, ResponderPtr>> inbox; // requests that wait while it is paused
};

class OperatorWorld
{
public:
    explicit OperatorWorld(std::uint64_t seed)
        : m_log(seed, std::string(ConfigurationStream), std::make_unique<ConfigurationFold>())
    {
        for (int i = 0; i < Nodes; ++i) {
            m_nodes.push_back(std::make_unique<Node>(m_log, m_loop, "node-" + std::to_string(i)));
        }
    }

    /// Runs the command line until its outcome is definite; code 4 is answered by running it again.
    ExitCode run(const std::vector<std::string> &words)
    {
        const Result<Command> command = parseCommand(words, "anna", [](const std::string &id) {
            return Result<std::string>(R"({"id":")" + id + R"(","set":{"models":{")" + id + R"(":{}}}})");
        });
        ExitCode code = ExitCode::Unknown;
        for (int i = 0; i < 20 && code == ExitCode::Unknown; ++i) {
            SessionOptions options;
            options.control = {{"127.0.0.1", 0}, {"127.0.0.1", 1}};
            std::rotate(
                options.control.begin(), options.control.begin() + (m_log.oneIn(2) ? 1 : 0), options.control.end());
            code = runCommand(*command, options, world());
        }
        return code;
    }

    /// The state of every plan once all faults are over.
    std::map<std::string, PlanState> outcomes()
    {
        m_faults = false;
        m_log.out = false;
        for (const std::unique_ptr<Node> &node : m_nodes) {
            node->client.cutOff = false;
            node->client.pausedUntil = m_log.clock.now();
        }
        for (int i = 0; i < 2000; ++i) {
            step();
        }
        std::map<std::string, PlanState> states;
        for (const auto &[offset, entry] : m_nodes.front()->fold.plans()) {
            states[entry.intent.value()] = entry.state;
        }
        return states;
    }

private:
    SessionWorld world()
    {
        return {[this](const Address &to, const HttpRequest &request, std::chrono::milliseconds timeout) {
                    return call(*m_nodes[to.port], request, timeout);
                },
                [this](std::chrono::milliseconds time) {
                    wait(time, [] {
                        return false;
                    });
                },
                [](const std::string &) {},
                [](const std::string &) {},
                m_log.clock};
    }

    CallOutcome call(Node &node, const HttpRequest &request, std::chrono::milliseconds timeout)
    {
        if (m_log.oneIn(10)) {
            return tl::unexpected(CallFailure{.delivery = Delivery::NotSent, .timedOut = false, .message = "refused"});
        }
        auto reply = std::make_shared<CapturedResponder>();
        node.inbox.emplace_back(request, reply);
        wait(timeout, [&reply] {
            return reply->answer.has_value();
        });
        if (!reply->answer || m_log.oneIn(10)) {
            return tl::unexpected(CallFailure{.delivery = Delivery::MaybeRan, .timedOut = true, .message = "silent"});
        }
        return *reply->answer;
    }

    void wait(std::chrono::milliseconds time, const std::function<bool()> &over)
    {
        for (const TimePoint end = m_log.clock.now() + time; m_log.clock.now() < end && !over();) {
            step();
        }
    }

    void step()
    {
        m_log.advance(50ms);
        if (m_faults) {
            injectFaults();
        }
        for (const std::unique_ptr<Node> &node : m_nodes) {
            step(*node);
        }
    }

    void step(Node &node)
    {
        if (node.client.paused()) {
            return;
        }
        const bool advanced = node.client.step();
        std::promise<void> idle;
        m_loop.post([&idle] {
            idle.set_value();
        });
        idle.get_future().wait();
        for (const auto &[request, responder] : std::exchange(node.inbox, {})) {
            node.service.handle(request, responder);
        }
        if (advanced) {
            node.service.onApplied();
        }
        node.service.tick();
    }

    void injectFaults()
    {
        m_log.injectFaults(Faults);
        for (const std::unique_ptr<Node> &node : m_nodes) {
            node->client.injectFaults(Faults);
        }
    }

    RandomLog m_log;
    EventLoop m_loop;
    std::vector<std::unique_ptr<Node>> m_nodes;
    bool m_faults = true;
};

TEST(OperatorProperty, canTrustTheExitCodes)
{
    std::map<ExitCode, int> confirmations;
    for (int seed = 1; seed <= seedCount(4); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        OperatorWorld world(static_cast<std::uint64_t>(seed));
        std::map<std::string, ExitCode> codes;
        for (int i = 0; i < Intents; ++i) {
            const std::string id = "intent-" + std::to_string(i);
            if (world.run({"plan", id}) == ExitCode::Done) {
                codes[id] = world.run({"confirm", "plan-" + id});
                ++confirmations[codes[id]];
            }
        }
        const std::map<std::string, PlanState> states = world.outcomes();
        for (const auto &[id, code] : codes) {
            if (code != ExitCode::Unknown) {
                EXPECT_EQ(states.at(id) == PlanState::Confirmed, code == ExitCode::Done) << id;
            }
        }
    }
    EXPECT_GT(confirmations[ExitCode::Done], seedCount(4) * Intents / 4);
}

} // namespace
} // namespace bergamot
