#include "bergamot/samples/sample_scheduler.h"

namespace bergamot
{

void SampleScheduler::lost(const Attempt &attempt, const Error &error, TimePoint now)
{
    Engine &engine = m_engines[attempt.engine];
    if (error.code == ErrorCode::Unknown) {
        engineDied(attempt, now);
    } else {
        m_crashes.ended(groupOf(attempt.sample), attempt.engine, false);
    }
    engine.pausedUntil = now + error.retryAfter.value_or(m_options.enginePause);
    if (error.code == ErrorCode::InvalidArgument) {
        unproven({}, attempt, {}, error);
    }
    returnToQueue(attempt.sample, {}, {0, attempt.engine});
}

void SampleScheduler::engineDied(const Attempt &attempt, TimePoint now)
{
    Engine &engine = m_engines[attempt.engine];
    if (attempt.startedAt <= engine.diedAt) {
        return; // another victim of a death that is known
    }
    engine.diedAt = now;
    ++m_counters.engineDeaths;
    std::set<GroupKey> inFlight{groupOf(attempt.sample)};
    for (const auto &[requestId, other] : m_attempts) {
        if (other.engine == attempt.engine) {
            inFlight.insert(groupOf(other.sample));
        }
    }
    record("engine-died", attempt.sample, {{"engine", attempt.engine.value()}});
    const std::vector<GroupKey> givenUp = m_crashes.engineDied(attempt.engine, inFlight);
    tellOfDeath(attempt.engine, inFlight, {givenUp.begin(), givenUp.end()});
    for (const GroupKey &group : givenUp) {
        giveUpGroup(group);
    }
}

void SampleScheduler::tellOfDeath(const EndpointId &engine,
                                  const std::set<GroupKey> &inFlight,
                                  const std::set<GroupKey> &givenUp)
{
    for (const GroupKey &group : inFlight) {
        const std::vector<EndpointId> engines = m_crashes.enginesDiedUnder(group);
        if (std::find(engines.begin(), engines.end(), engine) != engines.end()) {
            m_suspectPrompts.died(group, {engines.begin(), engines.end()}, givenUp.contains(group));
        }
    }
}

void SampleScheduler::applySuspects(const std::vector<SuspectGroup> &suspects)
{
    for (const SuspectGroup &suspect : suspects) {
        if (suspect.cleared) {
            m_crashes.clear(suspect.group);
            continue;
        }
        m_crashes.suspect(suspect.group, suspect.engines);
        if (suspect.refused) {
            giveUpGroup(suspect.group);
        }
    }
}

void SampleScheduler::giveUpGroup(const GroupKey &group)
{
    Step *step = m_book.find(group.step);
    if (step == nullptr) {
        return;
    }
    std::string reason = "the prompt crashed";
    for (const EndpointId &engine : m_crashes.enginesDiedUnder(group)) {
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
        record("sample-failed", sample, {{"reason", reason}});
    }
}

void SampleScheduler::unproven(const std::string &requestId,
                               const Attempt &attempt,
                               const Generation &generation,
                               const Error &why)
{
    ++m_counters.discardedUnproven;
    for (const TokenSpan &span : generation.spans) {
        m_counters.tokensDiscarded += span.tokenCount;
    }
    record("sample-discarded",
           attempt.sample,
           {{"reason", why.message}, {"engine", attempt.engine.value()}, {"request", requestId}});
    Step *step = m_book.find(attempt.sample.step);
    const bool waits = step != nullptr && step->state(attempt.sample.offset) == SampleState::InFlight;
    if (waits && ++m_unproven[attempt.sample] >= m_options.maxUnproven) {
        cancelAttempts(attempt.sample);
        step->fail(attempt.sample.offset, "no engine proved its versions: " + why.message);
        ++m_counters.failed;
        record("sample-failed", attempt.sample, {{"reason", why.message}});
    }
}

} // namespace bergamot
