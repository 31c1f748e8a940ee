#include "bergamot/dispatch/sample_scheduler.h"

#include <algorithm>

namespace bergamot::dispatch
{

namespace
{

constexpr double EventTimeSmoothing = 0.2; // weight of a new time per event; covers about the last ten events
constexpr double BatchSizeSmoothing = 0.3; // weight of the size of a new batch
constexpr double PeakDecay = 0.9; // of the peak of open items, at each new batch; ten batches reduce it by two thirds
constexpr double DurationSmoothing = 0.02; // weight of the time of one run; covers about the last batch

} // namespace

SampleScheduler::SampleScheduler(SampleSchedulerOptions options)
    : m_options(options)
{ }

void SampleScheduler::setEngines(const std::vector<EngineDescription> &engines, TimePoint now)
{
    for (auto &[id, engine] : m_engines) {
        engine.registered = false;
    }
    for (const EngineDescription &description : engines) {
        EngineState &engine = m_engines[description.id];
        // A process keeps its software, so an entry with another version comes from another process.
        const bool restarted = engine.description.incarnation != description.incarnation
            || engine.description.address != description.address
            || engine.description.softwareVersion != description.softwareVersion;
        if (restarted) {
            cancelRunsOf(engine, CancelCause::EngineGone);
            discardDoubtfulTexts(description);
            engine = {};
        }
        for (const auto &[model, version] : description.versions) {
            // The directory lags behind the version that the engine itself reported after a load.
            std::uint64_t &known = engine.versions[model];
            if (version >= known || (engine.loadingModel.empty() && engine.unconfirmedModel != model)) {
                if (engine.unconfirmedModel == model) {
                    engine.unconfirmedModel.clear();
                }
                known = std::max(known, version);
            }
        }
        engine.description = description;
        engine.registered = true;
        updateFreeEngines(engine);
    }
    for (auto entry = m_engines.begin(); entry != m_engines.end();) {
        EngineState &engine = entry->second;
        if (engine.registered) {
            ++entry;
            continue;
        }
        cancelRunsOf(engine, CancelCause::EngineGone);
        entry = m_engines.erase(entry);
    }
    std::erase_if(m_alive, [&](const auto &entry) {
        return !m_engines.contains(entry.first) && now - entry.second.at > m_options.aliveRetention;
    });
    m_enginesBySoftware.clear();
    for (const auto &[id, engine] : m_engines) {
        m_enginesBySoftware[engine.description.softwareVersion].push_back(&engine);
    }
    assign(now);
}

void SampleScheduler::addBatch(batch::Batch batch,
                               const std::vector<bool> &committed,
                               const ItemPolicyLookup &lookUpPolicy,
                               TimePoint now,
                               const std::vector<ItemSource> &sources)
{
    if (m_batches.contains(batch.id)) {
        return;
    }
    BatchState &state = m_batches[batch.id];
    state.id = batch.id;
    state.acceptanceOrder = ++m_lastAcceptanceOrder;
    state.host = batch.host;
    state.model = batch.model;
    state.minVersion = batch.minVersion;
    state.wantedGroups = batch.wantedGroups;
    state.addedAt = now;
    state.items.reserve(batch.items.size());
    ModelStatistics &statistics = m_modelStatistics[batch.model];
    const auto size = static_cast<double>(batch.items.size());
    statistics.itemsPerBatch = statistics.itemsPerBatch == 0
        ? size
        : statistics.itemsPerBatch + BatchSizeSmoothing * (size - statistics.itemsPerBatch);
    for (std::size_t index = 0; index < batch.items.size(); ++index) {
        ItemState item;
        state.groups.push_back(batch.items[index].group);
        if (index >= committed.size() || !committed[index]) {
            item.item = std::move(batch.items[index]);
            item.source = index < sources.size()
                ? sources[index]
                : ItemSource{.contentBytes = static_cast<std::uint32_t>(batch::contentBytes(item.item))};
            item.stage = Stage::Waiting;
            ++state.openItems;
        }
        const std::uint32_t part = index < sources.size() ? sources[index].part : 0;
        if (part >= state.firstItemOfPart.size()) {
            state.firstItemOfPart.resize(part + 1, static_cast<std::uint32_t>(index));
        }
        state.items.push_back(std::move(item));
    }
    applyPolicies(state, lookUpPolicy);
    if (!state.policies.empty()) {
        statistics.demands = serviceDemandsOf({&state});
    }
    m_batchByAcceptance[state.acceptanceOrder] = batch.id;
    std::size_t open = 0;
    for (const auto &[id, other] : m_batches) {
        open += other.model == batch.model ? other.openItems : 0;
    }
    statistics.peakOpenItems = std::max(static_cast<double>(open), statistics.peakOpenItems * PeakDecay);
    orderItems(state);
    removeIfDone(batch.id);
    updateMemory();
    m_nextContentReview = now;
    assign(now);
}

std::string_view cancelCauseName(CancelCause cause)
{
    switch (cause) {
    case CancelCause::NotNeeded:
        return "not needed any more";
    case CancelCause::EngineGone:
        return "the engine was removed or restarted";
    case CancelCause::FasterEngine:
        return "goes on at a faster engine";
    case CancelCause::UnfitEvent:
        return "an event out of order or of a version that does not fit";
    case CancelCause::DoubtfulText:
        return "another software version may have generated the text";
    case CancelCause::EndlessText:
        return "the text is longer than its item allows";
    }
    return "unknown";
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

const ItemPolicy *SampleScheduler::policyOf(const BatchState &batch, const ItemState &item)
{
    return item.policy == NoPolicy ? nullptr : &batch.policies[item.policy];
}

void SampleScheduler::applyPolicies(BatchState &batch, const ItemPolicyLookup &lookUpPolicy)
{
    batch.policies.clear();
    for (ItemState &item : batch.items) {
        item.policy = NoPolicy;
        if (item.stage == Stage::Done) {
            continue;
        }
        std::optional<ItemPolicy> policy = lookUpPolicy(item.item);
        if (!policy) {
            continue;
        }
        item.routeRemoved = false;
        const auto known = std::find(batch.policies.begin(), batch.policies.end(), *policy);
        item.policy = static_cast<std::uint32_t>(known - batch.policies.begin());
        if (known == batch.policies.end()) {
            batch.policies.push_back(std::move(*policy));
        }
    }
}

void SampleScheduler::setPolicies(const std::string &batch, const ItemPolicyLookup &lookUpPolicy)
{
    BatchState *state = findBatch(batch);
    if (state == nullptr) {
        return;
    }
    applyPolicies(*state, lookUpPolicy);
    if (!state->policies.empty()) {
        m_modelStatistics[state->model].demands = serviceDemandsOf({state});
    }
}

std::vector<std::uint32_t> SampleScheduler::itemsWithoutPolicy(const std::string &batch) const
{
    std::vector<std::uint32_t> result;
    const auto found = m_batches.find(batch);
    if (found == m_batches.end()) {
        return result;
    }
    for (std::uint32_t index = 0; index < found->second.items.size(); ++index) {
        const ItemState &item = found->second.items[index];
        if (item.stage != Stage::Done && item.policy == NoPolicy) {
            result.push_back(index);
        }
    }
    return result;
}

void SampleScheduler::routeRemoved(const ItemKey &key)
{
    ItemState *item = findItem(key);
    if (item != nullptr && item->policy == NoPolicy) {
        item->routeRemoved = true;
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
            cancel(item.run, CancelCause::NotNeeded);
        }
        if (item.stage == Stage::Scoring) {
            m_actions.emplace_back(CancelScoring{{batch, index}});
        }
    }
    m_batchByAcceptance.erase(state->acceptanceOrder);
    m_batches.erase(batch);
}

void SampleScheduler::resultCommitted(const ItemKey &key)
{
    ItemState *item = findItem(key);
    if (item == nullptr || item->stage == Stage::Done) {
        return;
    }
    if (item->run != 0) {
        cancel(item->run, CancelCause::NotNeeded);
    }
    if (item->stage == Stage::Scoring) {
        m_actions.emplace_back(CancelScoring{key});
    }
    BatchState &batch = m_batches[key.batch];
    const std::uint32_t startPosition = item->startPosition;
    *item = {};
    item->startPosition = startPosition;
    setStage(batch, *item, Stage::Done);
    --batch.openItems;
    removeIfDone(key.batch);
}

void SampleScheduler::engineReportsPace(const std::string &engine)
{
    const auto found = m_engines.find(engine);
    if (found != m_engines.end()) {
        found->second.reportsPace = true;
    }
}

void SampleScheduler::runAccepted(RunId run, std::uint64_t version, TimePoint now)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end() || version == 0) {
        return;
    }
    const BatchState *batch = findBatch(found->second.key.batch);
    const auto engine = m_engines.find(found->second.engine);
    if (batch != nullptr && engine != m_engines.end()) {
        const bool confirms = engine->second.unconfirmedModel == batch->model;
        recordReportedVersion(engine->first, batch->model, version);
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
        cancel(run, CancelCause::UnfitEvent);
        if (!allowed) {
            engine->second.versions[batch->model] = version;
        }
        backOff(engine->second, now);
        return false;
    }
    if (isEndless(*item, eventId, data)) {
        cancel(run, CancelCause::EndlessText);
        discardText(*item);
        backOff(engine->second, now);
        return false;
    }
    const ItemPolicy *policy = policyOf(*batch, *item);
    const bool otherVersion =
        policy != nullptr && policy->singleVersion && !item->versions.empty() && item->versions.back() != version;
    if (otherVersion) {
        cancel(run, CancelCause::UnfitEvent);
        discardText(*item);
        engine->second.versions[batch->model] = version;
        return false;
    }
    if (item->hasEvents) {
        item->text += '\n';
    } else {
        item->firstEvent = eventId;
        item->softwareVersion = found->second.softwareVersion;
    }
    if (found->second.events == 0) {
        recordSource(*item, found->second, now);
        m_startSeconds.add(std::chrono::duration<double>(now - found->second.startedAt).count(), now);
    }
    item->text += data;
    item->lastEvent = eventId;
    item->hasEvents = true;
    addVersion(*item, version);
    if (found->second.events > 0) {
        const double seconds = std::chrono::duration<double>(now - found->second.lastEventAt).count();
        const double alone =
            seconds / (1 + m_options.slowdownPerRun * static_cast<double>(engine->second.runs.size() - 1));
        double &secondsPerEvent = engine->second.secondsPerEvent;
        engine->second.steadyRate.add(alone, now);
        secondsPerEvent =
            secondsPerEvent == 0 ? alone : secondsPerEvent + EventTimeSmoothing * (alone - secondsPerEvent);
    }
    engine->second.consecutiveLosses = 0;
    if (version >= engine->second.versions[batch->model]) {
        recordReportedVersion(engine->first, batch->model, version); // the engine loaded new weights during the run
    }
    ++found->second.events;
    found->second.lastEventAt = now;
    return true;
}

