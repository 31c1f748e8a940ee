// Leases under random faults. The number of seeds comes from BERGAMOT_PROPERTY_SEEDS (default 20).

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
constexpr int StepsPerSeed = 6000; // 5 minutes
const std::vector<DutyId> Duties{DutyId("a"), DutyId("b"), DutyId("c")};

constexpr RandomFaults Faults{
    .outage = 1200, .longestOutage = 30s, .pause = 600, .longestPause = 40s, .cut = 1000, .heal = 300};

/// Whose order it is: an incarnation, and the number under which it holds the duty.
using Holder = std::pair<std::uint64_t, FencingNumber>;

/// An endpoint that takes orders for one duty. One that checks fencing numbers refuses lower ones.
struct OrderedEndpoint
{
    bool checksFencing = false;
    FencingNumber highest = 0;
    Holder current;
    std::set<Holder> former;
    std::uint64_t effects = 0;
    bool violated = false; // a former holder's order took effect after its successor's

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
            decision.want(duty);
        }
    }

    const std::uint64_t incarnation;
    LeaseFold fold;
    RandomLogClient client;
    LeaseDecision decision;
};

class LeaseWorld
{
public:
    explicit LeaseWorld(std::uint64_t seed)
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
            instance.decision.handBack(duty, m_log.clock.now());
        } else if (m_log.oneIn(200)) {
            instance.decision.want(Duties[m_log.random() % Duties.size()]);
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
        order(instance, now); // first of all: with what it believed when it was paused
        if (instance.client.step()) {
            instance.decision.observe(instance.fold, now);
            ASSERT_FALSE(instance.client.diverged()) << "at offset " << instance.fold.applied();
        }
        if (const std::optional<LeaseRequest> request = instance.decision.takeRequest(instance.fold, now)) {
            const RecordId id = instance.client.append(
                m_log.stream, std::string(request->kind), dutiesPayload(request->steps), [&](Result<Offset> offset) {
                    instance.decision.answered(offset, m_log.clock.now());
                });
            instance.decision.sent(id.sequence, now);
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
            // An order in the hand of a paused holder comes late; only an endpoint that checks can stand that.
            const Duration most = endpoint.checksFencing ? Duration(30s) : Duration(LeaseOptions().deliveryTime);
            m_log.after(m_log.between(1ms, most), [&endpoint, holder = Holder(instance.incarnation, *fencing)] {
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

TEST(LeaseProperty, letsAtMostOneHolderActWhateverFails)
{
    runSeeds<LeaseWorld>(20);
}

} // namespace
} // namespace bergamot
