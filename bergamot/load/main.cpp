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
void waitFor(Duration length)
{
    std::mutex mutex;
    std::condition_variable never;
    std::unique_lock lock(mutex);
    never.wait_for(lock, length, [] {
        return false;
    });
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

std::map<std::string, WorkLimit> runCallers(const RunContext &context)
{
    std::vector<std::unique_ptr<CallerGroup>> groups;
    for (const CallerScenario &caller : context.scenario.callers) {
        groups.push_back(std::make_unique<CallerGroup>(context, caller, groups.size()));
        groups.back()->start();
    }
    waitFor(context.scenario.duration);
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

int run(const Scenario &scenario, const std::string &reportPath, std::chrono::milliseconds trainerLimit)
{
    HttpClient client;
    EventLoop loop;
    PromiseLedger ledger;
    Measures measures;
    const RunContext context{scenario, client, loop, ledger, measures};
    ConfigurationWatcher watcher(context);
    watcher.start();
    std::vector<std::unique_ptr<TrainerDriver>> trainers;
    for (const TrainerScenario &trainer : scenario.trainers) {
        trainers.push_back(std::make_unique<TrainerDriver>(context, trainer, trainers.size()));
        trainers.back()->start();
    }
    const std::map<std::string, WorkLimit> works = runCallers(context);
    finishTrainers(trainers, loop, trainerLimit);
    watcher.stop();
    auditEndpoints(context, works);
    loop.stop();
    std::cout << reportTable(ledger, measures);
    if (!reportPath.empty()) {
        std::ofstream(reportPath) << reportJson(ledger, measures).serialize() << "\n";
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
    settings.optional("trainer-limit-ms", "30000", "How long trainers may go on after the callers.", isWholeNumber);
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
    return run(*scenario, settings.text("report"), settings.milliseconds("trainer-limit-ms"));
}

} // namespace
} // namespace bergamot

int main(int argc, char **argv)
{
    return bergamot::main(argc, argv);
}
