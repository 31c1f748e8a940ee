#include "bergamot/samples/internal/strategy_run.h"

#include <cstdio>
#include <random>

namespace bergamot
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t EngineCount = 9;
constexpr std::uint32_t SharedGroups[]{48, 24, 12}; // trainers with equal shares need different amounts
constexpr std::chrono::hours RunLimit{12};

SampleSimulationOptions simulationOptions(const RunOptions &run)
{
    SampleSimulationOptions options;
    options.engines = EngineCount;
    options.engineLatency = run.deployment->betweenDomains;
    options.trainerLatency = run.deployment->toTrainer;
    options.engine.slots = 8;
    options.engine.tokenTime = milliseconds(300);
    options.engine.prefillTokenTime = milliseconds(5);
    options.engine.minimumLengthPercent = 30;
    options.engine.fetchTime = seconds(3);
    options.engine.swapTime = seconds(1);
    options.engine.restartTime = seconds(20);
    options.drainBeforeSwap = run.strategy->drainsBeforeSwap;
    options.scheduler.incarnation = run.seed; // part of request ids, from which engines derive text lengths
    options.scheduler.strategy = [strategy = run.strategy](const TrainerConfig &) -> const DispatchStrategy & {
        return *strategy;
    };
    for (int i = 0; i < run.trainers; ++i) {
        TrainerModelOptions trainer;
        trainer.config.trainer = TrainerId("t" + std::to_string(i));
        trainer.config.sharePercent = static_cast<std::uint32_t>(100 / run.trainers);
        trainer.config.stalenessBound = run.trainers == 1 ? 1 : 4;
        trainer.groups = run.trainers == 1 ? 64 : SharedGroups[i];
        trainer.samplesPerGroup = 8;
        trainer.maxTokens = 64;
        trainer.steps = run.steps;
        trainer.stepsAhead = 1;
        trainer.trainTime = seconds(run.trainers == 1 ? 90 : 120);
        options.trainers.push_back(trainer);
    }
    return options;
}

/// Injects faults by a seeded schedule that is the same for every strategy.
class FaultSchedule
{
public:
    FaultSchedule(bool enabled, std::uint64_t seed)
        : m_enabled(enabled)
        , m_random(seed)
    { }

    void apply(SampleSimulation &simulation, TimePoint now)
    {
        if (!m_enabled || now < m_next) {
            return;
        }
        m_next = now + seconds(40 + m_random() % 40);
        const auto engine = static_cast<std::uint16_t>(m_random() % EngineCount);
        const Address address = SampleSimulation::address(engine);
        switch (m_random() % 4) {
        case 0:
            report(simulation.engines().apply(address, {.fault = "crash", .duration = seconds(20)}));
            break;
        case 1:
            report(simulation.engines().apply(address, {.fault = "fail-swap", .count = 1}));
            break;
        case 2:
            report(simulation.engines().apply(address,
                                              {.fault = "slow-slots", .count = 8, .duration = milliseconds(1200)}));
            m_slow.emplace_back(now + seconds(60), address);
            break;
        default:
            simulation.dropReplies(1);
            break;
        }
    }

    void recover(SampleSimulation &simulation, TimePoint now)
    {
        std::erase_if(m_slow, [&](const auto &slow) {
            const bool over = now >= slow.first;
            if (over) {
                report(simulation.engines().apply(slow.second, {.fault = "slow-slots", .count = 0}));
            }
            return over;
        });
    }

private:
    static void report(const Result<void> &applied)
    {
        if (!applied) {
            std::fprintf(stderr, "cannot inject fault: %s\n", applied.error().message.c_str());
        }
    }

    bool m_enabled;
    std::mt19937_64 m_random;
    TimePoint m_next{std::chrono::hours(1) + seconds(30)};
    std::vector<std::pair<TimePoint, Address>> m_slow;
};

double mean(const std::vector<double> &values)
{
    double sum = 0;
    for (const double value : values) {
        sum += value;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

RunMeasures measure(SampleSimulation &simulation, int trainers)
{
    RunMeasures result;
    std::vector<std::uint64_t> staleness;
    double idle = 0;
    double activeTime = 0;
    result.finished = true;
    for (int i = 0; i < trainers; ++i) {
        const TrainerModel &trainer = simulation.trainer(static_cast<std::size_t>(i));
        staleness.insert(staleness.end(), trainer.staleness().begin(), trainer.staleness().end());
        idle += std::chrono::duration<double>(trainer.idle()).count();
        activeTime += std::chrono::duration<double>(trainer.activeFor()).count();
        result.finished = result.finished && trainer.isFinished();
    }
    std::sort(staleness.begin(), staleness.end());
    if (!staleness.empty()) {
        double sum = 0;
        for (const std::uint64_t each : staleness) {
            sum += static_cast<double>(each);
        }
        result.stalenessMean = sum / static_cast<double>(staleness.size());
        result.staleness50 = staleness[staleness.size() / 2];
        result.staleness99 = staleness[staleness.size() * 99 / 100];
        result.stalenessMax = staleness.back();
    }
    const TokenTotals tokens = simulation.tokens();
    const SchedulerCounters &counters = simulation.scheduler().counters();
    result.idleShare = activeTime > 0 ? idle / activeTime : 0;
    result.discardedSamples = counters.discardedTooOld + counters.cancelledTooOld + counters.discardedUnproven;
    result.extraTokens =
        static_cast<double>(tokens.made) / std::max<double>(static_cast<double>(tokens.delivered), 1) - 1;
    result.lastOverMedian = mean(simulation.lastOverMedian());
    result.violations = simulation.violations().sum();
    result.received = simulation.received();
    result.parts = simulation.stalenessParts();
    return result;
}

bool isFinished(SampleSimulation &simulation, int trainers)
{
    for (int i = 0; i < trainers; ++i) {
        if (!simulation.trainer(static_cast<std::size_t>(i)).isFinished()) {
            return false;
        }
    }
    return true;
}

} // namespace

RunMeasures runStrategy(const RunOptions &options)
{
    SampleSimulation simulation(simulationOptions(options));
    FaultSchedule schedule(options.faults, options.seed);
    const TimePoint limit = simulation.now() + RunLimit;
    while (!isFinished(simulation, options.trainers) && simulation.now() < limit) {
        schedule.recover(simulation, simulation.now());
        schedule.apply(simulation, simulation.now());
        simulation.run(seconds(1));
    }
    return measure(simulation, options.trainers);
}

} // namespace bergamot
