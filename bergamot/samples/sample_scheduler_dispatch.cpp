#include "bergamot/samples/sample_scheduler.h"

namespace bergamot
{

namespace
{

constexpr double UnknownSpeed = 1;

double median(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void SampleScheduler::dispatch(TimePoint now)
{
    for (const auto &[model, rule] : m_staleness) {
        DispatchRound round = makeRound(model, now);
        while (const std::optional<std::size_t> trainer = round.planner.nextTrainer()) {
            if (!assignNextSample(round, *trainer, now)) {
                round.planner.block(*trainer);
            }
        }
    }
}

SampleScheduler::DispatchRound SampleScheduler::makeRound(const ModelId &model, TimePoint now) const
{
    std::vector<EndpointId> engines;
    std::vector<double> speeds;
    for (const auto &[id, engine] : m_engines) {
        if (engine.view.model == model) {
            engines.push_back(id);
            if (engine.tokensPerSecond > 0) {
                speeds.push_back(engine.tokensPerSecond);
            }
        }
    }
    const double medianSpeed = median(std::move(speeds));
    std::vector<EngineLoad> loads;
    loads.reserve(engines.size());
    for (const EndpointId &id : engines) {
        loads.push_back(engineLoad(m_engines.at(id), medianSpeed, now));
    }
    std::vector<TrainerId> trainers;
    std::vector<TrainerDemand> demands;
    for (const auto &[id, trainer] : m_trainers) {
        if (trainer.config.model == model) {
            trainers.push_back(id);
            demands.push_back({.sharePercent = trainer.config.sharePercent,
                               .inFlight = trainer.inFlight,
                               .strategy = trainer.strategy});
        }
    }
    DispatchRound round{.model = model,
                        .engines = std::move(engines),
                        .trainers = std::move(trainers),
                        .planner = DispatchPlanner(std::move(loads), std::move(demands)),
                        .medianSpeed = medianSpeed};
    planSteps(round, now);
    return round;
}

EngineLoad SampleScheduler::engineLoad(const Engine &engine, double medianSpeed, TimePoint now) const
{
    const bool serves = engine.view.reachable && !engine.view.leaving && engine.view.version > 0;
    const bool knownSpeed = medianSpeed > 0 && engine.tokensPerSecond > 0;
    return {.engine = engine.view.engine,
            .version = engine.view.version,
            .usable = serves && now >= engine.pausedUntil,
            .loading = engine.view.loading != 0 && engine.view.loading != engine.view.version,
            .slots = engine.view.slots,
            .ownSamples = engine.ownSamples,
            .otherRequests = engine.otherRequests,
            .speed = knownSpeed ? engine.tokensPerSecond / medianSpeed : UnknownSpeed};
}

std::uint32_t SampleScheduler::startableSamples(const Trainer &trainer, const Step &step)
{
    const std::uint32_t waiting = step.count(SampleState::Waiting);
    if (step.drawn || waiting == 0) {
        return waiting;
    }
    const std::uint32_t started = step.spec().sampleCount - waiting;
    const auto ahead = static_cast<std::uint32_t>(trainer.strategy->aheadShare * step.spec().sampleCount);
    return ahead > started ? std::min(waiting, ahead - started) : 0;
}

TimePoint SampleScheduler::dueTime(const Trainer &trainer, const Step &step, TimePoint now) const
{
    if (step.drawn || !trainer.everDrew || !trainer.strategy->byDueTime) {
        return now;
    }
    TimePoint due = trainer.lastStepDeliveredAt + trainer.stepInterval;
    for (const Step *earlier : m_stepTable.stepsOf(step.key().trainer)) {
        if (earlier->key() < step.key() && !earlier->isDelivered()) {
            due = (earlier->drawn ? now + trainer.times.median() : due) + trainer.stepInterval;
        }
    }
    return due;
}

void SampleScheduler::planSteps(DispatchRound &round, TimePoint now) const
{
    std::vector<StepDemand> demands;
    std::vector<std::pair<std::size_t, StepKey>> steps;
    std::size_t reservedBytes = 0; // bytes of samples that the preceding trainers may start in this round
    for (std::size_t i = 0; i < round.trainers.size(); ++i) {
        const Trainer &trainer = m_trainers.at(round.trainers[i]);
        HeldBytes held = projectedHeldBytes(round.trainers[i]);
        held.total += reservedBytes;
        for (const Step *step : m_stepTable.stepsOf(round.trainers[i])) {
            const std::uint32_t samples = samplesWithinLimit(trainer, *step, held);
            if (samples > 0) {
                reservedBytes += std::min(samples, round.planner.freeSlots()) * expectedBytes(trainer, *step);
                steps.emplace_back(i, step->key());
                demands.push_back({.due = dueTime(trainer, *step, now),
                                   .samples = samples,
                                   .medianDuration = trainer.times.median(),
                                   .guaranteedSlots = round.planner.guaranteed(i),
                                   .leadFactor = trainer.strategy->aheadLeadFactor});
            }
        }
    }
    const std::vector<StepPlan> plans = bergamot::planSteps(demands, round.planner.sampleSlots(), now);
    for (std::size_t i = 0; i < plans.size(); ++i) {
        const auto &[trainer, step] = steps[i];
        if (plans[i].mayStart && round.steps.try_emplace(round.trainers[trainer], step).second) {
            round.planner.setDemand(trainer, demands[i].samples, demands[i].due - now, plans[i].claimsShare);
        }
    }
}

std::optional<SampleScheduler::SampleRef> SampleScheduler::nextSample(const TrainerId &trainer,
                                                                      const DispatchRound &round)
{
    const auto key = round.steps.find(trainer);
    const Step *step = key == round.steps.end() ? nullptr : m_stepTable.find(key->second);
    if (step == nullptr) {
        return std::nullopt;
    }
    const auto mayStartSomewhere = [&](std::uint32_t offset) {
        const GroupKey group{step->key(), step->spec().position(offset).first};
        return std::any_of(round.engines.begin(), round.engines.end(), [&](const EndpointId &engine) {
            return m_crashes.mayStart(group, engine);
        });
    };
    if (const std::optional<std::uint32_t> offset = step->nextWaiting(mayStartSomewhere)) {
        return SampleRef{step->key(), *offset};
    }
    return std::nullopt;
}

bool SampleScheduler::assignNextSample(DispatchRound &round, std::size_t trainerIndex, TimePoint now)
{
    const TrainerId &trainer = round.trainers[trainerIndex];
    const std::optional<SampleRef> sample = nextSample(trainer, round);
    if (!sample) {
        return false;
    }
    EnginePreferences preferences;
    if (const auto group = m_groupEngines.find(groupOf(*sample)); group != m_groupEngines.end()) {
        preferences.groupEngine = group->second;
    }
    if (const auto resumption = m_resumptions.find(*sample); resumption != m_resumptions.end()) {
        preferences.excludedEngine = resumption->second.excludedEngine;
    }
    preferences.permits = [&](const EngineLoad &engine) {
        return permits(*sample, engine, now);
    };
    const std::uint64_t dispatchIndex = m_trainers.at(trainer).dispatchCount;
    std::optional<std::size_t> engine = round.planner.chooseEngine(trainerIndex, dispatchIndex, preferences);
    if (!engine && !preferences.excludedEngine.empty()) {
        preferences.excludedEngine = EndpointId();
        engine = round.planner.chooseEngine(trainerIndex, dispatchIndex, preferences);
    }
    if (!engine) {
        return false;
    }
    start(round, trainerIndex, *engine, *sample, false, now);
    return true;
}

const StalenessRule &SampleScheduler::stalenessRule(const Trainer &trainer) const
{
    static const StalenessRule unknown;
    const auto rule = m_staleness.find(trainer.config.model);
    return rule == m_staleness.end() ? unknown : rule->second;
}

WeightVersion SampleScheduler::newestFor(const Trainer &trainer) const
{
    return std::max(trainer.lastTrainerVersion, stalenessRule(trainer).newest());
}

std::uint64_t SampleScheduler::forecast(const SampleRef &sample, WeightVersion version, TimePoint now) const
{
    const Trainer &trainer = m_trainers.at(sample.step.trainer);
    const std::uint64_t byPeriod = stalenessRule(trainer).forecast(version, now + trainer.times.median());
    const WeightVersion newest = newestFor(trainer);
    std::uint64_t byDraws = newest - std::min(newest, version);
    for (const Step *step : m_stepTable.stepsOf(sample.step.trainer)) {
        // The trainer publishes one version before it draws each following step.
        byDraws += trainer.everDrew && !step->drawn ? 1 : 0;
        if (step->key() == sample.step) {
            break;
        }
    }
    return std::max(byPeriod, byDraws);
}

bool SampleScheduler::waitsForSwap(const Trainer &trainer,
                                   const Step &step,
                                   const EngineLoad &engine,
                                   TimePoint now) const
{
    const auto published = m_published.find(trainer.config.model);
    if (published == m_published.end() || engine.version >= published->second.first) {
        return false;
    }
    const bool withinMaxSwapWait = step.drawn && now < published->second.second + trainer.strategy->maxSwapWait;
    return trainer.strategy->drainsBeforeSwap || withinMaxSwapWait;
}

bool SampleScheduler::permits(const SampleRef &sample, const EngineLoad &engine, TimePoint now) const
{
    if (!m_crashes.mayStart(groupOf(sample), engine.engine)) {
        return false;
    }
    const Trainer &trainer = m_trainers.at(sample.step.trainer);
    const Step *step = m_stepTable.find(sample.step);
    if (waitsForSwap(trainer, *step, engine, now)) {
        return false;
    }
    if (!trainer.strategy->forecastsStaleness) {
        return true;
    }
    if (step->drawn && engine.version >= newestFor(trainer)) {
        return true; // no engine has newer weights
    }
    return forecast(sample, engine.version, now) <= trainer.config.stalenessBound;
}

void SampleScheduler::start(DispatchRound &round,
                            std::size_t trainerIndex,
                            std::size_t engineIndex,
                            const SampleRef &sample,
                            bool speculative,
                            TimePoint now)
{
    Trainer &trainer = m_trainers.at(sample.step.trainer);
    Step &step = *m_stepTable.find(sample.step);
    Engine &engine = m_engines.at(round.engines[engineIndex]);
    Attempt attempt{.sample = sample, .engine = engine.view.engine, .startedAt = now, .oldest = engine.view.version};
    attempt.speculative = speculative;
    attempt.borrowed = round.planner.wouldBorrow(trainerIndex);

    GenerateRequest request;
    request.requestId =
        m_options.instance + "/" + std::to_string(m_options.incarnation) + "/" + std::to_string(m_nextRequest++);
    request.model = round.model;
    const GroupSpec &group = step.spec().groupAt(sample.offset);
    request.prompt = group.prompt;
    request.maxTokens = group.maxTokens;
    const SamplePriority inShare = step.drawn ? SamplePriority::AwaitedStep : SamplePriority::StepAhead;
    request.priority = static_cast<std::uint32_t>(attempt.borrowed ? SamplePriority::Borrowed : inShare);
    if (!speculative) {
        step.start(sample.offset);
        const Resumption resumption = std::exchange(m_resumptions[sample], {});
        m_resumptions.erase(sample);
        std::string handle = step.takeResumeHandle(sample.offset);
        const bool tooOld = forecast(sample, resumption.oldest, now) > trainer.config.stalenessBound;
        if (!handle.empty() && !tooOld) {
            request.resumeFrom = std::move(handle);
            attempt.resumed = true;
            attempt.oldest = std::min(attempt.oldest, resumption.oldest);
        }
    }
    ++trainer.dispatchCount;
    ++trainer.inFlight;
    ++engine.ownSamples;
    engine.ownSamplesPeak = std::max(engine.ownSamplesPeak, engine.ownSamples);
    round.planner.recordAssignment(trainerIndex, engineIndex, speculative);
    m_crashes.recordStart(groupOf(sample), engine.view.engine);
    m_groupEngines[groupOf(sample)] = engine.view.engine;
    m_attemptsOf[sample].push_back(request.requestId);
    m_attempts.emplace(request.requestId, std::move(attempt));
    m_actions.emplace_back(StartGeneration{engine.view.address, std::move(request), m_options.sampleTimeout});
}

void SampleScheduler::removeTooOld()
{
    for (const TrainerId &id : m_stepTable.trainers()) {
        Trainer &trainer = m_trainers.at(id);
        const std::pair now{newestFor(trainer), trainer.config.stalenessBound};
        if (trainer.lastStalenessCheck == now || !trainer.strategy->forecastsStaleness) {
            continue;
        }
        trainer.lastStalenessCheck = now;
        cancelTooOld(id, trainer);
        discardReadyTooOld(id, trainer);
    }
}

void SampleScheduler::cancelTooOld(const TrainerId &id, const Trainer &trainer)
{
    std::set<SampleRef> tooOld;
    for (const auto &[requestId, attempt] : m_attempts) {
        const bool ours = attempt.sample.step.trainer == id && !attempt.exporting;
        if (ours && attempt.oldest + trainer.config.stalenessBound < newestFor(trainer)) {
            tooOld.insert(attempt.sample);
        }
    }
    for (const SampleRef &sample : tooOld) {
        cancelAttempts(sample);
        ++m_counters.cancelledTooOld;
        recordEvidence("sample-discarded", sample, {{"reason", "would be too old when whole"}});
        requeueSample(sample, {}, {});
    }
}

void SampleScheduler::discardReadyTooOld(const TrainerId &id, const Trainer &trainer)
{
    const WeightVersion newest = newestFor(trainer);
    for (Step *step : m_stepTable.stepsOf(id)) {
        for (const std::uint32_t offset : step->deliverable()) {
            // Samples of the last batch may have been received; the next cursor shows whether they were.
            const bool ready = step->state(offset) == SampleState::Ready && !step->inBatch(offset);
            if (ready && stalenessOf(step->finished(offset).spans, newest) > trainer.config.stalenessBound) {
                discardTooOld(*step, offset, newest);
            }
        }
    }
}

} // namespace bergamot
