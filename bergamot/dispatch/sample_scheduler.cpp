#include "bergamot/dispatch/sample_scheduler.h"

#include <algorithm>

namespace bergamot::dispatch
{

namespace
{

constexpr double PaceSmoothing = 0.2; // weight of a new pace; about the last ten events count
constexpr double DemandSmoothing = 0.3; // weight of a new batch's size
constexpr double PeakMemory = 0.9; // of the peak of open items, kept at each new batch; ten batches forget two thirds
constexpr double DurationSmoothing = 0.02; // weight of one run's time; about the last batch counts

} // namespace

SampleScheduler::SampleScheduler(SampleSchedulerOptions options)
    : m_options(options)
{ }

void SampleScheduler::setEngines(const std::vector<EngineFacts> &engines, TimePoint now)
{
    for (auto &[id, engine] : m_engines) {
        engine.listed = false;
    }
    for (const EngineFacts &facts : engines) {
        EngineState &engine = m_engines[facts.id];
        const bool restarted = engine.facts.incarnation != facts.incarnation || engine.facts.address != facts.address;
        if (restarted) {
            dropRuns(engine);
            engine = {};
        }
        for (const auto &[model, version] : facts.versions) {
            // The list lags behind what the engine itself said of a load.
            std::uint64_t &known = engine.versions[model];
            if (version >= known || (engine.loading.empty() && engine.assumed != model)) {
                if (engine.assumed == model) {
                    engine.assumed.clear();
                }
                known = std::max(known, version);
            }
        }
        engine.facts = facts;
        engine.listed = true;
        noteSlots(engine);
    }
    for (auto entry = m_engines.begin(); entry != m_engines.end();) {
        EngineState &engine = entry->second;
        if (engine.listed) {
            ++entry;
            continue;
        }
        dropRuns(engine);
        entry = m_engines.erase(entry);
    }
    assign(now);
}

void SampleScheduler::addBatch(const batch::Batch &batch,
                               const std::vector<bool> &listed,
                               std::optional<ItemRoute> route,
                               TimePoint now)
{
    if (m_batches.contains(batch.id)) {
        return;
    }
    BatchState &state = m_batches[batch.id];
    state.id = batch.id;
    state.order = ++m_lastOrder;
    state.host = batch.host;
    state.model = batch.model;
    state.minVersion = batch.minVersion;
    state.wantedGroups = batch.wantedGroups;
    state.route = std::move(route);
    state.addedAt = now;
    state.items.reserve(batch.items.size());
    Demand &demand = m_demand[batch.model];
    const auto size = static_cast<double>(batch.items.size());
    demand.items = demand.items == 0 ? size : demand.items + DemandSmoothing * (size - demand.items);
    for (std::size_t index = 0; index < batch.items.size(); ++index) {
        ItemState item;
        state.groups.push_back(batch.items[index].group);
        if (index >= listed.size() || !listed[index]) {
            item.item = batch.items[index];
            item.stage = Stage::Waiting;
            ++state.open;
        }
        state.items.push_back(std::move(item));
    }
    m_order[state.order] = batch.id;
    std::size_t open = 0;
    for (const auto &[id, other] : m_batches) {
        open += other.model == batch.model ? other.open : 0;
    }
    demand.peak = std::max(static_cast<double>(open), demand.peak * PeakMemory);
    orderItems(state);
    closeIfDone(batch.id);
    assign(now);
}

void SampleScheduler::holdStarts()
{
    m_startsHeld = true;
}

void SampleScheduler::releaseStarts(TimePoint now)
{
    m_startsHeld = false;
    assign(now);
}

void SampleScheduler::setRoute(const std::string &batch, std::optional<ItemRoute> route)
{
    BatchState *state = findBatch(batch);
    if (state == nullptr || state->route == route) {
        return;
    }
    state->route = std::move(route);
    state->routeGone = false;
}

void SampleScheduler::routeGone(const std::string &batch)
{
    BatchState *state = findBatch(batch);
    if (state != nullptr && !state->route) {
        state->routeGone = true;
    }
}

void SampleScheduler::endBatch(const std::string &batch)
{
    BatchState *state = findBatch(batch);
    if (state == nullptr) {
        return;
    }
    for (std::uint32_t index = 0; index < state->items.size(); ++index) {
        ItemState &item = state->items[index];
        if (item.run != 0) {
            cancel(item.run);
        }
        if (item.stage == Stage::Scoring) {
            m_actions.emplace_back(CancelScoring{{batch, index}});
        }
    }
    m_order.erase(state->order);
    m_batches.erase(batch);
}

void SampleScheduler::itemListed(const ItemKey &key)
{
    ItemState *item = findItem(key);
    if (item == nullptr || item->stage == Stage::Done) {
        return;
    }
    if (item->run != 0) {
        cancel(item->run);
    }
    if (item->stage == Stage::Scoring) {
        m_actions.emplace_back(CancelScoring{key});
    }
    BatchState &batch = m_batches[key.batch];
    const std::uint32_t place = item->place;
    *item = {};
    item->place = place;
    setStage(batch, *item, Stage::Done);
    --batch.open;
    closeIfDone(key.batch);
}

void SampleScheduler::runStarted(RunId run, std::uint64_t version, TimePoint now)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end() || version == 0) {
        return;
    }
    const BatchState *batch = findBatch(found->second.key.batch);
    const auto engine = m_engines.find(found->second.engine);
    if (batch != nullptr && engine != m_engines.end()) {
        const bool confirms = engine->second.assumed == batch->model;
        versionSeen(engine->first, batch->model, version);
        if (confirms) {
            assignTo(engine->second, now);
        }
    }
}

