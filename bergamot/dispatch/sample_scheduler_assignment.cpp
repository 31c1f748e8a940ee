// Assigns samples to engines: which sample starts next, and at which engine.

#include "bergamot/dispatch/sample_scheduler.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace bergamot::dispatch
{

namespace
{

constexpr double TextLengthSmoothing = 0.05; // weight of a new text in the mean length

std::uint64_t versionOf(const std::map<std::string, std::uint64_t> &versions, const std::string &model)
{
    const auto found = versions.find(model);
    return found == versions.end() ? 0 : found->second;
}

} // namespace

bool SampleScheduler::serves(const EngineState &engine, const ItemPolicy &policy)
{
    const std::vector<std::string> &services = policy.services;
    return std::find(services.begin(), services.end(), engine.description.service) != services.end();
}

void SampleScheduler::setStage(BatchState &batch, ItemState &item, Stage stage)
{
    item.stage = stage;
    const auto include = [&item](std::set<std::uint32_t> &positions, bool included) {
        if (included) {
            positions.insert(item.startPosition);
        } else {
            positions.erase(item.startPosition);
        }
    };
    const bool hasContent = item.source.hasContent;
    include(batch.waiting, stage == Stage::Waiting && hasContent);
    include(batch.waitingWithoutContent, stage == Stage::Waiting && !hasContent);
    include(batch.awaitingScore, stage == Stage::AwaitingScore && hasContent);
    include(batch.awaitingScoreWithoutContent, stage == Stage::AwaitingScore && !hasContent);
}

void SampleScheduler::updateFreeEngines(EngineState &engine)
{
    if (engine.runs.size() < engine.description.slots) {
        m_freeEngines.insert(&engine);
    } else {
        m_freeEngines.erase(&engine);
    }
}

bool SampleScheduler::canStartRun(const EngineState &engine,
                                  const BatchState &batch,
                                  const ItemPolicy &policy,
                                  TimePoint now)
{
    ++m_enginesExamined;
    if (engine.runs.size() >= engine.description.slots || engine.description.draining || now < engine.notBefore) {
        return false;
    }
    if (engine.loadingModel == batch.model || (engine.unconfirmedModel == batch.model && engine.probe != 0)) {
        return false;
    }
    return versionOf(engine.versions, batch.model) >= batch.minVersion && serves(engine, policy)
        && (m_options.gate == nullptr || m_options.gate->admits(processOf(engine), now));
}

EndpointProcess SampleScheduler::processOf(const EngineState &engine)
{
    return {.endpoint = EndpointId(engine.description.id), .incarnation = engine.description.incarnation};
}

void SampleScheduler::updateMedianSecondsPerEvent()
{
    std::vector<double> eventTimes;
    for (const auto &[id, engine] : m_engines) {
        if (const double seconds = unloadedSecondsPerEvent(engine); seconds > 0) {
            eventTimes.push_back(seconds);
        }
    }
    if (eventTimes.empty()) {
        return;
    }
    const auto median = eventTimes.begin() + static_cast<std::ptrdiff_t>(eventTimes.size() / 2);
    std::nth_element(eventTimes.begin(), median, eventTimes.end());
    m_medianSecondsPerEvent = *median;
}

double SampleScheduler::unloadedSecondsPerEvent(const EngineState &engine)
{
    return engine.reportsPace ? engine.steadyRate.value() : engine.secondsPerEvent;
}

double SampleScheduler::secondsPerEventWithLoad(const EngineState &engine) const
{
    const double known = unloadedSecondsPerEvent(engine);
    const double secondsPerEvent = known > 0 ? known : m_medianSecondsPerEvent;
    return secondsPerEvent * (1 + m_options.slowdownPerRun * static_cast<double>(engine.runs.size()));
}

SampleScheduler::EngineState *SampleScheduler::bestEngine(
    const BatchState &batch, const ItemState &item, TextUse use, TimePoint now, bool *lacksMemory)
{
    const ItemPolicy *policy = policyOf(batch, item);
    if (policy == nullptr) {
        return nullptr;
    }
    EngineState *best = nullptr;
    double lowest = std::numeric_limits<double>::max();
    for (EngineState *engine : m_freeEngines) {
        if (use == TextUse::Continue && !continuesAt(item, *engine)) {
            continue;
        }
        const double seconds = secondsPerEventWithLoad(*engine);
        if (seconds >= lowest || !canStartRun(*engine, batch, *policy, now)) {
            continue;
        }
        if (hasMemoryFor(*engine, batch, item)) {
            lowest = seconds;
            best = engine;
        } else if (lacksMemory != nullptr) {
            *lacksMemory = true;
        }
    }
    return best;
}

SampleScheduler::EngineState *
SampleScheduler::place(const BatchState &batch, ItemState &item, TimePoint now, bool &lacksMemory)
{
    EngineState *engine = bestEngine(batch, item, TextUse::Continue, now, &lacksMemory);
    if (engine != nullptr || !item.hasEvents || waitsForItsVersion(batch, item, now)) {
        return engine;
    }
    return bestEngine(batch, item, TextUse::Discard, now, &lacksMemory);
}

std::optional<std::uint32_t> SampleScheduler::nextToStart(const BatchState &batch, const PassedOver &passedOver) const
{
    if (passedOver.isComplete()) {
        return std::nullopt;
    }
    const auto isPassedOver = [&](std::uint32_t position) {
        return passedOver.contains(position, batch.items[batch.startOrder[position]]);
    };
    if (m_options.gate == nullptr || !m_options.gate->limitsAny()) {
        const auto next = std::find_if_not(batch.waiting.begin(), batch.waiting.end(), isPassedOver);
        return next == batch.waiting.end() ? std::nullopt : std::optional(batch.startOrder[*next]);
    }
    std::set<std::string_view> begun;
    std::map<std::string_view, std::size_t> waiting; // items by group
    for (std::uint32_t index = 0; index < batch.items.size(); ++index) {
        if (batch.items[index].stage == Stage::Waiting) {
            ++waiting[batch.groups[index]];
        } else {
            begun.insert(batch.groups[index]);
        }
    }
    const auto rank = [&](std::uint32_t position) {
        const std::string &group = batch.groups[batch.startOrder[position]];
        return std::tuple(!begun.contains(group), waiting[group], position);
    };
    std::optional<std::uint32_t> first;
    for (const std::uint32_t position : batch.waiting) {
        if (!isPassedOver(position) && (!first || rank(position) < rank(*first))) {
            first = position;
        }
    }
    return first ? std::optional(batch.startOrder[*first]) : std::nullopt;
}

void SampleScheduler::assign(TimePoint now)
{
    if (m_startsHeld || m_startsHeldForTexts || m_freeEngines.empty()) {
        return;
    }
    reviewReservations();
    startReserved(now);
    for (BatchState *batch : batchesByUrgency(now, hasWaitingItems)) {
        PassedOver passedOver(batch->policies.size());
        while (const std::optional<std::uint32_t> index = nextToStart(*batch, passedOver)) {
            ItemState &item = batch->items[*index];
            bool lacksMemory = false;
            EngineState *engine = place(*batch, item, now, lacksMemory);
            if (engine != nullptr) {
                start({batch->id, *index}, *batch, item, *engine, now);
            } else if (item.hasEvents) {
                passedOver.positions.insert(item.startPosition);
            } else if (lacksMemory) {
                passedOver.tooManyTokens[item.policy] = item.item.maxTotalTokens;
            } else {
                passedOver.addPolicy(item.policy);
            }
            if (engine == nullptr && lacksMemory) {
                reserveEngine({batch->id, *index}, *batch, item, now);
            }
        }
    }
}

void SampleScheduler::assignTo(EngineState &engine, TimePoint now)
{
    if (m_startsHeld || m_startsHeldForTexts) {
        return;
    }
    reviewReservations();
    startReserved(now);
    for (BatchState *batch : batchesByUrgency(now, hasWaitingItems)) {
        PassedOver passedOver(batch->policies.size());
        while (true) {
            for (std::uint32_t policy = 0; policy < batch->policies.size(); ++policy) {
                if (!passedOver.hasPolicy(policy) && !canStartRun(engine, *batch, batch->policies[policy], now)) {
                    passedOver.addPolicy(policy);
                }
            }
            const std::optional<std::uint32_t> index = nextToStart(*batch, passedOver);
            if (!index) {
                break;
            }
            ItemState &item = batch->items[*index];
            if (!continuesAt(item, engine) && waitsForItsVersion(*batch, item, now)) {
                passedOver.positions.insert(item.startPosition);
            } else if (!hasMemoryFor(engine, *batch, item)) {
                passedOver.tooManyTokens[item.policy] = item.item.maxTotalTokens;
            } else {
                start({batch->id, *index}, *batch, item, engine, now);
            }
        }
    }
}

bool SampleScheduler::hasWaitingItems(const BatchState &batch)
{
    return !batch.waiting.empty() && !batch.policies.empty();
}

std::vector<SampleScheduler::BatchState *> SampleScheduler::batchesByUrgency(TimePoint now,
                                                                             bool (*wanted)(const BatchState &batch))
{
    std::vector<BatchState *> inTime;
    std::vector<BatchState *> late;
    for (const auto &[order, id] : m_batchByAcceptance) {
        BatchState &batch = m_batches.at(id);
        if (!wanted(batch)) {
            continue;
        }
        const bool isLate = std::any_of(batch.policies.begin(), batch.policies.end(), [&](const ItemPolicy &policy) {
            return now - batch.addedAt > policy.resultDeadline;
        });
        (isLate ? late : inTime).push_back(&batch);
    }
    inTime.insert(inTime.end(), late.begin(), late.end());
    return inTime;
}

void SampleScheduler::orderItems(BatchState &batch)
{
    struct Group
    {
        std::uint64_t longestOutput = 0; // output tokens of its longest item, which completes last
        bool hasPriority = false; // an item has a result already, or the group was part of an earlier batch
        std::vector<std::uint32_t> items;
    };
    std::map<std::string, Group> groups;
    std::vector<std::string> groupNames; // in the order of their first items
    for (std::uint32_t index = 0; index < batch.items.size(); ++index) {
        const ItemState &item = batch.items[index];
        Group &group = groups[batch.groups[index]];
        if (group.items.empty()) {
            groupNames.push_back(batch.groups[index]);
        }
        group.items.push_back(index);
        group.longestOutput = std::max<std::uint64_t>(group.longestOutput, item.item.expectedOutput);
        group.hasPriority =
            group.hasPriority || item.stage == Stage::Done || m_seenGroups.contains(batch.groups[index]);
    }
    std::stable_sort(
        groupNames.begin(), groupNames.end(), [&groups](const std::string &left, const std::string &right) {
            const Group &one = groups[left];
            const Group &other = groups[right];
            return std::tuple(!one.hasPriority, one.longestOutput)
                < std::tuple(!other.hasPriority, other.longestOutput);
        });
    const auto appendGroups = [&](std::size_t from, std::size_t to) {
        const auto rangeBegin = static_cast<std::ptrdiff_t>(batch.startOrder.size());
        for (std::size_t index = from; index < to; ++index) {
            const std::vector<std::uint32_t> &items = groups[groupNames[index]].items;
            batch.startOrder.insert(batch.startOrder.end(), items.begin(), items.end());
            m_seenGroups.insert(groupNames[index]);
        }
        std::stable_sort(batch.startOrder.begin() + rangeBegin,
                         batch.startOrder.end(),
                         [&batch](std::uint32_t left, std::uint32_t right) {
                             return batch.items[left].item.expectedOutput > batch.items[right].item.expectedOutput;
                         });
    };
    // The step is complete no earlier than the longest item of the wanted groups, so that item must not start last.
    const std::size_t priorityGroups = batch.wantedGroups == 0 ? groupNames.size() : batch.wantedGroups;
    const std::size_t first = std::min(priorityGroups, groupNames.size());
    appendGroups(0, first);
    appendGroups(first, groupNames.size());
    for (std::uint32_t startPosition = 0; startPosition < batch.startOrder.size(); ++startPosition) {
        ItemState &item = batch.items[batch.startOrder[startPosition]];
        item.startPosition = startPosition;
        setStage(batch, item, item.stage);
    }
}

void SampleScheduler::start(const ItemKey &key, BatchState &batch, ItemState &item, EngineState &engine, TimePoint now)
{
    const RunId run = ++m_lastRun;
    StartRun action{.run = run,
                    .key = key,
                    .engine = engine.description.id,
                    .address = engine.description.address,
                    .model = batch.model};
    if (mustDiscardText(batch, item, engine)) {
        action.discardedEvents = item.lastEvent - item.firstEvent + 1;
        action.discardedSoftware = item.softwareVersion;
        discardText(item);
    }
    item.keepTextUntil = {};
    setStage(batch, item, Stage::Running);
    if (const auto reservation = m_reservations.find(key); reservation != m_reservations.end()) {
        if (const auto reserved = m_engines.find(reservation->second); reserved != m_engines.end()) {
            reserved->second.reservedFor.reset();
        }
        m_reservations.erase(reservation);
    }
    item.run = run;
    engine.runs.insert(run);
    engine.tokens += item.item.maxTotalTokens;
    updateFreeEngines(engine);
    if (m_options.gate != nullptr) {
        m_options.gate->dispatched(processOf(engine), now);
    }
    m_runs.emplace(run,
                   Run{.key = key,
                       .engine = engine.description.id,
                       .incarnation = engine.description.incarnation,
                       .softwareVersion = engine.description.softwareVersion,
                       .startedAt = now,
                       .lastEventAt = now});
    if (item.hasEvents) {
        action.resumeAfter = item.lastEvent;
    }
    if (engine.unconfirmedModel == batch.model) {
        engine.probe = run;
        action.expectedVersion = versionOf(engine.versions, batch.model);
    }
    m_actions.emplace_back(std::move(action));
}

void SampleScheduler::discardText(ItemState &item)
{
    item.text.clear();
    item.versions.clear();
    item.softwareVersion.clear();
    item.unproven.clear();
    item.hasEvents = false;
    item.complete = false;
    item.lastEvent = 0;
    item.savedEvent = 0;
    item.savedBytes = 0;
}

void SampleScheduler::removeRun(RunId run)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return;
    }
    ItemState *item = findItem(found->second.key);
    const auto engine = m_engines.find(found->second.engine);
    if (engine != m_engines.end() && engine->second.runs.erase(run) > 0) {
        const std::uint64_t tokens = item == nullptr ? 0 : item->item.maxTotalTokens;
        engine->second.tokens -= std::min<std::uint64_t>(engine->second.tokens, tokens);
        updateFreeEngines(engine->second);
    }
    if (engine != m_engines.end() && engine->second.probe == run) {
        engine->second.probe = 0;
    }
    if (item != nullptr && item->run == run) {
        item->run = 0;
    }
    m_runs.erase(found);
}

