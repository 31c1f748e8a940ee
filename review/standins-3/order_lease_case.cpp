#include "review/standins-3/order_lease_case.h"

#include <csignal>
#include <map>

namespace bergamot::review
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration Lease = 3000ms; // `lease_ms` of the small deployments
constexpr Duration LossTime = 2000ms; // of answers of the store, from the naming of a version on
constexpr std::size_t LossPeriod = 3; // the first of so many writes is lost: at most a third
constexpr std::size_t Items = 24; // of a step
constexpr std::uint32_t GroupSize = 4;
constexpr Duration StepTimeout = 7500ms;
constexpr Duration TrainingTime = 500ms;
constexpr Duration TimeLimit = 90s;

std::string stepBody(const std::string &name, std::uint64_t step, std::uint64_t minVersion)
{
    platform::BatchParameters batch{.step = step,
                                    .minVersion = minVersion,
                                    .wantedGroups = static_cast<std::uint32_t>(Items) / GroupSize,
                                    .groupSize = GroupSize,
                                    .items = {}};
    for (std::size_t index = 0; index < Items; ++index) {
        batch.items.push_back(name + "-" + std::to_string(index));
    }
    return platform::batchJson(batch);
}

/// The rule as written, for engines that do not check fences.
bool leaseHeld(ReviewFleet &fleet)
{
    bool held = true;
    std::map<std::string, SeenOrder> newest; // by engine
    for (const SeenOrder &order : fleet.orders) {
        const auto before = newest.find(order.engine);
        if (before != newest.end() && before->second.machine != order.machine && order.at - before->second.at < Lease) {
            const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(order.at - before->second.at);
            fleet.record("BROKEN: " + order.engine + " got orders of " + before->second.machine + " (fencing token "
                         + std::to_string(before->second.fencingToken) + ") and " + order.machine + " ("
                         + std::to_string(order.fencingToken) + ") within " + std::to_string(gap.count()) + " ms");
            held = false;
        }
        newest[order.engine] = order;
    }
    return held;
}

class OrderLeaseCase
{
public:
    explicit OrderLeaseCase(const ReviewOptions &options)
        : m_options(options)
        , m_fleet(
              options,
              {.engines = 1, .engine = {.slots = 8, .eventInterval = 20ms, .eventsPerSample = 10, .loadTime = 900ms}})
    { }

    CaseOutcome run()
    {
        const TimePoint begin = BootClock::now();
        m_fleet.onStoreCall = [this](std::size_t machine, const WatchedRequest &request) {
            return fateOf(machine, request);
        };
        m_fleet.onOrder = [this](const SeenOrder &order) {
            if (m_restartHolder && order.version == m_version) {
                m_restartHolder = false;
                m_holder = order.machine;
            }
        };
        if (!m_fleet.start()) {
            return CaseOutcome::CouldNotRun;
        }
        while (BootClock::now() - begin < TimeLimit && m_rounds < MaxRounds) {
            if (!step()) {
                break;
            }
            ++m_rounds;
            if (!leaseHeld(m_fleet)) {
                return CaseOutcome::Broken;
            }
        }
        m_fleet.record("rounds: " + std::to_string(m_rounds) + ", restarts: " + std::to_string(m_restarts));
        return m_restarts == 0 ? CaseOutcome::CouldNotRun : CaseOutcome::Held;
    }

private:
    static constexpr std::size_t MaxRounds = 12;

    AnswerFate fateOf(std::size_t machine, const WatchedRequest &request)
    {
        const bool ofOwner = request.line.starts_with("POST /bergamotwinch/log-append")
            && request.line.find("producer=pool") != std::string::npos;
        if (!ofOwner || BootClock::now() >= m_lossUntil) {
            return AnswerFate::Passed;
        }
        const bool lost = m_writes++ % LossPeriod == 0;
        if (lost) {
            m_fleet.record("the store carries out a write of " + m_fleet.machines[machine]->name()
                           + ", its answer is lost: " + request.line);
        }
        return lost ? AnswerFate::Lost : AnswerFate::Passed;
    }

    /// A step of the trainer. In every second one the machine that orders the newest version is restarted.
    bool step()
    {
        ++m_version;
        m_fleet.nameVersion(m_version);
        const bool restarts = m_version % 2 == 0;
        m_restartHolder = restarts;
        m_holder.clear();
        if (restarts && m_options.trouble) {
            m_writes = 0;
            m_lossUntil = BootClock::now() + LossTime;
        }
        const std::string name = "step-" + std::to_string(m_version);
        m_fleet.runFor(300ms);
        if (!m_fleet.submitUntilAccepted(name, stepBody(name, m_version, m_version), StepTimeout)) {
            return false;
        }
        if (restarts) {
            m_fleet.runUntil(
                [this] {
                    return !m_holder.empty();
                },
                StepTimeout);
            restartHolder();
        }
        m_fleet.readUntilListed(name, Items, StepTimeout);
        m_fleet.endAnywhere(name, m_fleet.machines.size());
        m_fleet.runFor(TrainingTime);
        return true;
    }

    void restartHolder()
    {
        for (const std::unique_ptr<NodeMachine> &machine : m_fleet.machines) {
            if (machine->name() != m_holder) {
                continue;
            }
            m_fleet.record("SIGTERM to " + machine->name());
            machine->signal(SIGTERM);
            ++m_restarts;
        }
        m_holder.clear();
    }

    const ReviewOptions &m_options;
    ReviewFleet m_fleet;
    std::uint64_t m_version = 1;
    std::size_t m_rounds = 0;
    std::size_t m_restarts = 0;
    std::size_t m_writes = 0; // since answers are lost
    TimePoint m_lossUntil{};
    bool m_restartHolder = false; // of the next order of the newest version
    std::string m_holder; // that gave this order
};

} // namespace

CaseOutcome runOrderLeaseCase(const ReviewOptions &options)
{
    OrderLeaseCase orderLease(options);
    return orderLease.run();
}

} // namespace bergamot::review