bool SampleScheduler::isEndless(const ItemState &item, std::uint64_t eventId, std::string_view data) const
{
    const std::uint64_t first = item.hasEvents ? item.firstEvent : eventId;
    const std::uint64_t maxEvents = item.item.maxTotalTokens; // an event holds one token or more
    return (maxEvents > 0 && eventId - first >= maxEvents) || item.text.size() + data.size() >= m_options.maxTextBytes;
}

void SampleScheduler::runEnded(RunId run, RunOutcome outcome, TimePoint now)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return;
    }
    const ItemKey key = found->second.key;
    const auto engine = m_engines.find(found->second.engine);
    const double seconds = std::chrono::duration<double>(now - found->second.startedAt).count();
    removeRun(run);
    ItemState *item = findItem(key);
    if (item != nullptr && outcome == RunOutcome::Complete) {
        double &averageSeconds = m_modelStatistics[findBatch(key.batch)->model].secondsPerItem;
        averageSeconds += DurationSmoothing * (seconds - averageSeconds);
        recordTextLength(*findBatch(key.batch), *item);
    }
    if (item != nullptr) {
        setStage(*findBatch(key.batch), *item, Stage::Waiting);
    }
    if (engine != m_engines.end()) {
        switch (outcome) {
        case RunOutcome::NotExecuted:
            engine->second.notBefore = now + m_options.retryDelayAfterRefusal;
            break;
        case RunOutcome::WrongVersion:
            engine->second.notBefore = now + m_options.retryDelayAfterWrongVersion;
            break;
        case RunOutcome::WrongEndpoint:
        case RunOutcome::StreamInterrupted:
        case RunOutcome::TimedOut:
            backOff(engine->second, now);
            break;
        case RunOutcome::StaleConnection:
        case RunOutcome::Complete:
        case RunOutcome::Failed:
        case RunOutcome::Rejected:
            break;
        }
    }
    if (item != nullptr) {
        const ItemPolicy *policy = policyOf(*findBatch(key.batch), *item);
        item->failures += outcome == RunOutcome::Failed ? 1 : 0;
        const bool failedForGood = policy != nullptr && item->failures >= policy->maxAttempts;
        if (outcome == RunOutcome::Complete) {
            completeText(key, *item, now);
        } else if (outcome == RunOutcome::Rejected || (outcome == RunOutcome::Failed && failedForGood)) {
            commitIncompleteResult(key, *item);
        }
    }
    if (outcome == RunOutcome::Complete && engine != m_engines.end()) {
        assignTo(engine->second, now);
    } else {
        assign(now);
    }
}

