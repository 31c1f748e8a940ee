// bergamot-load: drives callers and trainers from a scenario and counts the promises from outside.

#include <fstream>
#include <iostream>
#include <sstream>

#include "bergamot/base/settings.h"
#include "bergamot/http/threads.h"
#include "bergamot/load/caller.h"
#include "bergamot/load/report.h"
#include "bergamot/load/trainer.h"
#include "bergamot/load/watchers.h"

namespace bergamot
{
namespace
{

constexpr std::size_t HttpThreads = 8;
constexpr std::chrono::seconds IdleLimit{15};
constexpr int ViolatedExitCode = 1;
constexpr int BadScenarioExitCode = 2;

/// Waits without doing anything else.
void waitUntil(TimePoint end)
{
    std::mutex mutex;
    std::condition_variable never;
    std::unique_lock lock(mutex);
    never.wait_for(lock, end - BootClock::now(), [] {
        return false;
    });
}

/// Waits for the length of the run, with a line about it on standard error every `period`; none if that is 0.
void waitWithProgress(const RunContext &context, std::chrono::milliseconds period)
{
    const TimePoint begin = BootClock::now();
    const TimePoint end = begin + context.scenario.duration;
    while (period > std::chrono::milliseconds::zero() && BootClock::now() + period < end) {
        waitUntil(BootClock::now() + period);
        std::cerr << progressLine(context.ledger, context.measures, BootClock::now() - begin) << std::endl;
    }
    waitUntil(end);
}

/// Ends trainers that have not finished `limit` after the callers.
void finishTrainers(std::vector<std::unique_ptr<TrainerDriver>> &trainers, EventLoop &loop, Duration limit)
{
    for (const auto &trainer : trainers) {
        loop.postAfter(limit, [&trainer] {
            trainer->stop();
        });
    }
    for (const auto &trainer : trainers) {
        trainer->join();
    }
}

bool everyTrainerFinished(const Measures &measures)
{
    for (const auto &[name, trainer] : measures.trainers()) {
        if (!trainer.finished) {
            return false;
        }
    }
    return true;
}

std::map<std::string, WorkLimit> runCallers(const RunContext &context, std::chrono::milliseconds progress)
{
    std::vector<std::unique_ptr<CallerGroup>> groups;
    for (const CallerScenario &caller : context.scenario.callers) {
        groups.push_back(std::make_unique<CallerGroup>(context, caller, groups.size()));
        groups.back()->start();
    }
    waitWithProgress(context, progress);
    for (const auto &group : groups) {
        group->stop();
    }
    std::map<std::string, WorkLimit> works;
    for (const auto &group : groups) {
        const bool idle = group->waitUntilIdle(IdleLimit);
        context.ledger.check(Promise::OwnAnswer, idle, "callers without any answer at the end");
        works.merge(group->works());
    }
    return works;
}

struct RunOptions
{
    std::string reportPath;
    std::chrono::milliseconds trainerLimit{0};
    std::chrono::milliseconds progress{0};
};

int run(const Scenario &scenario, const RunOptions &options)
{
    HttpClient client;
    EventLoop loop;
    PromiseLedger ledger;
    Measures measures;
    PublishedVersions versions;
    const RunContext context{scenario, client, loop, ledger, measures, versions};
    ConfigurationWatcher watcher(context);
    watcher.start();
    std::vector<std::unique_ptr<TrainerDriver>> trainers;
    for (const TrainerScenario &trainer : scenario.trainers) {
        trainers.push_back(std::make_unique<TrainerDriver>(context, trainer, trainers.size()));
        trainers.back()->start();
    }
    const std::map<std::string, WorkLimit> works = runCallers(context, options.progress);
    finishTrainers(trainers, loop, options.trainerLimit);
    watcher.stop();
    auditEndpoints(context, works);
    loop.stop();
    std::cout << reportTable(ledger, measures);
    if (!options.reportPath.empty()) {
        std::ofstream(options.reportPath) << reportJson(ledger, measures).serialize() << "\n";
    }
    const bool kept = ledger.violations() == 0 && everyTrainerFinished(measures);
    return kept ? 0 : ViolatedExitCode;
}

Result<Scenario> readScenario(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return failure(ErrorCode::NotFound, "cannot read " + path);
    }
    std::stringstream text;
    text << file.rdbuf();
    return parseScenario(text.str());
}

int main(int argc, const char *const *argv)
{
    SettingsParser settings(
        "bergamot-load",
        "Drives callers and trainers from a scenario and counts the promises from outside. Exit code "
        "1: a promise was violated or a step did not come whole.");
    settings.require("scenario", "JSON file that says what to do.");
    settings.optional("report", "", "Where to write the report as JSON.");
    settings.optional("trainer-limit-ms", "30000", "How long trainers may go on after the callers.", checkUnsigned);
    settings.optional("progress-ms", "0", "Time between two lines about the run; 0: none.", checkUnsigned);
    settings.optional("check-scenario", "0", "1: only check the scenario.", checkUnsigned);
    const SettingsOutcome outcome = settings.parse(argc, argv);
    if (outcome.exitCode) {
        return *outcome.exitCode;
    }
    initializeHttpThreads(HttpThreads);
    const Result<Scenario> scenario = readScenario(settings.text("scenario"));
    if (!scenario) {
        std::cerr << "bergamot-load: " << scenario.error().message << "\n";
        return BadScenarioExitCode;
    }
    if (settings.number("check-scenario") != 0) {
        return 0;
    }
    return run(*scenario,
               {.reportPath = settings.text("report"),
                .trainerLimit = settings.milliseconds("trainer-limit-ms"),
                .progress = settings.milliseconds("progress-ms")});
}

} // namespace
} // namespace bergamot

int main(int argc, char **argv)
{
    return bergamot::main(argc, argv);
}