void SampleScheduler::cancel(RunId run, CancelCause cause)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return;
    }
    const ItemKey key = found->second.key;
    removeRun(run);
    if (ItemState *item = findItem(key)) {
        setStage(*findBatch(key.batch), *item, Stage::Waiting);
    }
    m_actions.emplace_back(CancelRun{run, cause});
}

void SampleScheduler::cancelRunsOf(EngineState &engine, CancelCause cause)
{
    const std::vector<RunId> runs(engine.runs.begin(), engine.runs.end());
    for (const RunId run : runs) {
        cancel(run, cause);
    }
    m_freeEngines.erase(&engine);
}

void SampleScheduler::moveSlowRuns(TimePoint now)
{
    double lowestFree = std::numeric_limits<double>::max();
    for (const EngineState *engine : m_freeEngines) {
        lowestFree = std::min(lowestFree, secondsPerEventWithLoad(*engine));
    }
    std::vector<RunId> slow;
    for (const auto &[id, engine] : m_engines) {
        const double current =
            secondsPerEventWithLoad(engine) / (1 + m_options.slowdownPerRun); // as if this run were not counted
        if (unloadedSecondsPerEvent(engine) == 0 || current <= m_options.minSpeedupToMove * lowestFree) {
            continue;
        }
        for (const RunId run : engine.runs) {
            const Run &runState = m_runs.at(run);
            const BatchState *batch = findBatch(runState.key.batch);
            const ItemState *item = findItem(runState.key);
            const bool ranLongEnough = now - runState.startedAt
                >= (engine.reportsPace ? m_options.minPacedRunTimeBeforeMove : m_options.minRunTimeBeforeMove);
            if (item == nullptr || !item->source.hasContent || !ranLongEnough
                || runState.events < m_options.minEventsBeforeMove) {
                continue;
            }
            const EngineState *other = bestEngine(*batch, *item, TextUse::Continue, now);
            if (other != nullptr && shouldMove(runState, *batch, *item, current, *other)) {
                slow.push_back(run);
            }
        }
    }
    for (const RunId run : slow) {
        cancel(run, CancelCause::FasterEngine);
        assign(now);
    }
}

