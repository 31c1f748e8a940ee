// Checks with random faults that a duty never has two holders at once and that no order of a former holder takes effect
// after an order of its successor. BERGAMOT_PROPERTY_SEEDS sets the number of seeds (default 20).

#include <gtest/gtest.h>

#include "bergamot/journal/property_seeds.h"
#include "bergamot/journal/random_log.h"
#include "bergamot/leases/lease_decision.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

constexpr Duration Step = 50ms;
constexpr int StepsPerSeed = 6000; // 5 minutes of simulated time
const std::vector<DutyId> Duties{DutyId("a"), DutyId("b"), DutyId("c")};

constexpr RandomFaults Faults{
    .outage = 1200, .longestOutage = 30s, .pause = 600, .longestPause = 40s, .cut = 1000, .heal = 300};

/// The sender of an order: its incarnation and the fencing number under which it holds the duty.
using Holder = std::pair<std::uint64_t, FencingNumber>;

/// An endpoint that receives orders for one duty. If `checksFencing` is set, it refuses orders with a lower fencing
/// number than the highest one received.
struct OrderedEndpoint
{
    bool checksFencing = false;
    FencingNumber highest = 0;
    Holder current;
    std::set<Holder> former;
    std::uint64_t effects = 0;
    bool violated = false; // an order of a former holder took effect after one of its successor

    void deliver(const Holder &holder)
    {
        if (checksFencing && holder.second < highest) {
            return;
        }
        highest = holder.second;
        violated = violated || former.contains(holder);
        if (holder != current) {
            former.insert(current);
            current = holder;
        }
        ++effects;
    }
};

struct Instance
{
    Instance(RandomLog &log, const std::string &name, std::uint64_t started)
        : incarnation(started)
        , client(log, name, started, fold)
        , decision(LeaseOptions{.holder = name, .incarnation = started})
    {
        for (const DutyId &duty : Duties) {
            decision.acquire(duty);
        }
    }

    const std::uint64_t incarnation;
    LeaseFold fold;
    RandomLogClient client;
    LeaseDecision decision;
};

/// Four instances that compete for `Duties` over one log.
class LeaseSimulation
{
public:
    explicit LeaseSimulation(std::uint64_t seed)
        : m_log(seed, std::string(DutiesStream), std::make_unique<LeaseFold>())
    {
        for (int i = 0; i < 4; ++i) {
            start(i);
        }
        for (std::size_t i = 0; i < Duties.size(); ++i) {
            m_endpoints[Duties[i]].checksFencing = i == 0;
        }
    }

    void run()
    {
        for (int i = 0; i < StepsPerSeed && !testing::Test::HasFailure(); ++i) {
            m_log.advance(Step);
            injectFaults();
            for (auto &[index, instance] : m_instances) {
                step(*instance);
            }
            checkHolders();
        }
    }

    void checkEnd() const
    {
        for (const auto &[duty, endpoint] : m_endpoints) {
            EXPECT_FALSE(endpoint.violated) << duty.value();
            EXPECT_GT(endpoint.effects, 0U) << duty.value();
        }
    }

private:
    void start(int index)
    {
        m_instances.erase(index);
        m_instances.emplace(index,
                            std::make_unique<Instance>(m_log, "instance-" + std::to_string(index), ++m_incarnations));
    }

    void injectFaults()
    {
        m_log.injectFaults(Faults);
        for (auto &[index, instance] : m_instances) {
            injectFaults(index, *instance);
        }
    }

    void injectFaults(int index, Instance &instance)
    {
        instance.client.injectFaults(Faults);
        if (m_log.oneIn(400)) {
            const DutyId &duty = Duties[m_log.random() % Duties.size()];
            instance.decision.relinquish(duty, m_log.clock.now());
        } else if (m_log.oneIn(200)) {
            instance.decision.acquire(Duties[m_log.random() % Duties.size()]);
        }
        if (m_log.oneIn(2500)) {
            m_restarts.push_back(index);
        }
    }

    void step(Instance &instance)
    {
        const TimePoint now = m_log.clock.now();
        if (instance.client.paused()) {
            return;
        }
        order(instance, now); // comes first, so that a resumed instance acts on its view from before the pause
        if (instance.client.step()) {
            instance.decision.observe(instance.fold, now);
            ASSERT_FALSE(instance.client.diverged()) << "at offset " << instance.fold.applied();
        }
        if (const std::optional<LeaseRequest> request = instance.decision.takeRequest(instance.fold, now)) {
            const RecordId id = instance.client.append(
                m_log.stream, std::string(request->kind), dutiesPayload(request->updates), [&](Result<Offset> offset) {
                    instance.decision.recordAnswer(offset, m_log.clock.now());
                });
            instance.decision.recordSent(id.sequence, now);
        }
    }

    void order(Instance &instance, TimePoint now)
    {
        for (const DutyId &duty : Duties) {
            const std::optional<FencingNumber> fencing = instance.decision.fencing(instance.fold, duty, now);
            if (!fencing || !m_log.oneIn(10)) {
                continue;
            }
            OrderedEndpoint &endpoint = m_endpoints[duty];
            // The order of a paused holder can arrive after its successor's orders, which is safe only if the endpoint
            // checks fencing numbers.
            const Duration maxDelay = endpoint.checksFencing ? Duration(30s) : Duration(LeaseOptions().deliveryTime);
            m_log.after(m_log.between(1ms, maxDelay), [&endpoint, holder = Holder(instance.incarnation, *fencing)] {
                endpoint.deliver(holder);
            });
        }
    }

    void checkHolders()
    {
        for (const DutyId &duty : Duties) {
            int holders = 0;
            for (const auto &[index, instance] : m_instances) {
                holders += instance->decision.holds(instance->fold, duty, m_log.clock.now()) ? 1 : 0;
            }
            ASSERT_LE(holders, 1) << duty.value();
        }
        for (const int index : std::exchange(m_restarts, {})) {
            start(index);
        }
    }

    RandomLog m_log;
    std::map<DutyId, OrderedEndpoint> m_endpoints;
    std::map<int, std::unique_ptr<Instance>> m_instances;
    std::vector<int> m_restarts;
    std::uint64_t m_incarnations = 0;
};

TEST(LeaseProperty, atMostOneHolderActsUnderRandomFaults)
{
    runSeeds<LeaseSimulation>(20);
}

} // namespace
} // namespace bergamot
