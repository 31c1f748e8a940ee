// Keeps texts from joining what engines of different software versions generated.

#include <algorithm>

#include "bergamot/dispatch/sample_scheduler.h"

namespace bergamot::dispatch
{

bool SampleScheduler::continuesAt(const ItemState &item, const EngineState &engine)
{
    return !item.hasEvents
        || (!item.softwareVersion.empty() && item.softwareVersion == engine.description.softwareVersion);
}

bool SampleScheduler::mustDiscardText(const BatchState &batch, const ItemState &item, const EngineState &engine)
{
    if (!item.hasEvents) {
        return false;
    }
    const auto weights = engine.versions.find(batch.model);
    const std::uint64_t version = weights == engine.versions.end() ? 0 : weights->second;
    const bool otherWeights = !item.versions.empty() && item.versions.back() != version;
    return !continuesAt(item, engine) || (policyOf(batch, item)->singleVersion && otherWeights);
}

bool SampleScheduler::waitsForItsVersion(const BatchState &batch, ItemState &item, TimePoint now) const
{
    const auto engines = m_enginesBySoftware.find(item.softwareVersion);
    if (item.softwareVersion.empty() || engines == m_enginesBySoftware.end()) {
        return false;
    }
    const ItemPolicy *policy = policyOf(batch, item);
    const bool served = policy != nullptr
        && std::any_of(engines->second.begin(), engines->second.end(), [&](const EngineState *engine) {
                            const auto weights = engine->versions.find(batch.model);
                            const bool hasWeights =
                                weights != engine->versions.end() && weights->second >= batch.minVersion;
                            return !engine->description.draining && serves(*engine, *policy)
                                && (hasWeights || engine->loadingModel == batch.model);
                        });
    if (!served) {
        return false;
    }
    if (item.keepTextUntil == TimePoint{}) {
        const auto events = static_cast<double>(item.lastEvent - item.firstEvent + 1);
        const auto regeneration =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(events * m_medianSecondsPerEvent));
        item.keepTextUntil = now + std::min(regeneration, m_options.maxVersionWait);
    }
    return now < item.keepTextUntil;
}

void SampleScheduler::engineAlive(const std::string &engine, std::uint64_t incarnation, TimePoint aliveAt)
{
    AliveProcess &alive = m_alive[engine];
    if (alive.incarnation != incarnation || alive.at < aliveAt) {
        alive = {.incarnation = incarnation, .at = aliveAt};
    }
}

bool SampleScheduler::provenAlive(const TextSource &source) const
{
    const auto alive = m_alive.find(source.engine);
    return alive != m_alive.end() && alive->second.incarnation == source.incarnation
        && alive->second.at >= source.beganAt;
}

void SampleScheduler::recordSource(ItemState &item, const Run &run, TimePoint now) const
{
    std::erase_if(item.unproven, [this](const TextSource &source) {
        return provenAlive(source);
    });
    item.unproven.push_back({.engine = run.engine, .incarnation = run.incarnation, .beganAt = now});
}

void SampleScheduler::discardDoubtfulTexts(const EngineDescription &registered)
{
    const auto doubtful = [&](const TextSource &source) {
        return source.engine == registered.id && source.incarnation != registered.incarnation && !provenAlive(source);
    };
    for (auto &[id, batch] : m_batches) {
        for (std::uint32_t index = 0; index < batch.items.size(); ++index) {
            ItemState &item = batch.items[index];
            const bool sameSoftware =
                !item.softwareVersion.empty() && item.softwareVersion == registered.softwareVersion;
            const bool decided = item.stage == Stage::Committing || item.stage == Stage::Done;
            if (decided || sameSoftware || std::none_of(item.unproven.begin(), item.unproven.end(), doubtful)) {
                continue;
            }
            if (item.run != 0) {
                cancel(item.run, CancelCause::DoubtfulText);
            }
            if (item.stage == Stage::Scoring) {
                m_actions.emplace_back(CancelScoring{{id, index}});
            }
            setStage(batch, item, Stage::Waiting);
            discardText(item);
        }
    }
}

} // namespace bergamot::dispatch