bool SampleScheduler::shouldMove(
    const Run &run, const BatchState &batch, const ItemState &item, double here, const EngineState &other) const
{
    if (m_options.gate != nullptr && m_options.gate->limits(processOf(other))) {
        return false; // another item could use the place there
    }
    const double there = secondsPerEventWithLoad(other);
    if (!m_engines.at(run.engine).reportsPace) {
        return here > m_options.minSpeedupToMove * there;
    }
    return movePays({.remainingEvents = remainingEvents(batch, item),
                     .here = here,
                     .there = there,
                     .startSeconds = m_startSeconds.value()},
                    m_options.minPacedSpeedupToMove);
}

double SampleScheduler::remainingEvents(const BatchState &batch, const ItemState &item) const
{
    const auto statistics = m_modelStatistics.find(batch.model);
    if (statistics == m_modelStatistics.end() || statistics->second.eventsPerText <= 0) {
        return 0;
    }
    const ModelStatistics &known = statistics->second;
    const bool estimated = item.item.expectedOutput > 0 && known.eventsPerExpectedToken > 0;
    const double expected = estimated ? known.eventsPerExpectedToken * item.item.expectedOutput : known.eventsPerText;
    return std::max(1.0, expected - static_cast<double>(item.lastEvent));
}

void SampleScheduler::recordTextLength(const BatchState &batch, const ItemState &item)
{
    ModelStatistics &statistics = m_modelStatistics[batch.model];
    const auto smooth = [](double &mean, double value) {
        mean += mean == 0 ? value : TextLengthSmoothing * (value - mean);
    };
    smooth(statistics.eventsPerText, static_cast<double>(item.lastEvent));
    if (item.item.expectedOutput > 0) {
        smooth(statistics.eventsPerExpectedToken, static_cast<double>(item.lastEvent) / item.item.expectedOutput);
    }
}

void SampleScheduler::backOff(EngineState &engine, TimePoint now)
{
    constexpr std::uint32_t MaxDoublings = 8;
    const Duration backoff = m_options.initialBackoff * (1U << std::min(engine.consecutiveLosses, MaxDoublings));
    ++engine.consecutiveLosses;
    engine.notBefore = now + std::min(backoff, m_options.maxBackoff);
}

} // namespace bergamot::dispatch
