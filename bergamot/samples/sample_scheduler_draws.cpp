#include "bergamot/samples/sample_scheduler.h"

#include "bergamot/evidence/sample_receipt.h"

namespace bergamot
{

namespace
{

constexpr int StepIntervalSmoothing = 2; // a new interval has a weight of one half

} // namespace

void SampleScheduler::handleFinished(const SampleRef &sample)
{
    Step &step = *m_stepTable.find(sample.step);
    if (m_trainers.at(sample.step.trainer).config.scoring.empty()) {
        step.makeReady(sample.offset);
        return;
    }
    m_scorings[m_nextScoring++] = {.sample = sample};
}

void SampleScheduler::startScorings(TimePoint now)
{
    std::erase_if(m_scorings, [this](const auto &entry) {
        const SampleRef &sample = entry.second.sample;
        return !entry.second.running && m_stepTable.find(sample.step)->state(sample.offset) != SampleState::Scoring;
    });
    std::uint32_t running = 0;
    for (const auto &[id, scoring] : m_scorings) {
        running += scoring.running ? 1 : 0;
    }
    for (auto &[id, scoring] : m_scorings) {
        if (running >= m_options.maxConcurrentScorings) {
            return;
        }
        Step *step = m_stepTable.find(scoring.sample.step);
        if (scoring.running || now < scoring.notBefore) {
            continue;
        }
        const Result<Address> service = parseAddress(m_trainers.at(scoring.sample.step.trainer).config.scoring);
        scoring.running = true;
        ++scoring.attempts;
        ++running;
        m_actions.emplace_back(StartScoring{.scoringId = id,
                                            .service = service.value_or(Address()),
                                            .prompt = step->spec().groupAt(scoring.sample.offset).prompt,
                                            .text = step->finished(scoring.sample.offset).text});
    }
}

void SampleScheduler::scoringEnded(std::uint64_t scoringId, const Result<double> &outcome, TimePoint now)
{
    const auto found = m_scorings.find(scoringId);
    if (found == m_scorings.end()) {
        return;
    }
    Scoring &scoring = found->second;
    scoring.running = false;
    Step &step = *m_stepTable.find(scoring.sample.step);
    const bool wanted = step.state(scoring.sample.offset) == SampleState::Scoring;
    if (wanted && !outcome && scoring.attempts < m_options.scoringAttempts) {
        scoring.notBefore = now + m_options.scoringRetryDelay * scoring.attempts;
        return;
    }
    const SampleRef sample = scoring.sample;
    m_scorings.erase(found);
    if (wanted) {
        FinishedSample &finished = step.finished(sample.offset);
        if (outcome) {
            finished.score = *outcome;
        } else {
            finished.scoreReason = outcome.error().message;
            ++m_counters.scoreless;
            recordEvidence("sample-not-scored", sample, {{"reason", finished.scoreReason}});
        }
        step.makeReady(sample.offset);
    }
    startScorings(now);
    answerDraws(now);
}

Result<void> SampleScheduler::draw(DrawRequest request, TimePoint now)
{
    Step *step = m_stepTable.find(request.step);
    if (step == nullptr) {
        return failure(ErrorCode::NotFound,
                       "step " + toText(request.step) + " is not known to this instance; submit the step again");
    }
    Cursor cursor(request.step, step->spec().digest, step->spec().sampleCount);
    if (!request.cursor.empty()) {
        Result<Cursor> decoded = decodeCursor(request.cursor);
        if (!decoded) {
            return tl::unexpected(decoded.error());
        }
        cursor = std::move(*decoded);
    }
    Result<std::vector<std::uint32_t>> received = step->applyCursor(cursor);
    if (!received) {
        return tl::unexpected(received.error());
    }
    for (const std::uint32_t offset : *received) {
        cancelAttempts({request.step, offset});
    }
    dropEarlierSteps(request.step, now);
    Trainer &trainer = m_trainers.at(request.step.trainer);
    trainer.lastTrainerVersion = request.trainerVersion;
    recordPublished(trainer.config.model, request.trainerVersion, now);
    if (!step->drawn && trainer.lastStepDeliveredAt != TimePoint()) {
        const Duration stepInterval = now - trainer.lastStepDeliveredAt;
        trainer.stepInterval = trainer.stepInterval == Duration::zero()
            ? stepInterval
            : trainer.stepInterval + (stepInterval - trainer.stepInterval) / StepIntervalSmoothing;
    }
    trainer.everDrew = true;
    step->drawn = true;
    for (PendingDraw &older : m_draws) {
        if (older.request.step == request.step && older.request.cursor != request.cursor) {
            older.request.deadline = now; // a draw with another cursor supersedes it
        }
    }
    m_draws.push_back({std::move(request), std::move(cursor)});
    removeTooOld();
    answerDraws(now);
    dispatch(now);
    return {};
}

/// A trainer that draws from a step has received all earlier steps that were completely delivered. Otherwise, it would
/// submit the earlier step again, with its cursor.
void SampleScheduler::dropEarlierSteps(const StepKey &drawn, TimePoint now)
{
    for (const Step *earlier : m_stepTable.stepsOf(drawn.trainer)) {
        if (earlier->key().step < drawn.step && earlier->isDelivered()) {
            drop(StepKey(earlier->key()), now);
        }
    }
}

void SampleScheduler::answerDraws(TimePoint now)
{
    for (std::size_t i = 0; i < m_draws.size();) {
        std::optional<AnswerDraw> reply = answer(m_draws[i], now);
        if (!reply) {
            ++i;
            continue;
        }
        m_actions.emplace_back(std::move(*reply));
        m_draws.erase(m_draws.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

std::optional<AnswerDraw> SampleScheduler::answer(PendingDraw &draw, TimePoint now)
{
    Step &step = *m_stepTable.find(draw.request.step);
    const Trainer &trainer = m_trainers.at(draw.request.step.trainer);
    AnswerDraw reply;
    reply.drawId = draw.request.drawId;
    reply.step = draw.request.step;
    reply.stalenessBound = trainer.config.stalenessBound;
    reply.newest = std::max(draw.request.trainerVersion, stalenessRule(trainer).newest());
    const bool repeated = !step.batch.empty() && step.batchCursor == draw.request.cursor;
    const std::uint32_t limit = repeated ? m_options.maxBatch : std::min(draw.request.max, m_options.maxBatch);
    std::vector<std::uint32_t> selected;
    std::size_t bytes = 0;
    for (const std::uint32_t offset : step.deliverable()) {
        const bool full = selected.size() >= limit || (!repeated && bytes >= m_options.maxBatchBytes);
        if (full || draw.cursor.has(offset) || (repeated && !step.inBatch(offset))) {
            continue;
        }
        if (addToAnswer(reply, step, offset)) {
            selected.push_back(offset);
            bytes += step.state(offset) == SampleState::Ready ? step.finished(offset).text.size() : 0;
        }
    }
    if (selected.empty() && repeated) {
        step.batch.clear(); // all samples of the batch have become too old
        return answer(draw, now);
    }
    if (selected.empty() && now < draw.request.deadline && !draw.cursor.isComplete()) {
        return std::nullopt;
    }
    Cursor next = draw.cursor;
    for (const std::uint32_t offset : selected) {
        next.mark(offset);
    }
    reply.cursor = encodeCursor(next);
    reply.done = next.isComplete();
    if (reply.done && !repeated) {
        m_trainers.at(step.key().trainer).lastStepDeliveredAt = now;
    }
    m_counters.deliveredSamples += repeated ? 0 : reply.samples.size();
    if (!selected.empty()) {
        step.batchCursor = draw.request.cursor;
        std::sort(selected.begin(), selected.end());
        step.batch = std::move(selected);
    }
    return reply;
}

bool SampleScheduler::addToAnswer(AnswerDraw &reply, Step &step, std::uint32_t offset)
{
    const auto [group, index] = step.spec().position(offset);
    const SampleId id{step.key(), group, index};
    if (step.state(offset) == SampleState::Failed) {
        reply.failed.push_back({id, step.failureReason(offset)});
        return true;
    }
    const FinishedSample &sample = step.finished(offset);
    const std::uint64_t staleness = stalenessOf(sample.spans, reply.newest);
    if (staleness > reply.stalenessBound) {
        discardTooOld(step, offset, reply.newest);
        return false;
    }
    reply.samples.push_back({id, sample, staleness});
    return true;
}

void SampleScheduler::discardTooOld(Step &step, std::uint32_t offset, WeightVersion newest)
{
    const FinishedSample &sample = step.finished(offset);
    for (const TokenSpan &span : sample.spans) {
        m_counters.tokensDiscarded += span.tokenCount;
    }
    ++m_counters.discardedTooOld;
    recordEvidence("sample-discarded",
                   {step.key(), offset},
                   {{"reason", "too old for the bound"},
                    {"spans", spansText(sample.spans)},
                    {"newest", std::to_string(newest)},
                    {"engine", sample.engine.value()},
                    {"request", sample.requestId}});
    step.requeue(offset, {});
}

StepStatus SampleScheduler::statusOf(const Step &step) const
{
    return {.samples = step.spec().sampleCount,
            .waiting = step.count(SampleState::Waiting),
            .inFlight = step.count(SampleState::InFlight),
            .ready = step.count(SampleState::Ready) + step.count(SampleState::Scoring),
            .failed = step.count(SampleState::Failed),
            .received = step.count(SampleState::Received),
            .cursor = encodeCursor(Cursor(step.key(), step.spec().digest, step.spec().sampleCount))};
}

std::vector<std::pair<StepKey, StepStatus>> SampleScheduler::status(const TrainerId &trainer) const
{
    std::vector<std::pair<StepKey, StepStatus>> result;
    for (const Step *step : m_stepTable.stepsOf(trainer)) {
        result.emplace_back(step->key(), statusOf(*step));
    }
    return result;
}

} // namespace bergamot