bool SampleScheduler::runEvent(
    RunId run, std::uint64_t eventId, std::string_view data, std::uint64_t version, TimePoint now)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return false;
    }
    ItemState *item = findItem(found->second.key);
    const BatchState *batch = findBatch(found->second.key.batch);
    const auto engine = m_engines.find(found->second.engine);
    if (item == nullptr || batch == nullptr || engine == m_engines.end()) {
        return false;
    }
    const bool inOrder = !item->hasEvents || eventId == item->lastEvent + 1;
    const bool allowed = version >= batch->minVersion;
    if (!inOrder || !allowed) {
        cancel(run);
        if (!allowed) {
            engine->second.versions[batch->model] = version;
        }
        suspect(engine->second, now);
        return false;
    }
    if (item->hasEvents) {
        item->text += '\n';
    } else {
        item->firstEvent = eventId;
    }
    item->text += data;
    item->lastEvent = eventId;
    item->hasEvents = true;
    addVersion(*item, version);
    if (found->second.events > 0) {
        const double seconds = std::chrono::duration<double>(now - found->second.lastEventAt).count();
        const double alone = seconds / (1 + m_options.crowding * static_cast<double>(engine->second.runs.size() - 1));
        double &pace = engine->second.pace;
        pace = pace == 0 ? alone : pace + PaceSmoothing * (alone - pace);
    }
    engine->second.losses = 0;
    if (version >= engine->second.versions[batch->model]) {
        versionSeen(engine->first, batch->model, version); // it took new weights under the run
    }
    ++found->second.events;
    found->second.lastEventAt = now;
    return true;
}

void SampleScheduler::runEnded(RunId run, RunEnd end, TimePoint now)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return;
    }
    const ItemKey key = found->second.key;
    const auto engine = m_engines.find(found->second.engine);
    const double seconds = std::chrono::duration<double>(now - found->second.startedAt).count();
    detach(run);
    ItemState *item = findItem(key);
    if (item != nullptr && end == RunEnd::Complete) {
        double &usual = m_demand[findBatch(key.batch)->model].secondsPerItem;
        usual += DurationSmoothing * (seconds - usual);
    }
    if (item != nullptr) {
        setStage(*findBatch(key.batch), *item, Stage::Waiting);
    }
    if (engine != m_engines.end()) {
        switch (end) {
        case RunEnd::NotExecuted:
            engine->second.notBefore = now + m_options.fullPause;
            break;
        case RunEnd::WrongVersion:
            engine->second.notBefore = now + m_options.wrongVersionPause;
            break;
        case RunEnd::WrongEndpoint:
        case RunEnd::Broken:
        case RunEnd::Silent:
            suspect(engine->second, now);
            break;
        case RunEnd::StaleConnection:
        case RunEnd::Complete:
        case RunEnd::Failed:
        case RunEnd::Impossible:
            break;
        }
    }
    if (item != nullptr) {
        const BatchState *batch = findBatch(key.batch);
        const std::uint32_t most = batch->route ? batch->route->maxAttempts : 1;
        item->failures += end == RunEnd::Failed ? 1 : 0;
        if (end == RunEnd::Complete) {
            finishText(key, *item);
        } else if (end == RunEnd::Impossible || (end == RunEnd::Failed && item->failures >= most)) {
            giveUp(key, *item);
        }
    }
    if (end == RunEnd::Complete && engine != m_engines.end()) {
        assignTo(engine->second, now);
    } else {
        assign(now);
    }
}