void SampleScheduler::loadStarted(const std::string &engine, const std::string &model)
{
    const auto found = m_engines.find(engine);
    if (found != m_engines.end()) {
        found->second.loadingModel = model;
    }
}

void SampleScheduler::loadFinished(const std::string &engine, const std::string &model, std::uint64_t version)
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return;
    }
    found->second.loadingModel.clear();
    std::uint64_t &known = found->second.versions[model];
    if (version > known) {
        found->second.unconfirmedModel = model;
        known = version;
    }
}

void SampleScheduler::recordReportedVersion(const std::string &engine, const std::string &model, std::uint64_t version)
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return;
    }
    found->second.versions[model] = version;
    if (found->second.unconfirmedModel == model) {
        found->second.unconfirmedModel.clear();
    }
}

void SampleScheduler::loadCancelled(const std::string &engine)
{
    const auto found = m_engines.find(engine);
    if (found != m_engines.end()) {
        found->second.loadingModel.clear();
    }
}

void SampleScheduler::tick(TimePoint now)
{
    for (auto &[id, batch] : m_batches) {
        for (std::uint32_t index = 0; index < batch.items.size(); ++index) {
            ItemState &item = batch.items[index];
            const ItemPolicy *policy = policyOf(batch, item);
            const bool expired = policy != nullptr && now - batch.addedAt > policy->retention;
            if ((item.routeRemoved || expired) && (item.stage == Stage::Waiting || item.stage == Stage::Running)) {
                if (item.run != 0) {
                    cancel(item.run, CancelCause::NotNeeded);
                }
                commitIncompleteResult({id, index}, item);
            }
        }
    }
    updateMemory();
    reviewContents(now);
    startDueScorings(now);
    if (now >= m_nextSaveCheck) {
        m_nextSaveCheck = now + m_options.saveCheckInterval;
        saveProgress(now);
    }
    updateMedianSecondsPerEvent();
    assign(now);
    moveSlowRuns(now);
}

