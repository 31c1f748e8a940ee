// Which sample starts next, and at which engine.

#include "bergamot/dispatch/sample_scheduler.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace bergamot::dispatch
{

namespace
{

std::uint64_t versionOf(const std::map<std::string, std::uint64_t> &versions, const std::string &model)
{
    const auto found = versions.find(model);
    return found == versions.end() ? 0 : found->second;
}

} // namespace

bool SampleScheduler::serves(const EngineState &engine, const BatchState &batch) const
{
    const std::vector<std::string> &services = batch.route->services;
    return std::find(services.begin(), services.end(), engine.facts.service) != services.end();
}

void SampleScheduler::setStage(BatchState &batch, ItemState &item, Stage stage)
{
    item.stage = stage;
    if (stage == Stage::Waiting) {
        batch.waiting.insert(item.place);
    } else {
        batch.waiting.erase(item.place);
    }
}

void SampleScheduler::noteSlots(EngineState &engine)
{
    if (engine.runs.size() < engine.facts.slots) {
        m_free.insert(&engine);
    } else {
        m_free.erase(&engine);
    }
}

bool SampleScheduler::takes(const EngineState &engine, const BatchState &batch, TimePoint now)
{
    ++m_examined;
    if (engine.runs.size() >= engine.facts.slots || engine.facts.draining || now < engine.notBefore) {
        return false;
    }
    if (engine.loading == batch.model || (engine.assumed == batch.model && engine.probe != 0)) {
        return false;
    }
    return versionOf(engine.versions, batch.model) >= batch.minVersion && serves(engine, batch);
}

bool SampleScheduler::hasRoom(const EngineState &engine, const ItemState &item) const
{
    const auto room = static_cast<double>(engine.facts.memoryTokens) * m_options.memoryShare;
    const bool alone = engine.runs.empty();
    return engine.facts.memoryTokens == 0 || alone || static_cast<double>(engine.tokens + item.item.tokens) <= room;
}

void SampleScheduler::refreshUsualPace()
{
    std::vector<double> paces;
    for (const auto &[id, engine] : m_engines) {
        if (engine.pace > 0) {
            paces.push_back(engine.pace);
        }
    }
    if (paces.empty()) {
        return;
    }
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    m_usualPace = *middle;
}

double SampleScheduler::cost(const EngineState &engine) const
{
    const double pace = engine.pace > 0 ? engine.pace : m_usualPace;
    return pace * (1 + m_options.crowding * static_cast<double>(engine.runs.size()));
}

SampleScheduler::EngineState *SampleScheduler::bestEngine(const BatchState &batch, const ItemState &item, TimePoint now)
{
    EngineState *best = nullptr;
    double least = std::numeric_limits<double>::max();
    for (EngineState *engine : m_free) {
        const double price = cost(*engine);
        if (price < least && takes(*engine, batch, now) && hasRoom(*engine, item)) {
            least = price;
            best = engine;
        }
    }
    return best;
}

void SampleScheduler::assign(TimePoint now)
{
    if (m_startsHeld || m_free.empty()) {
        return;
    }
    for (BatchState *batch : batchesByUrgency(now)) {
        while (!batch->waiting.empty()) {
            const std::uint32_t index = batch->startOrder[*batch->waiting.begin()];
            EngineState *engine = bestEngine(*batch, batch->items[index], now);
            if (engine == nullptr) {
                break;
            }
            start({batch->id, index}, *batch, batch->items[index], *engine, now);
        }
    }
}

void SampleScheduler::assignTo(EngineState &engine, TimePoint now)
{
    if (m_startsHeld) {
        return;
    }
    for (BatchState *batch : batchesByUrgency(now)) {
        while (!batch->waiting.empty() && takes(engine, *batch, now)) {
            const std::uint32_t index = batch->startOrder[*batch->waiting.begin()];
            if (!hasRoom(engine, batch->items[index])) {
                break;
            }
            start({batch->id, index}, *batch, batch->items[index], engine, now);
        }
    }
}

std::vector<SampleScheduler::BatchState *> SampleScheduler::batchesByUrgency(TimePoint now)
{
    std::vector<BatchState *> inTime;
    std::vector<BatchState *> late;
    for (const auto &[order, id] : m_order) {
        BatchState &batch = m_batches.at(id);
        if (batch.waiting.empty() || !batch.route) {
            continue;
        }
        const bool isLate = now - batch.addedAt > batch.route->resultDeadline;
        (isLate ? late : inTime).push_back(&batch);
    }
    inTime.insert(inTime.end(), late.begin(), late.end());
    return inTime;
}

void SampleScheduler::orderItems(BatchState &batch)
{
    struct Group
    {
        std::uint64_t expected = 0; // output tokens of its longest item, the one that it is complete with
        bool begun = false; // an item has a result, or came again with its group
        std::vector<std::uint32_t> items;
    };
    std::map<std::string, Group> groups;
    std::vector<std::string> names; // in the order of the batch
    for (std::uint32_t index = 0; index < batch.items.size(); ++index) {
        const ItemState &item = batch.items[index];
        Group &group = groups[batch.groups[index]];
        if (group.items.empty()) {
            names.push_back(batch.groups[index]);
        }
        group.items.push_back(index);
        group.expected = std::max<std::uint64_t>(group.expected, item.item.expectedOutput);
        group.begun = group.begun || item.stage == Stage::Done || m_seenGroups.contains(batch.groups[index]);
    }
    std::stable_sort(names.begin(), names.end(), [&groups](const std::string &left, const std::string &right) {
        const Group &one = groups[left];
        const Group &other = groups[right];
        return std::tuple(!one.begun, one.expected) < std::tuple(!other.begun, other.expected);
    });
    const auto appendGroups = [&](std::size_t from, std::size_t to) {
        const auto begun = static_cast<std::ptrdiff_t>(batch.startOrder.size());
        for (std::size_t index = from; index < to; ++index) {
            const std::vector<std::uint32_t> &items = groups[names[index]].items;
            batch.startOrder.insert(batch.startOrder.end(), items.begin(), items.end());
            m_seenGroups.insert(names[index]);
        }
        std::stable_sort(batch.startOrder.begin() + begun,
                         batch.startOrder.end(),
                         [&batch](std::uint32_t left, std::uint32_t right) {
                             return batch.items[left].item.expectedOutput > batch.items[right].item.expectedOutput;
                         });
    };
    // The step is whole when the longest item of the awaited groups is, so that one must not start last.
    const std::size_t awaited = batch.wantedGroups == 0 ? names.size() : batch.wantedGroups;
    const std::size_t first = std::min(awaited, names.size());
    appendGroups(0, first);
    appendGroups(first, names.size());
    for (std::uint32_t place = 0; place < batch.startOrder.size(); ++place) {
        ItemState &item = batch.items[batch.startOrder[place]];
        item.place = place;
        setStage(batch, item, item.stage);
    }
}

void SampleScheduler::start(const ItemKey &key, BatchState &batch, ItemState &item, EngineState &engine, TimePoint now)
{
    restartIfMixed(batch, item, engine);
    const RunId run = ++m_lastRun;
    setStage(batch, item, Stage::Running);
    item.run = run;
    engine.runs.insert(run);
    engine.tokens += item.item.tokens;
    noteSlots(engine);
    m_runs.emplace(run, Run{.key = key, .engine = engine.facts.id, .startedAt = now, .lastEventAt = now});
    StartRun action{
        .run = run, .key = key, .engine = engine.facts.id, .address = engine.facts.address, .model = batch.model};
    if (item.hasEvents) {
        action.resumeAfter = item.lastEvent;
    }
    if (engine.assumed == batch.model) {
        engine.probe = run;
        action.expectedVersion = versionOf(engine.versions, batch.model);
    }
    m_actions.emplace_back(std::move(action));
}

void SampleScheduler::restartIfMixed(const BatchState &batch, ItemState &item, const EngineState &engine)
{
    const std::uint64_t version = versionOf(engine.versions, batch.model);
    const bool mixed = batch.route->singleVersion && !item.versions.empty() && item.versions.back() != version;
    if (mixed) {
        item.text.clear();
        item.versions.clear();
        item.hasEvents = false;
        item.lastEvent = 0;
        item.savedEvent = 0;
        item.savedBytes = 0;
    }
}

void SampleScheduler::detach(RunId run)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return;
    }
    ItemState *item = findItem(found->second.key);
    const auto engine = m_engines.find(found->second.engine);
    if (engine != m_engines.end() && engine->second.runs.erase(run) > 0) {
        const std::uint64_t tokens = item == nullptr ? 0 : item->item.tokens;
        engine->second.tokens -= std::min<std::uint64_t>(engine->second.tokens, tokens);
        noteSlots(engine->second);
    }
    if (engine != m_engines.end() && engine->second.probe == run) {
        engine->second.probe = 0;
    }
    if (item != nullptr && item->run == run) {
        item->run = 0;
    }
    m_runs.erase(found);
}

