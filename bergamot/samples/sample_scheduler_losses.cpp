#include "bergamot/samples/sample_scheduler.h"

namespace bergamot
{

void SampleScheduler::handleLostAttempt(const Attempt &attempt, const Error &error, TimePoint now)
{
    Engine &engine = m_engines[attempt.engine];
    if (error.code == ErrorCode::Unknown) {
        recordEngineDeath(attempt, now);
    } else {
        m_crashes.recordEnd(groupOf(attempt.sample), attempt.engine, false);
    }
    engine.pausedUntil = now + error.retryAfter.value_or(m_options.enginePause);
    if (error.code == ErrorCode::InvalidArgument) {
        discardUnproven({}, attempt, {}, error);
    }
    requeueSample(attempt.sample, {}, {0, attempt.engine});
}

void SampleScheduler::recordEngineDeath(const Attempt &attempt, TimePoint now)
{
    Engine &engine = m_engines[attempt.engine];
    if (attempt.startedAt <= engine.diedAt) {
        return; // this crash was already recorded with another attempt
    }
    engine.diedAt = now;
    ++m_counters.engineDeaths;
    std::set<GroupKey> inFlight{groupOf(attempt.sample)};
    for (const auto &[requestId, other] : m_attempts) {
        if (other.engine == attempt.engine) {
            inFlight.insert(groupOf(other.sample));
        }
    }
    recordEvidence("engine-died", attempt.sample, {{"engine", attempt.engine.value()}});
    m_crashes.recordEngineDeath(attempt.engine, inFlight, now);
    reportCrash(attempt.engine, inFlight);
}

void SampleScheduler::recordIdleEngineDeath(Engine &engine, TimePoint now)
{
    // A view lags behind, so it may show a crash that was recorded with an attempt.
    const bool isKnown = now - engine.diedAt <= m_options.crashViewLag;
    if (isKnown || engine.ownSamples > 0 || engine.ownSamplesPeak > 0) {
        return;
    }
    engine.diedAt = now;
    ++m_counters.engineDeaths;
    m_crashes.recordEngineDeath(engine.view.engine, {}, now);
}

void SampleScheduler::giveUpCrashingGroups(TimePoint now)
{
    for (const GroupKey &group : m_crashes.takeGivenUp(now)) {
        const std::vector<EndpointId> engines = m_crashes.crashedEngines(group);
        m_suspectPrompts.recordCrash(group, {engines.begin(), engines.end()}, true);
        giveUpGroup(group);
    }
}

void SampleScheduler::reportCrash(const EndpointId &engine, const std::set<GroupKey> &inFlight)
{
    for (const GroupKey &group : inFlight) {
        const std::vector<EndpointId> engines = m_crashes.crashedEngines(group);
        if (std::find(engines.begin(), engines.end(), engine) != engines.end()) {
            m_suspectPrompts.recordCrash(group, {engines.begin(), engines.end()}, false);
        }
    }
}

void SampleScheduler::applySuspects(const std::vector<SuspectGroup> &suspects)
{
    for (const SuspectGroup &suspect : suspects) {
        if (suspect.cleared) {
            m_crashes.clearSuspect(suspect.group);
            continue;
        }
        m_crashes.addSuspect(suspect.group, suspect.engines);
        if (suspect.refused) {
            giveUpGroup(suspect.group);
        }
    }
}

void SampleScheduler::giveUpGroup(const GroupKey &group)
{
    Step *step = m_stepTable.find(group.step);
    if (step == nullptr) {
        return;
    }
    std::string reason = "the prompt crashed";
    for (const EndpointId &engine : m_crashes.crashedEngines(group)) {
        reason += " " + engine.value();
    }
    const std::uint32_t first = step->spec().firstOffsets[group.group];
    for (std::uint32_t i = 0; i < step->spec().groups[group.group].samples; ++i) {
        const SampleRef sample{group.step, first + i};
        const SampleState state = step->state(sample.offset);
        if (state != SampleState::Waiting && state != SampleState::InFlight) {
            continue;
        }
        cancelAttempts(sample);
        step->fail(sample.offset, reason);
        ++m_counters.failed;
        recordEvidence("sample-failed", sample, {{"reason", reason}});
    }
}

void SampleScheduler::discardUnproven(const std::string &requestId,
                                      const Attempt &attempt,
                                      const Generation &generation,
                                      const Error &why)
{
    ++m_counters.discardedUnproven;
    for (const TokenSpan &span : generation.spans) {
        m_counters.tokensDiscarded += span.tokenCount;
    }
    recordEvidence("sample-discarded",
                   attempt.sample,
                   {{"reason", why.message}, {"engine", attempt.engine.value()}, {"request", requestId}});
    Step *step = m_stepTable.find(attempt.sample.step);
    const bool waits = step != nullptr && step->state(attempt.sample.offset) == SampleState::InFlight;
    if (waits && ++m_unproven[attempt.sample] >= m_options.maxUnproven) {
        cancelAttempts(attempt.sample);
        step->fail(attempt.sample.offset, "no engine proved its versions: " + why.message);
        ++m_counters.failed;
        recordEvidence("sample-failed", attempt.sample, {{"reason", why.message}});
    }
}

} // namespace bergamot
