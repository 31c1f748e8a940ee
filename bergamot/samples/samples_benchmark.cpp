// Measures strategies for samples in discrete time: 9 model engines in 3 failure domains, 1 and 3 trainers, both
// deployments, with and without faults. Prints one line for each run; every figure follows from the seed alone.
//
//     samples_benchmark [steps]          every strategy
//     samples_benchmark [steps] sweep    values of aheadShare and swapPatience, for choosing them
//     samples_benchmark 0 memory         17 trainers with 4,096 samples each

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>

#include "bergamot/samples/internal/sample_world.h"

namespace
{

using namespace bergamot;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t Seed = 20261203;
constexpr std::uint16_t EngineCount = 9;
constexpr std::uint32_t SharedGroups[]{48, 24, 12}; // trainers need unlike amounts, at equal shares

struct Deployment
{
    const char *name;
    Duration betweenDomains; // one way
    Duration toTrainer; // one way
    const DispatchStrategy *strategy;
};

const Deployment Deployments[]{
    {"Kigali", std::chrono::microseconds(1500), milliseconds(1), &StalenessFirst},
    {"Bengal", milliseconds(1), milliseconds(3), &IdleTimeFirst},
};

struct Contender
{
    const DispatchStrategy *strategy;
    bool drainBeforeSwap;
};

const Contender Contenders[]{
    {&StaticSplit, false},
    {&WaitForAll, true},
    {&IdleTimeFirst, false},
    {&StalenessFirst, false},
};

struct Measures
{
    double idleShare = 0;
    double stalenessMean = 0;
    std::uint64_t staleness50 = 0;
    std::uint64_t staleness99 = 0;
    std::uint64_t stalenessMax = 0;
    std::uint64_t thrownAway = 0;
    double extraTokens = 0;
    double lastOverMedian = 0;
    std::uint64_t violations = 0;
    std::uint64_t received = 0;
    bool finished = false;
};

SampleWorldOptions
worldOptions(const Deployment &deployment, const Contender &contender, int trainers, std::uint64_t steps)
{
    SampleWorldOptions options;
    options.engines = EngineCount;
    options.engineLatency = deployment.betweenDomains;
    options.trainerLatency = deployment.toTrainer;
    options.engine.slots = 8;
    options.engine.tokenTime = milliseconds(300);
    options.engine.prefillTokenTime = milliseconds(5);
    options.engine.minimumLengthPercent = 30;
    options.engine.fetchTime = seconds(3);
    options.engine.swapTime = seconds(1);
    options.engine.restartTime = seconds(20);
    options.drainBeforeSwap = contender.drainBeforeSwap;
    options.scheduler.strategy = [strategy = contender.strategy](const TrainerConfig &) -> const DispatchStrategy & {
        return *strategy;
    };
    for (int i = 0; i < trainers; ++i) {
        TrainerModelOptions trainer;
        trainer.config.trainer = TrainerId("t" + std::to_string(i));
        trainer.config.sharePercent = static_cast<std::uint32_t>(100 / trainers);
        trainer.config.stalenessBound = trainers == 1 ? 1 : 4;
        trainer.groups = trainers == 1 ? 64 : SharedGroups[i];
        trainer.samplesPerGroup = 8;
        trainer.maxTokens = 64;
        trainer.steps = steps;
        trainer.stepsAhead = 1;
        trainer.trainTime = seconds(trainers == 1 ? 90 : 120);
        options.trainers.push_back(trainer);
    }
    return options;
}

/// Faults by a seeded schedule that is the same for every contender.
class FaultSchedule
{
public:
    explicit FaultSchedule(bool enabled)
        : m_enabled(enabled)
        , m_random(Seed)
    { }

    void apply(SampleWorld &world, TimePoint now)
    {
        if (!m_enabled || now < m_next) {
            return;
        }
        m_next = now + seconds(40 + m_random() % 40);
        const auto engine = static_cast<std::uint16_t>(m_random() % EngineCount);
        const Address address = SampleWorld::address(engine);
        switch (m_random() % 4) {
        case 0:
            report(world.engines().apply(address, {.fault = "crash", .duration = seconds(20)}));
            break;
        case 1:
            report(world.engines().apply(address, {.fault = "fail-swap", .count = 1}));
            break;
        case 2:
            report(world.engines().apply(address, {.fault = "slow-slots", .count = 8, .duration = milliseconds(1200)}));
            m_slow.emplace_back(now + seconds(60), address);
            break;
        default:
            world.loseAnswers(1);
            break;
        }
    }

