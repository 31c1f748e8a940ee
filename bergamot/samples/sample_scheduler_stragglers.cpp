#include "bergamot/samples/sample_scheduler.h"

namespace bergamot
{

void SampleScheduler::exportAttempt(const std::string &requestId)
{
    Attempt &attempt = m_attempts.at(requestId);
    attempt.exporting = true;
    ++m_trainers.at(attempt.sample.step.trainer).pendingReleases;
    m_actions.emplace_back(ExportGeneration{m_engines.at(attempt.engine).view.address, requestId});
}

void SampleScheduler::releaseBorrowedSlots(const DispatchRound &round)
{
    for (const SlotRelease &wanted : round.planner.slotReleases()) {
        const TrainerId &trainer = round.trainers[wanted.trainer];
        std::vector<std::pair<TimePoint, std::string>> borrowed;
        for (const auto &[requestId, attempt] : m_attempts) {
            const bool exportable = !attempt.exporting && !attempt.exportFailed;
            if (attempt.sample.step.trainer == trainer && attempt.borrowed && exportable) {
                borrowed.emplace_back(attempt.startedAt, requestId);
            }
        }
        std::sort(borrowed.rbegin(), borrowed.rend()); // latest start first, because it loses the least work
        const std::uint32_t pendingCount = m_trainers.at(trainer).pendingReleases;
        const std::size_t count = wanted.count - std::min(wanted.count, pendingCount);
        for (std::size_t i = 0; i < std::min(count, borrowed.size()); ++i) {
            const Attempt &attempt = m_attempts.at(borrowed[i].second);
            recordEvidence(
                "sample-moved", attempt.sample, {{"reason", "slot given back"}, {"from", attempt.engine.value()}});
            ++m_counters.releasedSlots;
            exportAttempt(borrowed[i].second);
        }
    }
}

StragglerView SampleScheduler::stragglerView(const Attempt &attempt, const DispatchRound &round, TimePoint now) const
{
    const Engine &engine = m_engines.at(attempt.engine);
    const Step &step = *m_stepTable.find(attempt.sample.step);
    return {.elapsed = now - attempt.startedAt,
            .medianDuration = m_trainers.at(attempt.sample.step.trainer).times.median(),
            .engineSpeed = engineLoad(engine, round.medianSpeed, now).speed,
            .engineLeaving = engine.view.leaving,
            .movable = !attempt.exportFailed && engine.view.reachable,
            .attempts = static_cast<std::uint32_t>(attemptsOf(attempt.sample).size()),
            .missingInGroup = step.missingInGroup(groupOf(attempt.sample).group)};
}

void SampleScheduler::replaceStragglers(DispatchRound &round, TimePoint now)
{
    std::vector<std::tuple<double, std::string, StragglerAction>> found;
    for (const auto &[requestId, attempt] : m_attempts) {
        const Step *step = m_stepTable.find(attempt.sample.step);
        const bool allStarted = step->count(SampleState::Waiting) == 0;
        const bool ours = m_engines.at(attempt.engine).view.model == round.model;
        if (!allStarted || !ours || attempt.exporting || m_crashes.isProbed(groupOf(attempt.sample))) {
            continue;
        }
        const StragglerView view = stragglerView(attempt, round, now);
        const StragglerAction action = decideStraggler(view, *m_trainers.at(attempt.sample.step.trainer).strategy);
        const bool allowed = action == StragglerAction::Move || step->drawn;
        if (action != StragglerAction::Leave && allowed) {
            found.emplace_back(-stragglerUrgency(view), requestId, action);
        }
    }
    std::sort(found.begin(), found.end());
    std::uint32_t moves = 0;
    for (const auto &[urgency, requestId, action] : found) {
        if (round.planner.freeSlots() <= moves) {
            return;
        }
        moves += action == StragglerAction::Move ? 1 : 0;
        replaceStraggler(round, requestId, action, now);
    }
}

void SampleScheduler::replaceStraggler(DispatchRound &round,
                                       const std::string &requestId,
                                       StragglerAction action,
                                       TimePoint now)
{
    const Attempt &attempt = m_attempts.at(requestId);
    if (action == StragglerAction::Move) {
        recordEvidence("sample-moved", attempt.sample, {{"reason", "slow engine"}, {"from", attempt.engine.value()}});
        ++m_counters.moved;
        exportAttempt(requestId);
        return;
    }
    const SampleRef sample = attempt.sample;
    EnginePreferences preferences;
    preferences.excludedEngine = attempt.engine;
    preferences.permits = [&](const EngineLoad &engine) {
        return engine.speed >= SlowEngineSpeed && permits(sample, engine, now);
    };
    Trainer &trainer = m_trainers.at(sample.step.trainer);
    const auto trainerPosition = std::find(round.trainers.begin(), round.trainers.end(), sample.step.trainer);
    const auto trainerIndex = static_cast<std::size_t>(trainerPosition - round.trainers.begin());
    const std::optional<std::size_t> engine =
        round.planner.chooseEngine(trainerIndex, trainer.dispatchCount, preferences);
    if (!engine || !trainer.speculationBudget.tryTake(trainer.times.meanTokens())) {
        return;
    }
    recordEvidence("spare-started", sample, {{"engine", round.engines[*engine].value()}, {"for", requestId}});
    ++m_counters.speculativeCopies;
    start(round, trainerIndex, *engine, sample, true, now);
}

} // namespace bergamot
