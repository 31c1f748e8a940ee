#include "bergamot/samples/sample_scheduler.h"

namespace bergamot
{

void SampleScheduler::exportAttempt(const std::string &requestId)
{
    Attempt &attempt = m_attempts.at(requestId);
    attempt.exporting = true;
    ++m_trainers.at(attempt.sample.step.trainer).givingBack;
    m_actions.emplace_back(ExportGeneration{m_engines.at(attempt.engine).view.address, requestId});
}

void SampleScheduler::giveBack(const Round &round)
{
    for (const GiveBack &wanted : round.planner.giveBacks()) {
        const TrainerId &trainer = round.trainers[wanted.trainer];
        std::vector<std::pair<TimePoint, std::string>> borrowed;
        for (const auto &[requestId, attempt] : m_attempts) {
            const bool free = !attempt.exporting && !attempt.exportFailed;
            if (attempt.sample.step.trainer == trainer && attempt.borrowed && free) {
                borrowed.emplace_back(attempt.startedAt, requestId);
            }
        }
        std::sort(borrowed.rbegin(), borrowed.rend()); // those with the least done first
        const std::uint32_t underWay = m_trainers.at(trainer).givingBack;
        const std::size_t count = wanted.count - std::min(wanted.count, underWay);
        for (std::size_t i = 0; i < std::min(count, borrowed.size()); ++i) {
            const Attempt &attempt = m_attempts.at(borrowed[i].second);
            record("sample-moved", attempt.sample, {{"reason", "slot given back"}, {"from", attempt.engine.value()}});
            ++m_counters.givenBack;
            exportAttempt(borrowed[i].second);
        }
    }
}

StragglerView SampleScheduler::stragglerView(const Attempt &attempt, const Round &round, TimePoint now) const
{
    const Engine &engine = m_engines.at(attempt.engine);
    const Step &step = *m_book.find(attempt.sample.step);
    return {.elapsed = now - attempt.startedAt,
            .usual = m_trainers.at(attempt.sample.step.trainer).times.median(),
            .engineSpeed = loadOf(engine, round.medianSpeed, now).speed,
            .engineLeaving = engine.view.leaving,
            .movable = !attempt.exportFailed && engine.view.reachable,
            .attempts = static_cast<std::uint32_t>(attemptsOf(attempt.sample).size()),
            .missingInGroup = step.missingInGroup(groupOf(attempt.sample).group)};
}

void SampleScheduler::replaceStragglers(Round &round, TimePoint now)
{
    std::vector<std::tuple<double, std::string, StragglerAction>> found;
    for (const auto &[requestId, attempt] : m_attempts) {
        const Step *step = m_book.find(attempt.sample.step);
        const bool tail = step->count(SampleState::Waiting) == 0;
        const bool ours = m_engines.at(attempt.engine).view.model == round.model;
        if (!tail || !ours || attempt.exporting || m_crashes.isHeld(groupOf(attempt.sample))) {
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

void SampleScheduler::replaceStraggler(Round &round,
                                       const std::string &requestId,
                                       StragglerAction action,
                                       TimePoint now)
{
    const Attempt &attempt = m_attempts.at(requestId);
    if (action == StragglerAction::Move) {
        record("sample-moved", attempt.sample, {{"reason", "slow engine"}, {"from", attempt.engine.value()}});
        ++m_counters.moved;
        exportAttempt(requestId);
        return;
    }
    const SampleRef sample = attempt.sample;
    EngineWish wish;
    wish.avoid = attempt.engine;
    wish.permits = [&](const EngineLoad &engine) {
        return engine.speed >= SlowEngineSpeed && permits(sample, engine, now);
    };
    Trainer &trainer = m_trainers.at(sample.step.trainer);
    const auto place = std::find(round.trainers.begin(), round.trainers.end(), sample.step.trainer);
    const auto trainerIndex = static_cast<std::size_t>(place - round.trainers.begin());
    const std::optional<std::size_t> engine = round.planner.chooseEngine(trainerIndex, trainer.turns, wish);
    if (!engine || !trainer.spares.take(trainer.times.meanTokens())) {
        return;
    }
    record("spare-started", sample, {{"engine", round.engines[*engine].value()}, {"for", requestId}});
    ++m_counters.spares;
    start(round, trainerIndex, *engine, sample, true, now);
}

} // namespace bergamot