    void recover(SampleWorld &world, TimePoint now)
    {
        std::erase_if(m_slow, [&](const auto &slow) {
            const bool over = now >= slow.first;
            if (over) {
                report(world.engines().apply(slow.second, {.fault = "slow-slots", .count = 0}));
            }
            return over;
        });
    }

private:
    static void report(const Result<void> &applied)
    {
        if (!applied) {
            std::fprintf(stderr, "fault not applied: %s\n", applied.error().message.c_str());
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

Measures measure(SampleWorld &world, int trainers)
{
    Measures result;
    std::vector<std::uint64_t> staleness;
    double idle = 0;
    double whole = 0;
    result.finished = true;
    for (int i = 0; i < trainers; ++i) {
        const TrainerModel &trainer = world.trainer(static_cast<std::size_t>(i));
        staleness.insert(staleness.end(), trainer.staleness().begin(), trainer.staleness().end());
        idle += std::chrono::duration<double>(trainer.idle()).count();
        whole += std::chrono::duration<double>(trainer.activeFor()).count();
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
    const WorldTokens tokens = world.tokens();
    const SchedulerCounters &counters = world.scheduler().counters();
    result.idleShare = whole > 0 ? idle / whole : 0;
    result.thrownAway = counters.discardedTooOld + counters.cancelledTooOld + counters.discardedUnproven;
    result.extraTokens =
        static_cast<double>(tokens.made) / std::max<double>(static_cast<double>(tokens.delivered), 1) - 1;
    result.lastOverMedian = mean(world.lastOverMedian());
    result.violations = world.violations().sum();
    result.received = world.received();
    return result;
}

Measures run(const Deployment &deployment, const Contender &contender, int trainers, bool faults, std::uint64_t steps)
{
    SampleWorld world(worldOptions(deployment, contender, trainers, steps));
    FaultSchedule schedule(faults);
    const TimePoint limit = world.now() + std::chrono::hours(12);
    const auto finished = [&] {
        for (int i = 0; i < trainers; ++i) {
            if (!world.trainer(static_cast<std::size_t>(i)).isFinished()) {
                return false;
            }
        }
        return true;
    };
    while (!finished() && world.now() < limit) {
        schedule.recover(world, world.now());
        schedule.apply(world, world.now());
        world.run(seconds(1));
    }
    return measure(world, trainers);
}

void print(
    const Deployment &deployment, const Contender &contender, int trainers, bool faults, const Measures &measures)
{
    std::printf("%-7s %d %-6s %-13s idle %5.1f%%  staleness mean %.3f p50 %llu p99 %llu max %llu  thrown %4llu  "
                "extra %5.2f%%  last/median %.2f  received %llu  violations %llu%s\n",
                deployment.name,
                trainers,
                faults ? "faults" : "calm",
                std::string(contender.strategy->name).c_str(),
                100 * measures.idleShare,
                measures.stalenessMean,
                static_cast<unsigned long long>(measures.staleness50),
                static_cast<unsigned long long>(measures.staleness99),
                static_cast<unsigned long long>(measures.stalenessMax),
                static_cast<unsigned long long>(measures.thrownAway),
                100 * measures.extraTokens,
                measures.lastOverMedian,
                static_cast<unsigned long long>(measures.received),
                static_cast<unsigned long long>(measures.violations),
                measures.finished ? "" : "  NOT FINISHED");
    std::fflush(stdout);
}

std::uint64_t residentKilobytes()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            std::uint64_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes;
        }
    }
    return 0;
}

/// Memory for 17 trainers with 4,096 samples a step: handed in, and with every text whole and not yet drawn.
void measureMemory()
{
    constexpr int Trainers = 17;
    constexpr std::uint32_t Groups = 512;
    constexpr std::uint32_t PerGroup = 8;
    constexpr std::size_t PromptBytes = 2048;
    constexpr std::size_t TextBytes = 4096;
    const std::uint64_t before = residentKilobytes();
    std::vector<std::unique_ptr<Step>> steps;
    for (int i = 0; i < Trainers; ++i) {
        std::vector<GroupSpec> groups;
        for (std::uint32_t group = 0; group < Groups; ++group) {
            groups.push_back({std::string(PromptBytes, 'p'), PerGroup, 1024});
        }
        steps.push_back(
            std::make_unique<Step>(StepKey{TrainerId("t" + std::to_string(i)), 1}, makeStepSpec(std::move(groups))));
    }
    const std::uint64_t handedIn = residentKilobytes();
    for (const auto &step : steps) {
        for (std::uint32_t offset = 0; offset < step->spec().sampleCount; ++offset) {
            step->start(offset);
            FinishedSample finished;
            finished.text = std::string(TextBytes, 't');
            finished.spans = {{4, 1000}, {5, 24}};
            step->beginScoring(offset, std::move(finished));
            step->makeReady(offset);
        }
    }
    std::printf(
        "memory, 17 trainers x 4096 samples: handed in (2 KiB prompts) %llu KiB; all whole (4 KiB texts) %llu KiB\n",
        static_cast<unsigned long long>(handedIn - before),
        static_cast<unsigned long long>(residentKilobytes() - before));
}

void sweep(std::uint64_t steps)
{
    static DispatchStrategy strategy = StalenessFirst;
    for (const int trainers : {1, 3}) {
        for (const int patience : {0, 8, 16}) {
            for (const double share : {0.3, 0.5, 0.7, 0.9, 1.0}) {
                strategy.aheadShare = share;
                strategy.swapPatience = seconds(patience);
                std::printf("share %.2f patience %2d s: ", share, patience);
                const Contender contender{&strategy, false};
                print(
                    Deployments[0], contender, trainers, false, run(Deployments[0], contender, trainers, false, steps));
            }
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t steps = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 12;
    if (argc > 2 && std::strcmp(argv[2], "memory") == 0) {
        measureMemory();
        return 0;
    }
    if (argc > 2 && std::strcmp(argv[2], "sweep") == 0) {
        sweep(steps);
        return 0;
    }
    for (const Deployment &deployment : Deployments) {
        for (const int trainers : {1, 3}) {
            for (const bool faults : {false, true}) {
                for (const Contender &contender : Contenders) {
                    print(deployment, contender, trainers, faults, run(deployment, contender, trainers, faults, steps));
                }
            }
        }
    }
    return 0;
}
