// The configuration under random faults. The number of seeds comes from BERGAMOT_PROPERTY_SEEDS (default 4).

#include <gtest/gtest.h>

#include "bergamot/base/json.h"
#include "bergamot/intents/configuration_fold.h"
#include "bergamot/journal/property_seeds.h"
#include "bergamot/journal/random_log.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

constexpr Duration Step = 50ms;
constexpr int StepsPerSeed = 3000; // 2.5 minutes
constexpr int Nodes = 4;

constexpr RandomFaults Faults{.pause = 400, .longestPause = 40s};

struct Node
{
    Node(RandomLog &log, const std::string &name, std::uint64_t incarnation)
        : client(log, name, incarnation, fold)
    { }

    ConfigurationFold fold;
    RandomLogClient client;
    std::uint64_t version = 0; // highest seen in force here
};

/// Operators post and confirm colliding intents through all nodes and ask again, with the same id, when they are told
/// nothing.
class ConfigurationWorld
{
public:
    explicit ConfigurationWorld(std::uint64_t seed)
        : m_log(seed, std::string(ConfigurationStream), std::make_unique<ConfigurationFold>())
    {
        for (int i = 0; i < Nodes; ++i) {
            start(i);
        }
    }

    void run()
    {
        for (int i = 0; i < StepsPerSeed && !testing::Test::HasFailure(); ++i) {
            m_log.advance(Step);
            injectFaults();
            for (auto &[index, node] : m_nodes) {
                step(*node);
            }
        }
    }

    void checkEnd() const
    {
        EXPECT_GT(m_newest, 10U);
        EXPECT_EQ(m_versions.size(), m_newest); // each version was made by exactly one plan
    }

private:
    void start(int index)
    {
        m_nodes[index] = std::make_unique<Node>(m_log, "node-" + std::to_string(index), ++m_incarnations);
    }

    void injectFaults()
    {
        m_log.injectFaults(Faults);
        for (int index = 0; index < Nodes; ++index) {
            m_nodes[index]->client.injectFaults(Faults);
            if (m_log.oneIn(800)) {
                start(index);
            }
        }
    }

    void step(Node &node)
    {
        if (node.client.paused()) {
            return;
        }
        if (node.client.step()) {
            ASSERT_FALSE(node.client.diverged()) << "at offset " << node.fold.applied();
            checkVersions(node);
        }
        if (m_log.oneIn(40)) {
            post(node);
        }
        if (m_log.oneIn(30)) {
            confirmAny(node);
        }
    }

    void checkVersions(Node &node)
    {
        const std::uint64_t version = node.fold.configuration().version;
        ASSERT_GE(version, node.version);
        node.version = version;
        m_newest = std::max(m_newest, version);
        for (const auto &[offset, entry] : node.fold.plans()) {
            if (entry.state == PlanState::Confirmed) {
                const auto [made, isNew] = m_versions.emplace(entry.version, entry.intent);
                ASSERT_EQ(made->second, entry.intent) << "version " << entry.version;
                ASSERT_EQ(entry.version, entry.baseVersion + 1) << entry.intent.value();
            }
        }
    }

    void post(Node &node)
    {
        // A small space of ids: the same intent is posted through several nodes, and after its answer was lost.
        const std::string id = "i" + std::to_string(m_newest) + "-" + std::to_string(m_log.random() % 3);
        const std::string text = R"({"id":")" + id + R"(","operator":"op","set":{"models":{"m":{"version":)"
            + std::to_string(m_newest + 1) + "}}}}";
        node.client.append(
            m_log.stream,
            "intent",
            intentPayload(
                *parseIntent(*parseJson(text)), node.fold.configuration().version, web::json::value::object(), {}),
            [](const Result<Offset> &) {});
    }

    void confirmAny(Node &node)
    {
        std::vector<PlanId> planned;
        for (const auto &[offset, entry] : node.fold.plans()) {
            if (entry.state == PlanState::Planned) {
                planned.push_back(planIdOf(entry.intent));
            }
        }
        if (!planned.empty()) {
            const PlanId &plan = planned[m_log.random() % planned.size()];
            node.client.append(m_log.stream, "confirm", confirmPayload(plan, "op"), [](const Result<Offset> &) {});
        }
    }

    RandomLog m_log;
    std::map<int, std::unique_ptr<Node>> m_nodes;
    std::map<std::uint64_t, IntentId> m_versions;
    std::uint64_t m_newest = 0;
    std::uint64_t m_incarnations = 0;
};

TEST(ConfigurationProperty, neverRevertsAndIsEqualEverywhereWhateverFails)
{
    runSeeds<ConfigurationWorld>(4);
}

} // namespace
} // namespace bergamot
