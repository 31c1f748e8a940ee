// Idempotency keys under random faults. The number of seeds comes from BERGAMOT_PROPERTY_SEEDS (default 10).

#include <future>

#include <gtest/gtest.h>

#include "bergamot/journal/property_seeds.h"
#include "bergamot/journal/random_log.h"
#include "bergamot/keys/key_service.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;
using inner::KeyVerdict;

constexpr Duration Step = 50ms;
constexpr int StepsPerSeed = 3000; // 2.5 minutes
constexpr int Keys = 40;
constexpr int Nodes = 3;

/// One process that may commit claims.
struct Node
{
    Node(RandomLog &log, EventLoop &loop, const std::string &name, std::uint64_t incarnation)
        : client(log, name, incarnation, fold)
        , service({.writer = name, .incarnation = incarnation, .stream = log.stream},
                  loop,
                  log.clock,
                  client,
                  fold,
                  [this] {
                      return client.caughtUp();
                  })
    { }

    KeyFold fold;
    RandomLogClient client;
    KeyService service;
    std::vector<std::function<void(KeyService &)>> inbox; // frames that wait while it is paused
};

/// One try of a caller through some entry: asks committers for its claim and dispatches when one grants it.
struct Attempt
{
    inner::KeyClaimT claim;
    int asks = 0;
    int waitingFor = 0; // the ask whose reply counts
    bool over = false;
};

class KeyWorld
{
public:
    explicit KeyWorld(std::uint64_t seed)
        : m_log(seed, "keys.north", std::make_unique<KeyFold>())
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
            if (m_log.oneIn(4)) {
                startAttempt();
            }
            for (int node = 0; node < Nodes; ++node) {
                step(*m_nodes[node]);
            }
        }
    }

    void checkEnd() const
    {
        int ran = 0;
        for (const auto &[key, runs] : m_runs) {
            EXPECT_LE(runs, 1) << key;
            ran += runs;
        }
        EXPECT_GT(ran, Keys / 2);
    }

private:
    void start(int index)
    {
        m_nodes[index] = std::make_unique<Node>(m_log, m_loop, "node-" + std::to_string(index), ++m_incarnations);
    }

    void settle()
    {
        std::promise<void> idle;
        m_loop.post([&idle] {
            idle.set_value();
        });
        idle.get_future().wait();
    }

    void injectFaults()
    {
        m_log.injectFaults({});
        for (int index = 0; index < Nodes; ++index) {
            m_nodes[index]->client.injectFaults({});
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
        const bool advanced = node.client.step();
        settle();
        if (advanced) {
            ASSERT_FALSE(node.client.diverged()) << "at offset " << node.fold.applied();
            node.service.onApplied();
        }
        for (const auto &frame : std::exchange(node.inbox, {})) {
            frame(node.service);
        }
        node.service.tick();
    }

    void startAttempt()
    {
        auto attempt = std::make_shared<Attempt>();
        attempt->claim.key = "key-" + std::to_string(m_log.random() % Keys);
        attempt->claim.claim_id = "claim-" + std::to_string(++m_attempts);
        attempt->claim.body_digest = "same";
        ask(attempt);
    }

    /// Asks one committer; asks another one with the same claim when no reply comes in time.
    void ask(const std::shared_ptr<Attempt> &attempt)
    {
        if (attempt->asks == 3) {
            giveUp(attempt);
            return;
        }
        const int number = ++attempt->asks;
        attempt->waitingFor = number;
        sendTo(pick(), [this, attempt, number](KeyService &service) {
            service.claim(attempt->claim, [this, attempt, number](const Result<inner::KeyClaimReplyT> &reply) {
                const KeyVerdict verdict = reply->verdict;
                if (!m_log.oneIn(6)) {
                    m_log.after(m_log.between(1ms, 100ms), [this, attempt, number, verdict] {
                        replied(attempt, number, verdict);
                    });
                }
            });
        });
        m_log.after(3s, [this, attempt, number] {
            if (!attempt->over && attempt->waitingFor == number) {
                ask(attempt);
            }
        });
    }

    void replied(const std::shared_ptr<Attempt> &attempt, int number, KeyVerdict verdict)
    {
        if (attempt->over || attempt->waitingFor != number) {
            return;
        }
        attempt->over = true;
        if (verdict == KeyVerdict::Granted) {
            dispatch(attempt);
        } else if (verdict == KeyVerdict::Refused) {
            report(attempt, false, true);
        }
    }

    void giveUp(const std::shared_ptr<Attempt> &attempt)
    {
        attempt->over = true;
        report(attempt, false, true);
    }

    void dispatch(const std::shared_ptr<Attempt> &attempt)
    {
        const bool runs = !m_log.oneIn(5);
        m_runs[attempt->claim.key] += runs ? 1 : 0;
        if (m_log.oneIn(10)) {
            return; // the entry dies before it can report
        }
        m_log.after(m_log.between(1ms, 2s), [this, attempt, runs] {
            report(attempt, runs, !m_log.oneIn(4));
        });
    }

    void report(const std::shared_ptr<Attempt> &attempt, bool ran, bool known)
    {
        inner::KeyOutcomeT outcome;
        outcome.key = attempt->claim.key;
        outcome.claim_id = attempt->claim.claim_id;
        outcome.ran = ran;
        outcome.known = known;
        outcome.status = 200;
        sendTo(pick(), [outcome](KeyService &service) {
            service.outcome(outcome, [](const Result<inner::KeyOutcomeReplyT> &) {});
        });
    }

    int pick()
    {
        return m_log.oneIn(4) ? static_cast<int>(m_log.random() % Nodes) : 0;
    }

    void sendTo(int node, std::function<void(KeyService &)> frame)
    {
        if (m_log.oneIn(15)) {
            return; // lost on the way
        }
        m_log.after(m_log.between(1ms, 50ms), [this, node, frame = std::move(frame)] {
            m_nodes[node]->inbox.push_back(frame);
        });
    }

    RandomLog m_log;
    EventLoop m_loop;
    std::map<int, std::unique_ptr<Node>> m_nodes;
    std::map<std::string, int> m_runs;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_attempts = 0;
};

TEST(KeyProperty, dispatchesNoKeyTwiceWhateverFails)
{
    runSeeds<KeyWorld>(10);
}

} // namespace
} // namespace bergamot