std::vector<SchedulerAction> SampleScheduler::takeActions()
{
    return std::exchange(m_actions, {});
}

void SampleScheduler::clear()
{
    m_batches.clear();
    m_batchByAcceptance.clear();
    m_seenGroups.clear();
    m_runs.clear();
    m_actions.clear();
    for (auto &[id, engine] : m_engines) {
        engine.runs.clear();
        engine.tokens = 0;
        engine.loadingModel.clear();
        engine.unconfirmedModel.clear();
        engine.probe = 0;
        engine.reservedFor.reset();
        updateFreeEngines(engine);
    }
    m_reservations.clear();
}

void SampleScheduler::commitResult(const ItemKey &key, ItemState &item, bool completed)
{
    BatchState &batch = m_batches[key.batch];
    setStage(batch, item, Stage::Committing);
    dropContent(batch, item);
    CommitResult action{.result = {.batch = key.batch, .item = key.item, .id = item.item.id, .completed = completed}};
    if (completed) {
        action.result.text.swap(item.text);
        action.result.versions = item.versions;
    }
    std::string().swap(item.text);
    m_actions.emplace_back(std::move(action));
}

void SampleScheduler::commitIncompleteResult(const ItemKey &key, ItemState &item)
{
    commitResult(key, item, false);
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

void SampleScheduler::removeIfDone(const std::string &batch)
{
    const auto found = m_batches.find(batch);
    if (found != m_batches.end() && found->second.openItems == 0) {
        m_batchByAcceptance.erase(found->second.acceptanceOrder);
        m_batches.erase(found);
    }
}

} // namespace bergamot::dispatch
