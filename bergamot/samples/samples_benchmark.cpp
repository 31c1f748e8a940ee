// Compares dispatch strategies in a discrete-time simulation: 9 model engines in 3 failure domains, 1 and 3 trainers,
// both deployments, with and without faults. The results depend on the seeds only; each line prints the mean over all
// seeds with the minimum and the maximum.
//
//     samples_benchmark [steps] [seeds] [word...]    all strategies; prints only lines that contain all words; seeds:
//                                                    COUNT or COUNT@FIRST
//     samples_benchmark [steps] sweep [word...]      varies the ahead share and lead of each strategy
//     samples_benchmark [MiB] memory                 memory of 17 trainers with 4,096 samples each on one instance with
//                                                    the given memory limit; 0: the default limit

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>

#include "bergamot/samples/internal/strategy_run.h"

namespace
{

using namespace bergamot;

struct Seeds
{
    std::uint64_t count = 4;
    std::uint64_t first = 20261203;
};

/// Parses COUNT or COUNT@FIRST.
Seeds parseSeeds(const std::string &text)
{
    Seeds seeds;
    char *end = nullptr;
    seeds.count = std::max<std::uint64_t>(std::strtoull(text.c_str(), &end, 10), 1);
    seeds.first = *end == '@' ? std::strtoull(end + 1, nullptr, 10) : seeds.first;
    return seeds;
}

constexpr const DispatchStrategy *ComparedStrategies[]{&StaticSplit, &WaitForAll, &IdleTimeFirst, &StalenessFirst};

struct Spread
{
    double sum = 0;
    double minimum = 0;
    double maximum = 0;
    int count = 0;

    void add(double value)
    {
        minimum = count == 0 ? value : std::min(minimum, value);
        maximum = count == 0 ? value : std::max(maximum, value);
        sum += value;
        ++count;
    }

    double mean() const
    {
        return sum / count;
    }
};

/// One line of the output: the results of one configuration with several seeds.
struct Line
{
    Spread idle;
    Spread staleness;
    Spread extra;
    Spread lastOverMedian;
    Spread decoded;
    Spread held;
    Spread behind;
    Spread notInForce;
    Spread ahead;
    Spread holdingTime;
    std::uint64_t staleness99 = 0;
    std::uint64_t discardedSamples = 0;
    std::uint64_t received = 0;
    std::uint64_t violations = 0;
    bool finished = true;