void SampleScheduler::scoringEnded(const ItemKey &key, ScoringEnd end, const std::string &score, TimePoint now)
{
    ItemState *item = findItem(key);
    if (item == nullptr || item->stage != Stage::Scoring) {
        return;
    }
    BatchState &batch = m_batches[key.batch];
    if (end == ScoringEnd::Scored) {
        list(key, *item, true);
        std::get<ListResult>(m_actions.back()).result.score = score;
        return;
    }
    if (end == ScoringEnd::Failed && ++item->scoringFailures >= (batch.route ? batch.route->maxScoringFailures : 1)) {
        giveUp(key, *item);
        return;
    }
    setStage(batch, *item, Stage::AwaitingScore);
    item->notBefore = now + m_options.scoringPause;
}

void SampleScheduler::loadStarted(const std::string &engine, const std::string &model)
{
    const auto found = m_engines.find(engine);
    if (found != m_engines.end()) {
        found->second.loading = model;
    }
}

void SampleScheduler::loadFinished(const std::string &engine, const std::string &model, std::uint64_t version)
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return;
    }
    found->second.loading.clear();
    std::uint64_t &known = found->second.versions[model];
    if (version > known) {
        found->second.assumed = model;
        known = version;
    }
}

void SampleScheduler::versionSeen(const std::string &engine, const std::string &model, std::uint64_t version)
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return;
    }
    found->second.versions[model] = version;
    if (found->second.assumed == model) {
        found->second.assumed.clear();
    }
}

void SampleScheduler::loadAbandoned(const std::string &engine)
{
    const auto found = m_engines.find(engine);
    if (found != m_engines.end()) {
        found->second.loading.clear();
    }
}

void SampleScheduler::tick(TimePoint now)
{
    for (auto &[id, batch] : m_batches) {
        for (std::uint32_t index = 0; index < batch.items.size(); ++index) {
            ItemState &item = batch.items[index];
            if (item.stage == Stage::AwaitingScore && now >= item.notBefore) {
                setStage(batch, item, Stage::Scoring);
                m_actions.emplace_back(StartScoring{{id, index}});
            }
            const bool expired = batch.route && now - batch.addedAt > batch.route->retention;
            if ((batch.routeGone || expired) && (item.stage == Stage::Waiting || item.stage == Stage::Running)) {
                if (item.run != 0) {
                    cancel(item.run);
                }
                giveUp({id, index}, item);
            }
        }
    }
    if (now >= m_nextSave) {
        m_nextSave = now + m_options.saveCheck;
        saveProgress(now);
    }
    refreshUsualPace();
    assign(now);
    moveStragglers(now);
}

std::vector<SchedulerAction> SampleScheduler::takeActions()
{
    return std::exchange(m_actions, {});
}

void SampleScheduler::clear()
{
    m_batches.clear();
    m_order.clear();
    m_seenGroups.clear();
    m_runs.clear();
    m_actions.clear();
    for (auto &[id, engine] : m_engines) {
        engine.runs.clear();
        engine.tokens = 0;
        engine.loading.clear();
        engine.assumed.clear();
        engine.probe = 0;
        noteSlots(engine);
    }
}

void SampleScheduler::list(const ItemKey &key, ItemState &item, bool completed)
{
    setStage(m_batches[key.batch], item, Stage::Listing);
    ListResult action{.result = {.batch = key.batch, .item = key.item, .id = item.item.id, .completed = completed}};
    if (completed) {
        action.result.text = item.text;
        action.result.versions = item.versions;
    }
    m_actions.emplace_back(std::move(action));
}

void SampleScheduler::finishText(const ItemKey &key, ItemState &item)
{
    item.complete = true;
    if (item.item.scoring) {
        setStage(m_batches[key.batch], item, Stage::Scoring);
        m_actions.emplace_back(StartScoring{key});
        return;
    }
    list(key, item, true);
}

void SampleScheduler::giveUp(const ItemKey &key, ItemState &item)
{
    list(key, item, false);
}

SampleScheduler::BatchState *SampleScheduler::findBatch(const std::string &batch)
{
    const auto found = m_batches.find(batch);
    return found == m_batches.end() ? nullptr : &found->second;
}

SampleScheduler::ItemState *SampleScheduler::findItem(const ItemKey &key)
{
    BatchState *batch = findBatch(key.batch);
    return batch == nullptr || key.item >= batch->items.size() ? nullptr : &batch->items[key.item];
}

void SampleScheduler::closeIfDone(const std::string &batch)
{
    const auto found = m_batches.find(batch);
    if (found != m_batches.end() && found->second.open == 0) {
        m_order.erase(found->second.order);
        m_batches.erase(found);
    }
}

} // namespace bergamot::dispatch
