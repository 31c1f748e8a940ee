// The memory of engines: which items fit, and engines that are reserved for large ones.

#include <algorithm>
#include <limits>
#include <tuple>

#include "bergamot/dispatch/sample_scheduler.h"

namespace bergamot::dispatch
{

bool SampleScheduler::hasMemoryFor(const EngineState &engine, const BatchState &batch, const ItemState &item) const
{
    const std::uint64_t memory = engine.description.memoryTokens;
    if (memory == 0) {
        return true;
    }
    std::uint64_t reserved = 0;
    const auto other = engine.reservedFor ? m_batches.find(engine.reservedFor->batch) : m_batches.end();
    if (other != m_batches.end()) {
        const ItemState &large = other->second.items[engine.reservedFor->item];
        const bool isEarlier = std::tuple(batch.acceptanceOrder, item.startPosition)
            <= std::tuple(other->second.acceptanceOrder, large.startPosition);
        reserved = isEarlier || large.stage != Stage::Waiting ? 0 : large.item.maxTotalTokens;
    }
    if (engine.runs.empty() && reserved == 0) {
        return item.item.maxTotalTokens <= memory;
    }
    const double maxTokens = static_cast<double>(memory) * m_options.maxMemoryShare;
    return static_cast<double>(engine.tokens + item.item.maxTotalTokens + reserved) <= maxTokens;
}

bool SampleScheduler::suits(const EngineState &engine, const BatchState &batch, const ItemState &item) const
{
    const ItemPolicy *policy = policyOf(batch, item);
    const auto version = engine.versions.find(batch.model);
    return !engine.description.draining && engine.loadingModel != batch.model && engine.consecutiveLosses == 0
        && (version == engine.versions.end() ? 0 : version->second) >= batch.minVersion && policy != nullptr
        && serves(engine, *policy);
}

void SampleScheduler::reviewReservations()
{
    std::erase_if(m_reservations, [this](const auto &reservation) {
        const auto &[key, engineId] = reservation;
        const auto engine = m_engines.find(engineId);
        const BatchState *batch = findBatch(key.batch);
        if (engine == m_engines.end() || engine->second.reservedFor != key) {
            return true;
        }
        const bool waits = batch != nullptr && batch->items[key.item].stage == Stage::Waiting;
        if (waits && suits(engine->second, *batch, batch->items[key.item])) {
            return false;
        }
        engine->second.reservedFor.reset();
        return true;
    });
}

void SampleScheduler::startReserved(TimePoint now)
{
    const std::map<ItemKey, std::string> reservations = m_reservations; // starts remove theirs
    for (const auto &[key, engineId] : reservations) {
        BatchState &batch = *findBatch(key.batch);
        ItemState &item = batch.items[key.item];
        EngineState &engine = m_engines.at(engineId);
        const bool continues = continuesAt(item, engine) || !waitsForItsVersion(batch, item, now);
        if (item.source.hasContent && continues && canStartRun(engine, batch, *policyOf(batch, item), now)
            && hasMemoryFor(engine, batch, item)) {
            start(key, batch, item, engine, now);
        }
    }
}

void SampleScheduler::reserveEngine(const ItemKey &key, const BatchState &batch, const ItemState &item, TimePoint now)
{
    const auto most = static_cast<std::size_t>(static_cast<double>(m_engines.size()) * m_options.maxReservedShare);
    if (m_reservations.size() >= std::max<std::size_t>(1, most) || m_reservations.contains(key)) {
        return;
    }
    EngineState *best = nullptr;
    double soonest = std::numeric_limits<double>::max();
    for (auto &[id, engine] : m_engines) {
        const std::uint64_t memory = engine.description.memoryTokens;
        if (!suits(engine, batch, item) || (memory != 0 && item.item.maxTotalTokens > memory)) {
            continue;
        }
        if (hasMemoryFor(engine, batch, item)) {
            return; // only its slots are taken
        }
        const double seconds = secondsUntilFree(engine, item, now);
        if (!engine.reservedFor && seconds < soonest) {
            soonest = seconds;
            best = &engine;
        }
    }
    if (best == nullptr) {
        return;
    }
    best->reservedFor = key;
    m_reservations.emplace(key, best->description.id);
    m_actions.emplace_back(EngineReserved{.key = key,
                                          .engine = best->description.id,
                                          .itemTokens = item.item.maxTotalTokens,
                                          .usedTokens = best->tokens});
}

double SampleScheduler::secondsUntilFree(const EngineState &engine, const ItemState &item, TimePoint now) const
{
    const double maxTokens = static_cast<double>(engine.description.memoryTokens) * m_options.maxMemoryShare;
    std::vector<std::pair<double, std::uint64_t>> runs; // seconds left, tokens
    for (const RunId id : engine.runs) {
        const Run &run = m_runs.at(id);
        const BatchState &batch = m_batches.at(run.key.batch);
        const ItemState &running = batch.items[run.key.item];
        const double events = remainingEvents(batch, running);
        const auto statistics = m_modelStatistics.find(batch.model);
        const double usual = statistics == m_modelStatistics.end() ? 0 : statistics->second.secondsPerItem;
        const double elapsed = std::chrono::duration<double>(now - run.startedAt).count();
        runs.emplace_back(events > 0 ? events * secondsPerEventWithLoad(engine) : std::max(0.0, usual - elapsed),
                          running.item.maxTotalTokens);
    }
    std::sort(runs.begin(), runs.end());
    std::uint64_t used = engine.tokens;
    double seconds = 0;
    for (const auto &[left, tokens] : runs) {
        if (static_cast<double>(used + item.item.maxTotalTokens) <= maxTokens) {
            break;
        }
        used -= std::min(used, tokens);
        seconds = left;
    }
    return seconds;
}

} // namespace bergamot::dispatch