void SampleScheduler::cancel(RunId run)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return;
    }
    const ItemKey key = found->second.key;
    detach(run);
    if (ItemState *item = findItem(key)) {
        setStage(*findBatch(key.batch), *item, Stage::Waiting);
    }
    m_actions.emplace_back(CancelRun{run});
}

void SampleScheduler::dropRuns(EngineState &engine)
{
    const std::vector<RunId> runs(engine.runs.begin(), engine.runs.end());
    for (const RunId run : runs) {
        cancel(run);
    }
    m_free.erase(&engine);
}

void SampleScheduler::moveStragglers(TimePoint now)
{
    double cheapest = std::numeric_limits<double>::max();
    for (const EngineState *engine : m_free) {
        cheapest = std::min(cheapest, cost(*engine));
    }
    std::vector<RunId> slow;
    for (const auto &[id, engine] : m_engines) {
        const double here = cost(engine) / (1 + m_options.crowding); // the run itself is counted there
        if (engine.pace == 0 || here <= m_options.slowFactor * cheapest) {
            continue;
        }
        for (const RunId run : engine.runs) {
            const Run &facts = m_runs.at(run);
            const BatchState *batch = findBatch(facts.key.batch);
            const ItemState *item = findItem(facts.key);
            const bool settled = now - facts.startedAt >= m_options.settleTime;
            if (item == nullptr || !batch->route || !settled || facts.events < m_options.leastEventsToMove) {
                continue;
            }
            const EngineState *other = bestEngine(*batch, *item, now);
            if (other != nullptr && here > m_options.slowFactor * cost(*other)) {
                slow.push_back(run);
            }
        }
    }
    for (const RunId run : slow) {
        cancel(run);
        assign(now);
    }
}

void SampleScheduler::suspect(EngineState &engine, TimePoint now)
{
    constexpr std::uint32_t MostDoublings = 8;
    const Duration pause = m_options.firstSuspicion * (1U << std::min(engine.losses, MostDoublings));
    ++engine.losses;
    engine.notBefore = now + std::min(pause, m_options.longestSuspicion);
}

} // namespace bergamot::dispatch
