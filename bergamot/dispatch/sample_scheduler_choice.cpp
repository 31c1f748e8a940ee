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

bool SampleScheduler::fits(const EngineState &engine,
                           const BatchState &batch,
                           const ItemState &item,
                           TimePoint now) const
{
    if (engine.facts.draining || engine.loading == batch.model || now < engine.notBefore || !serves(engine, batch)) {
        return false;
    }
    if (engine.runs.size() >= engine.facts.slots || versionOf(engine.versions, batch.model) < batch.minVersion) {
        return false;
    }
    if (engine.assumed == batch.model && engine.probe != 0) {
        return false;
    }
    const auto room = static_cast<double>(engine.facts.memoryTokens) * m_options.memoryShare;
    const bool alone = engine.runs.empty();
    return engine.facts.memoryTokens == 0 || alone || static_cast<double>(engine.tokens + item.item.tokens) <= room;
}

double SampleScheduler::usualPace() const
{
    std::vector<double> paces;
    for (const auto &[id, engine] : m_engines) {
        if (engine.pace > 0) {
            paces.push_back(engine.pace);
        }
    }
    if (paces.empty()) {
        return 1;
    }
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    return *middle;
}

double SampleScheduler::cost(const EngineState &engine) const
{
    const double pace = engine.pace > 0 ? engine.pace : usualPace();
    return pace * (1 + m_options.crowding * static_cast<double>(engine.runs.size()));
}

SampleScheduler::EngineState *SampleScheduler::bestEngine(const BatchState &batch, const ItemState &item, TimePoint now)
{
    EngineState *best = nullptr;
    double least = std::numeric_limits<double>::max();
    for (auto &[id, engine] : m_engines) {
        if (!fits(engine, batch, item, now)) {
            continue;
        }
        const double price = cost(engine);
        if (price < least) {
            least = price;
            best = &engine;
        }
    }
    return best;
}

void SampleScheduler::assign(TimePoint now)
{
    if (m_startsHeld) {
        return;
    }
    for (const std::string &id : batchesByUrgency(now)) {
        BatchState &batch = m_batches[id];
        if (!batch.route) {
            continue;
        }
        for (const std::uint32_t index : batch.startOrder) {
            ItemState &item = batch.items[index];
            if (item.stage != Stage::Waiting || now < item.notBefore) {
                continue;
            }
            EngineState *engine = bestEngine(batch, item, now);
            if (engine == nullptr) {
                break;
            }
            start({id, index}, batch, item, *engine, now);
        }
    }
}

std::vector<std::string> SampleScheduler::batchesByUrgency(TimePoint now) const
{
    std::vector<std::string> inTime;
    std::vector<std::string> late;
    for (const auto &[order, id] : m_order) {
        const BatchState &batch = m_batches.at(id);
        const bool isLate = batch.route && now - batch.addedAt > batch.route->resultDeadline;
        (isLate ? late : inTime).push_back(id);
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
}

double SampleScheduler::demand(const std::string &model) const
{
    const auto found = m_demand.find(model);
    return found == m_demand.end() ? 0 : found->second.items * found->second.secondsPerItem;
}

void SampleScheduler::start(const ItemKey &key, BatchState &batch, ItemState &item, EngineState &engine, TimePoint now)
{
    restartIfMixed(batch, item, engine);
    const RunId run = ++m_lastRun;
    item.stage = Stage::Running;
    item.run = run;
    engine.runs.insert(run);
    engine.tokens += item.item.tokens;
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
    if (engine != m_engines.end() && engine->second.runs.erase(run) > 0 && item != nullptr) {
        engine->second.tokens -= std::min<std::uint64_t>(engine->second.tokens, item->item.tokens);
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
    ItemState *item = findItem(found->second.key);
    detach(run);
    if (item != nullptr) {
        item->stage = Stage::Waiting;
    }
    m_actions.emplace_back(CancelRun{run});
}

void SampleScheduler::moveStragglers(TimePoint now)
{
    std::vector<RunId> slow;
    for (const auto &[run, facts] : m_runs) {
        const auto engine = m_engines.find(facts.engine);
        if (engine == m_engines.end() || engine->second.pace == 0) {
            continue;
        }
        const BatchState *batch = findBatch(facts.key.batch);
        const ItemState *item = findItem(facts.key);
        if (batch == nullptr || item == nullptr || !batch->route || facts.events < m_options.leastEventsToMove) {
            continue;
        }
        const EngineState *other = bestEngine(*batch, *item, now);
        const double here = cost(engine->second) / (1 + m_options.crowding); // the run itself is counted there
        if (other != nullptr && now - facts.startedAt >= m_options.settleTime
            && here > m_options.slowFactor * cost(*other)) {
            slow.push_back(run);
        }
    }
    if (waiting() > 0) {
        return;
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
