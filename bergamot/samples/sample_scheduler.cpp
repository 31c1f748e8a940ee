#include "bergamot/samples/sample_scheduler.h"

#include "bergamot/samples/labels.h"

namespace bergamot
{

namespace
{

constexpr double SpeedSmoothing = 0.1; // weight of a new sample
constexpr std::size_t TextSmoothing = 8; // a new text has a weight of one eighth

std::uint64_t tokenCount(const Generation &generation)
{
    std::uint64_t tokens = 0;
    for (const TokenSpan &span : generation.spans) {
        tokens += span.tokenCount;
    }
    return tokens;
}

} // namespace

SampleScheduler::SampleScheduler(SchedulerOptions options)
    : m_options(std::move(options))
    , m_stepTable(m_options.limits)
    , m_heldBytesLimit(m_options.maxHeldBytes)
{ }

void SampleScheduler::setFleet(FleetState fleet, TimePoint now)
{
    setTrainers(fleet.trainers);
    setNewest(fleet, now);
    for (const auto &[model, version] : fleet.published) {
        recordPublished(model, version, now);
    }
    setEngines(std::move(fleet.engines), now);
    applySuspects(m_suspectPrompts.mergeReports(fleet.suspects));
    tick(now);
}

void SampleScheduler::recordPublished(const ModelId &model, WeightVersion version, TimePoint now)
{
    std::pair<WeightVersion, TimePoint> &published = m_published[model];
    if (version > published.first) {
        published = {version, now};
    }
}

void SampleScheduler::setEngines(std::vector<EngineView> views, TimePoint now)
{
    std::map<EndpointId, Engine> next;
    for (EngineView &view : views) {
        Engine engine;
        if (const auto known = m_engines.find(view.engine); known != m_engines.end()) {
            engine = known->second;
            if (engine.view.reachable && !view.reachable) {
                recordIdleEngineDeath(engine, now);
            }
        }
        // The engine's report lags behind, so it may include any sample that was in flight since the last report.
        const std::uint32_t reported = view.running + view.waiting;
        engine.otherRequests = reported - std::min(reported, std::max(engine.ownSamples, engine.ownSamplesPeak));
        engine.ownSamplesPeak = engine.ownSamples;
        engine.view = std::move(view);
        next.emplace(engine.view.engine, std::move(engine));
    }
    for (auto &[id, engine] : m_engines) {
        if (engine.ownSamples > 0 && !next.contains(id)) {
            engine.view.reachable = false; // kept until its running attempts have ended
            next.emplace(id, std::move(engine));
        }
    }
    m_engines = std::move(next);
}

void SampleScheduler::setTrainers(const std::map<TrainerId, TrainerConfig> &configured)
{
    for (const auto &[id, config] : configured) {
        Trainer &trainer = m_trainers[id];
        trainer.config = config;
        trainer.strategy = &m_options.strategy(config);
    }
    std::erase_if(m_trainers, [&](const auto &entry) {
        return !configured.contains(entry.first) && m_stepTable.stepsOf(entry.first).empty();
    });
}

void SampleScheduler::setNewest(const FleetState &fleet, TimePoint now)
{
    std::map<ModelId, WeightVersion> newest;
    for (const EngineView &engine : fleet.engines) {
        newest[engine.model] = std::max(newest[engine.model], engine.version);
    }
    for (const auto &[model, version] : newest) {
        const auto config = fleet.models.find(model);
        const WeightVersion wanted = config == fleet.models.end() ? 0 : config->second.version;
        StalenessRule &rule = m_staleness[model];
        const bool allowDecrease = wanted != 0 && wanted < rule.newest();
        rule.updateNewest(version, allowDecrease, now);
    }
}

Result<StepStatus> SampleScheduler::submit(const StepKey &key, StepSpec spec, const std::string &cursor, TimePoint now)
{
    if (!m_trainers.contains(key.trainer)) {
        return failure(ErrorCode::NotFound, "trainer " + key.trainer.value() + " is not configured");
    }
    const bool known = m_stepTable.find(key) != nullptr;
    if (Result<void> withinLimit = known ? Result<void>() : checkMemoryLimit(key, spec); !withinLimit) {
        return tl::unexpected(withinLimit.error());
    }
    Result<Step *> step = m_stepTable.submit(key, std::move(spec));
    if (!step) {
        return tl::unexpected(step.error());
    }
    if (!cursor.empty()) {
        const Result<Cursor> received = decodeCursor(cursor);
        if (!received) {
            return tl::unexpected(received.error());
        }
        const Result<std::vector<std::uint32_t>> applied = (*step)->applyCursor(*received);
        if (!applied) {
            return tl::unexpected(applied.error());
        }
        for (const std::uint32_t offset : *applied) {
            cancelAttempts({key, offset});
        }
    }
    if (!known) {
        web::json::value fields = web::json::value::object();
        fields["step"] = web::json::value::string(toText(key));
        fields["samples"] = web::json::value::number((*step)->spec().sampleCount);
        fields["digest"] = web::json::value::string(std::to_string((*step)->spec().digest));
        m_actions.emplace_back(RecordEvidence{"step-handed-in", std::move(fields)});
        const ModelId &model = m_trainers.at(key.trainer).config.model;
        applySuspects(m_suspectPrompts.addStep(key, model, (*step)->spec()));
    }
    dispatch(now);
    return statusOf(**step);
}

void SampleScheduler::drop(const StepKey &key, TimePoint now)
{
    Step *step = m_stepTable.find(key);
    if (step == nullptr) {
        return;
    }
    for (std::uint32_t offset = 0; offset < step->spec().sampleCount; ++offset) {
        cancelAttempts({key, offset});
    }
    const auto ofStep = [&](const auto &entry) {
        return entry.first.step == key;
    };
    std::erase_if(m_resumptions, ofStep);
    std::erase_if(m_groupEngines, ofStep);
    std::erase_if(m_unproven, ofStep);
    std::erase_if(m_scorings, [&](const auto &entry) {
        return entry.second.sample.step == key;
    });
    m_crashes.removeStep(key);
    m_suspectPrompts.removeStep(key);
    for (PendingDraw &draw : m_draws) {
        if (draw.request.step == key) {
            m_actions.emplace_back(
                AnswerDraw{.drawId = draw.request.drawId, .step = key, .cursor = draw.request.cursor});
        }
    }
    std::erase_if(m_draws, [&](const PendingDraw &draw) {
        return draw.request.step == key;
    });
    m_stepTable.drop(key);
    dispatch(now);
}

void SampleScheduler::tick(TimePoint now)
{
    removeTooOld();
    giveUpCrashingGroups(now);
    startScorings(now);
    answerDraws(now);
    dispatch(now);
    for (const auto &[model, rule] : m_staleness) {
        DispatchRound round = makeRound(model, now);
        replaceStragglers(round, now);
        releaseBorrowedSlots(round);
    }
}

void SampleScheduler::generationEnded(const std::string &requestId, Result<Generation> outcome, TimePoint now)
{
    const auto found = m_attempts.find(requestId);
    if (found == m_attempts.end()) {
        return; // cancelled, moved, or another copy finished first
    }
    const bool stopped = !outcome || outcome->finish == "cancelled";
    if (found->second.exporting && stopped) {
        found->second.ended = true; // the result of the export decides how the sample continues
        return;
    }
    const Attempt attempt = removeAttempt(requestId);
    if (!outcome) {
        handleLostAttempt(attempt, outcome.error(), now);
    } else {
        acceptGeneration(requestId, attempt, std::move(*outcome), now);
    }
    answerDraws(now);
    dispatch(now);
}

void SampleScheduler::exportEnded(const std::string &requestId, const Result<std::string> &outcome, TimePoint now)
{
    const auto found = m_attempts.find(requestId);
    if (found == m_attempts.end()) {
        return;
    }
    if (!outcome && !found->second.ended) {
        found->second.exporting = false;
        found->second.exportFailed = true;
        Trainer &trainer = m_trainers[found->second.sample.step.trainer];
        trainer.pendingReleases -= std::min(trainer.pendingReleases, 1U);
        return;
    }
    const Attempt attempt = removeAttempt(requestId);
    m_crashes.recordEnd(groupOf(attempt.sample), attempt.engine, false);
    requeueSample(attempt.sample, outcome.value_or(std::string()), {attempt.oldest, attempt.engine});
    dispatch(now);
}

SampleScheduler::Attempt SampleScheduler::removeAttempt(const std::string &requestId)
{
    Attempt attempt = std::move(m_attempts.extract(requestId).mapped());
    const auto ofSample = m_attemptsOf.find(attempt.sample);
    std::erase(ofSample->second, requestId);
    if (ofSample->second.empty()) {
        m_attemptsOf.erase(ofSample);
    }
    Trainer &trainer = m_trainers[attempt.sample.step.trainer];
    --trainer.inFlight;
    trainer.pendingReleases -= attempt.exporting ? std::min(trainer.pendingReleases, 1U) : 0;
    --m_engines[attempt.engine].ownSamples;
    return attempt;
}

std::vector<std::string> SampleScheduler::attemptsOf(const SampleRef &sample) const
{
    const auto found = m_attemptsOf.find(sample);
    return found == m_attemptsOf.end() ? std::vector<std::string>() : found->second;
}

void SampleScheduler::cancelAttempts(const SampleRef &sample)
{
    for (const std::string &requestId : attemptsOf(sample)) {
        const Attempt attempt = removeAttempt(requestId);
        m_crashes.recordEnd(groupOf(sample), attempt.engine, false);
        m_actions.emplace_back(CancelGeneration{m_engines[attempt.engine].view.address, requestId});
    }
}

void SampleScheduler::requeueSample(const SampleRef &sample, std::string handle, Resumption resumption)
{
    Step *step = m_stepTable.find(sample.step);
    const bool otherCopies = m_attemptsOf.contains(sample);
    if (step == nullptr || step->state(sample.offset) != SampleState::InFlight || otherCopies) {
        return;
    }
    step->requeue(sample.offset, std::move(handle));
    m_resumptions[sample] = std::move(resumption);
}

void SampleScheduler::acceptGeneration(const std::string &requestId,
                                       const Attempt &attempt,
                                       Generation generation,
                                       TimePoint now)
{
    Step *step = m_stepTable.find(attempt.sample.step);
    if (step == nullptr || step->state(attempt.sample.offset) != SampleState::InFlight) {
        return;
    }
    const GroupSpec &group = step->spec().groupAt(attempt.sample.offset);
    if (const Result<void> proven = checkLabels(generation, group.maxTokens); !proven) {
        m_crashes.recordEnd(groupOf(attempt.sample), attempt.engine, false);
        discardUnproven(requestId, attempt, generation, proven.error());
        requeueSample(attempt.sample, {}, {});
        return;
    }
    if (m_crashes.isSuspect(groupOf(attempt.sample))) {
        m_suspectPrompts.recordCleared(groupOf(attempt.sample));
    }
    m_crashes.recordEnd(groupOf(attempt.sample), attempt.engine, true);
    recordSpeed(attempt, generation, now);
    cancelAttempts(attempt.sample);
    m_unproven.erase(attempt.sample);
    m_resumptions.erase(attempt.sample);
    std::size_t &textBytes = m_trainers.at(attempt.sample.step.trainer).textBytes;
    textBytes = textBytes == 0 ? generation.text.size()
                               : (textBytes * (TextSmoothing - 1) + generation.text.size()) / TextSmoothing;
    FinishedSample finished;
    finished.text = std::move(generation.text);
    finished.spans = std::move(generation.spans);
    finished.engine = attempt.engine;
    finished.requestId = requestId;
    step->beginScoring(attempt.sample.offset, std::move(finished));
    handleFinished(attempt.sample);
    startScorings(now);
}

void SampleScheduler::recordSpeed(const Attempt &attempt, const Generation &generation, TimePoint now)
{
    Trainer &trainer = m_trainers[attempt.sample.step.trainer];
    const std::uint64_t tokens = tokenCount(generation);
    trainer.speculationBudget.addRequired(tokens, trainer.config.sparePercent);
    if (attempt.resumed || now <= attempt.startedAt) {
        return;
    }
    const Duration elapsed = now - attempt.startedAt;
    trainer.times.add(elapsed, tokens);
    const double rate = static_cast<double>(tokens) / std::chrono::duration<double>(elapsed).count();
    double &smoothed = m_engines[attempt.engine].tokensPerSecond;
    smoothed = smoothed == 0 ? rate : smoothed + SpeedSmoothing * (rate - smoothed);
}

void SampleScheduler::recordEvidence(std::string kind,
                                     const SampleRef &sample,
                                     std::vector<std::pair<std::string, std::string>> fields)
{
    const Step *step = m_stepTable.find(sample.step);
    web::json::value json = web::json::value::object();
    if (step != nullptr) {
        const auto [group, index] = step->spec().position(sample.offset);
        json["sample"] = web::json::value::string(toText(SampleId{sample.step, group, index}));
    }
    for (const auto &[name, text] : fields) {
        json[name] = web::json::value::string(text);
    }
    m_actions.emplace_back(RecordEvidence{std::move(kind), std::move(json)});
}

GroupKey SampleScheduler::groupOf(const SampleRef &sample) const
{
    const Step *step = m_stepTable.find(sample.step);
    return {sample.step, step == nullptr ? 0 : step->spec().position(sample.offset).first};
}

std::vector<SuspectReport> SampleScheduler::takeSuspectChanges()
{
    return m_suspectPrompts.takeReports();
}

std::vector<SchedulerAction> SampleScheduler::takeActions()
{
    return std::exchange(m_actions, {});
}

const SchedulerCounters &SampleScheduler::counters() const
{
    return m_counters;
}

} // namespace bergamot