    void add(const RunMeasures &run)
    {
        const double samples = std::max<double>(static_cast<double>(run.parts.samples), 1);
        idle.add(100 * run.idleShare);
        staleness.add(run.stalenessMean);
        extra.add(100 * run.extraTokens);
        lastOverMedian.add(run.lastOverMedian);
        decoded.add(static_cast<double>(run.parts.decoded) / samples);
        held.add(static_cast<double>(run.parts.held) / samples);
        behind.add(static_cast<double>(run.parts.engineBehind + run.parts.carried) / samples);
        notInForce.add(static_cast<double>(run.parts.notInForce) / samples);
        ahead.add(100 * static_cast<double>(run.parts.startedBeforeDraw) / samples);
        holdingTime.add(std::chrono::duration<double>(run.parts.holdingTime).count() / samples);
        staleness99 = std::max(staleness99, run.staleness99);
        discardedSamples += run.discardedSamples;
        received += run.received;
        violations += run.violations;
        finished = finished && run.finished;
    }
};

bool hasAll(const std::string &label, const std::vector<std::string> &words)
{
    return std::all_of(words.begin(), words.end(), [&](const std::string &word) {
        return (" " + label + " ").find(" " + word + " ") != std::string::npos;
    });
}

std::string labelOf(const RunOptions &run)
{
    return std::string(run.deployment->name) + " " + std::to_string(run.trainers) + " "
        + (run.faults ? "faults" : "calm") + " " + std::string(run.strategy->name);
}

void printLine(const RunOptions &run, const Seeds &seeds)
{
    Line line;
    for (std::uint64_t i = 0; i < seeds.count; ++i) {
        RunOptions seeded = run;
        seeded.seed = seeds.first + i;
        line.add(runStrategy(seeded));
    }
    std::printf(
        "%-28s idle %5.1f%% (%.1f-%.1f)  staleness %.3f (%.3f-%.3f) p99 %llu: behind %.2f decoding %.2f held %.2f "
        "not in force %.2f  ahead %.0f%%  held %.0f s  thrown %llu  extra %.2f%%  last/median %.2f  received %llu  "
        "violations %llu%s\n",
        labelOf(run).c_str(),
        line.idle.mean(),
        line.idle.minimum,
        line.idle.maximum,
        line.staleness.mean(),
        line.staleness.minimum,
        line.staleness.maximum,
        static_cast<unsigned long long>(line.staleness99),
        line.behind.mean(),
        line.decoded.mean(),
        line.held.mean(),
        line.notInForce.mean(),
        line.ahead.mean(),
        line.holdingTime.mean(),
        static_cast<unsigned long long>(line.discardedSamples),
        line.extra.mean(),
        line.lastOverMedian.mean(),
        static_cast<unsigned long long>(line.received),
        static_cast<unsigned long long>(line.violations),
        line.finished ? "" : "  NOT FINISHED");
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

void forEachCase(const Deployment &deployment,
                 const std::vector<const DispatchStrategy *> &strategies,
                 std::uint64_t steps,
                 const std::function<void(const RunOptions &run)> &use)
{
    for (const int trainers : {1, 3}) {
        for (const bool faults : {false, true}) {
            for (const DispatchStrategy *strategy : strategies) {
                use({.deployment = &deployment,
                     .strategy = strategy,
                     .trainers = trainers,
                     .faults = faults,
                     .steps = steps});
            }
        }
    }
}

constexpr int MemoryTrainers = 17;
constexpr std::size_t PromptBytes = 2048;
constexpr std::size_t TextBytes = 4096;

/// One engine with a slot for every sample, so that only the memory limit delays samples.
FleetState memoryFleet()
{
    FleetState fleet;
    fleet.engines.push_back({.engine = EndpointId("e0"),
                             .model = ModelId("agent"),
                             .address = {"127.0.0.1", 1},
                             .version = 4,
                             .slots = 1U << 20U});
    for (int i = 0; i < MemoryTrainers; ++i) {
        TrainerConfig trainer;
        trainer.trainer = TrainerId("t" + std::to_string(i));
        trainer.model = ModelId("agent");
        trainer.sharePercent = 100 / MemoryTrainers;
        fleet.trainers[trainer.trainer] = trainer;
    }
    return fleet;
}

StepSpec memoryStep()
{
    constexpr std::uint32_t Groups = 512;
    constexpr std::uint32_t PerGroup = 8;
    std::vector<GroupSpec> groups;
    for (std::uint32_t group = 0; group < Groups; ++group) {
        groups.push_back({std::string(PromptBytes, 'p'), PerGroup, 1024});
    }
    return makeStepSpec(std::move(groups));
}

/// Ends all started generations until the scheduler starts no more.
void endEverything(SampleScheduler &scheduler, TimePoint now)
{
    for (std::vector<SchedulerAction> actions = scheduler.takeActions(); !actions.empty();
         actions = scheduler.takeActions()) {
        for (const SchedulerAction &action : actions) {
            if (const auto *start = std::get_if<StartGeneration>(&action)) {
                Generation generation{std::string(TextBytes, 't'), {{4, 1000}, {5, 24}}, "stop"};
                scheduler.generationEnded(start->request.requestId, std::move(generation), now);
            }
        }
    }
}

/// Measures the memory of 17 trainers with 4,096 samples per step on one instance. None of the trainers draws.
void measureMemory(std::size_t maxHeldBytes)
{
    const TimePoint now{std::chrono::hours(1)};
    const std::uint64_t before = residentKilobytes();
    SchedulerOptions options;
    options.maxHeldBytes = maxHeldBytes;
    SampleScheduler scheduler(options);
    scheduler.setFleet(memoryFleet(), now);
    for (int i = 0; i < MemoryTrainers; ++i) {
        const Result<StepStatus> submitted =
            scheduler.submit({TrainerId("t" + std::to_string(i)), 1}, memoryStep(), "", now);
        endEverything(scheduler, now);
        std::printf("memory: trainer %2d %s, held %zu KiB, resident %llu KiB\n",
                    i + 1,
                    submitted ? "taken" : "refused",
                    scheduler.heldBytes() / 1024,
                    static_cast<unsigned long long>(residentKilobytes() - before));
    }
}

void sweep(std::uint64_t steps, const Seeds &seeds, const std::vector<std::string> &words)
{
    for (const DispatchStrategy *base : {&IdleTimeFirst, &StalenessFirst}) {
        for (const double share : {0.0, 0.2, 0.3, 0.5, 0.7, 0.8, 0.9, 0.95, 1.0}) {
            for (const double lead : {1.0, 1.25, 1.5, 2.0}) {
                DispatchStrategy strategy = *base;
                strategy.aheadShare = share;
                strategy.aheadLeadFactor = lead;
                const std::string setting =
                    " share " + std::to_string(share).substr(0, 4) + " lead " + std::to_string(lead).substr(0, 4);
                forEachCase(Deployments[0], {&strategy}, steps, [&](const RunOptions &run) {
                    if (hasAll(labelOf(run) + setting, words)) {
                        std::printf("%s ", setting.c_str());
                        printLine(run, seeds);
                    }
                });
            }
        }
    }
}

void printAllLines(std::uint64_t steps, const Seeds &seeds, const std::vector<std::string> &words)
{
    for (const Deployment &deployment : Deployments) {
        forEachCase(deployment,
                    {std::begin(ComparedStrategies), std::end(ComparedStrategies)},
                    steps,
                    [&](const RunOptions &run) {
                        if (hasAll(labelOf(run), words)) {
                            printLine(run, seeds);
                        }
                    });
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const std::uint64_t steps = arguments.empty() ? 12 : std::strtoull(arguments[0].c_str(), nullptr, 10);
    const std::string mode = arguments.size() > 1 ? arguments[1] : "1";
    const std::vector<std::string> words(arguments.begin() + std::min<std::ptrdiff_t>(argc - 1, 2), arguments.end());
    if (mode == "memory") {
        measureMemory(steps == 0 ? SchedulerOptions().maxHeldBytes : steps << 20U);
    } else if (mode == "sweep") {
        sweep(steps, Seeds{}, words);
    } else {
        printAllLines(steps, parseSeeds(mode), words);
    }
    return 0;
}
