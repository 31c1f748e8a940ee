// Batches that the owner of the pool takes up, and the contents of their items, which it reads as they are needed.

#include "bergamot/node/engine_pool.h"

#include "bergamot/node/store_events.h"

namespace bergamot::node
{

namespace
{

constexpr std::size_t MaxTakes = 4; // batches that are read at a time
constexpr std::size_t PartsPerRead = 8; // records of a batch that are read at a time

/// The items of a part of a batch; nothing if the record is unreadable.
std::optional<std::vector<batch::Item>> itemsOf(const LogRecord &payload)
{
    const batch::log::Record *record = batch::parseRecord(payload.bytes);
    const batch::log::BatchPart *part = record == nullptr ? nullptr : record->payload_as_BatchPart();
    if (part == nullptr || part->items() == nullptr) {
        return std::nullopt;
    }
    std::vector<batch::Item> items;
    for (const batch::log::Item *item : *part->items()) {
        items.push_back(batch::toItem(*item));
    }
    return items;
}

} // namespace

/// A batch whose items are being read.
struct EnginePool::Take
{
    batch::Batch batch;
    std::vector<dispatch::ItemSource> sources;
    std::size_t partsRead = 0;
    std::size_t contentBytes = 0; // of the items that have their content
};

void EnginePool::takeUp(const std::string &batch)
{
    m_waitingBatches.push_back({.id = batch});
    takeUpWaiting();
}

void EnginePool::takeUpWaiting()
{
    while (m_takes.size() < MaxTakes && !m_waitingBatches.empty()) {
        WaitingBatch &next = m_waitingBatches.front();
        const batch::BatchEntry *entry = m_log.index().find(next.id);
        if (entry == nullptr || entry->ended) {
            m_waitingBatches.pop_front();
            continue;
        }
        std::size_t items = entry->totalItems;
        for (const auto &[id, take] : m_takes) {
            const batch::BatchEntry *other = m_log.index().find(id);
            items += other == nullptr ? 0 : other->totalItems;
        }
        if (!m_scheduler.hasRoomForBatch(items)) {
            if (!std::exchange(next.deferred, true)) {
                m_eventLog.write(EventKind::State,
                                 "batch-deferred",
                                 {{"batch", next.id},
                                  {"items", std::to_string(entry->totalItems)},
                                  {"waiting_batches", std::to_string(m_waitingBatches.size())},
                                  {"entry_bytes", std::to_string(m_scheduler.memory().entries)}});
            }
            return;
        }
        const auto take = std::make_shared<Take>();
        take->batch = {.id = next.id,
                       .host = entry->host,
                       .path = entry->path,
                       .step = entry->step,
                       .model = entry->model,
                       .minVersion = entry->minVersion,
                       .wantedGroups = entry->wantedGroups};
        m_takes[next.id] = take;
        m_waitingBatches.pop_front();
        readNextParts(take);
    }
}

void EnginePool::readNextParts(const std::shared_ptr<Take> &take)
{
    const batch::BatchEntry *entry = m_log.index().find(take->batch.id);
    if (entry == nullptr || entry->ended) {
        endTake(take->batch.id);
        return;
    }
    const std::size_t last = std::min(entry->parts.size(), take->partsRead + PartsPerRead);
    std::vector<std::uint64_t> offsets(entry->parts.begin() + static_cast<std::ptrdiff_t>(take->partsRead),
                                       entry->parts.begin() + static_cast<std::ptrdiff_t>(last));
    m_log.readPayloads(entry->partition,
                       std::move(offsets),
                       [this, take, generation = m_generation](bool complete, std::vector<LogRecord> records) {
                           if (generation == m_generation) {
                               handleParts(take, complete, std::move(records));
                           }
                       });
}

void EnginePool::handleParts(const std::shared_ptr<Take> &take, bool complete, std::vector<LogRecord> records)
{
    const std::string &batch = take->batch.id;
    const batch::BatchEntry *entry = m_log.index().find(batch);
    if (entry == nullptr || entry->ended) {
        endTake(batch);
        return;
    }
    for (LogRecord &payload : records) {
        std::optional<std::vector<batch::Item>> items = itemsOf(payload);
        if (!items) {
            // Without its items, later ones would get the positions of others.
            m_eventLog.write(EventKind::State,
                             "batch-record-unreadable",
                             {{"batch", batch}, {"offset", std::to_string(payload.offset)}});
            endTake(batch);
            return;
        }
        std::string().swap(payload.bytes); // its copies are in the items
        addPart(*take, std::move(*items));
    }
    if (!complete) {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, m_options.retryPause);
        timer->async_wait([this, take, generation = m_generation, timer](const boost::system::error_code &) {
            if (generation == m_generation) {
                readNextParts(take);
            }
        });
    } else if (take->partsRead < entry->parts.size()) {
        readNextParts(take);
    } else if (take->batch.items.empty()) {
        endTake(batch);
    } else {
        m_eventLog.write(EventKind::State,
                         "batch-taken-up",
                         {{"batch", batch},
                          {"step", std::to_string(take->batch.step)},
                          {"items", std::to_string(take->batch.items.size())},
                          {"listed", std::to_string(entry->results.size())},
                          {"min_version", std::to_string(take->batch.minVersion)},
                          {"content_bytes", std::to_string(take->contentBytes)}});
        restoreProgress(take);
    }
}

void EnginePool::addPart(Take &take, std::vector<batch::Item> items)
{
    const auto part = static_cast<std::uint32_t>(take.partsRead++);
    for (batch::Item &item : items) {
        const std::size_t bytes = batch::contentBytes(item);
        std::size_t beside = bytes;
        for (const auto &[id, other] : m_takes) {
            beside += other->contentBytes;
        }
        const bool keeps = m_scheduler.hasRoomForContent(beside);
        take.contentBytes += keeps ? bytes : 0;
        if (!keeps) {
            batch::dropContent(item);
        }
        take.sources.push_back({.part = part, .contentBytes = static_cast<std::uint32_t>(bytes), .hasContent = keeps});
        take.batch.items.push_back(std::move(item));
    }
}

void EnginePool::endTake(const std::string &batch)
{
    m_takes.erase(std::string(batch)); // `batch` may be part of it
    takeUpWaiting();
}

void EnginePool::restoreProgress(const std::shared_ptr<Take> &take)
{
    const batch::BatchEntry *entry = m_log.index().find(take->batch.id);
    std::vector<std::uint64_t> offsets;
    for (const auto &[item, saved] : entry->savedProgress) {
        offsets.insert(offsets.end(), saved.begin(), saved.end());
    }
    std::sort(offsets.begin(), offsets.end());
    const auto addTaken = [this, take, generation = m_generation](bool complete,
                                                                  const std::vector<LogRecord> &records) {
        if (generation == m_generation) {
            addTakenBatch(*take, complete, records);
            endTake(take->batch.id);
        }
    };
    if (offsets.empty()) {
        addTaken(true, {});
        return;
    }
    m_log.readPayloads(entry->partition, std::move(offsets), addTaken);
}

void EnginePool::addTakenBatch(Take &take, bool progressComplete, const std::vector<LogRecord> &progress)
{
    const std::string batch = take.batch.id;
    const batch::BatchEntry *entry = m_log.index().find(batch);
    if (entry == nullptr || entry->ended) {
        return;
    }
    if (!progressComplete) {
        m_eventLog.write(EventKind::State, "progress-unreadable", {{"batch", batch}});
    }
    BatchRoutes &routes = m_routes[batch];
    routes.origin = {.host = take.batch.host, .path = take.batch.path};
    m_scheduler.holdStarts();
    take.contentBytes = 0; // the scheduler counts it from now on
    m_scheduler.addBatch(std::exchange(take.batch, {.id = batch}),
                         entry->committed,
                         itemPolicies(m_view.configuration(), routes.origin),
                         BootClock::now(),
                         take.sources);
    updateAbsences(batch, routes);
    for (const LogRecord &payload : progress) {
        const batch::log::Record *record = batch::parseRecord(payload.bytes);
        if (record != nullptr && record->payload_as_ItemProgress() != nullptr) {
            m_scheduler.restoreProgress(batch::toProgress(*record->payload_as_ItemProgress()));
        }
    }
    m_scheduler.releaseStarts(BootClock::now());
    performActions();
}

void EnginePool::readContents(const dispatch::ReadContents &action)
{
    const batch::BatchEntry *entry = m_log.index().find(action.batch);
    std::vector<std::uint64_t> offsets;
    for (const std::uint32_t part : action.parts) {
        offsets.push_back(entry == nullptr ? 0 : entry->parts.at(part));
    }
    if (entry == nullptr) {
        handleContents(action, {});
        return;
    }
    m_log.readPayloads(entry->partition,
                       std::move(offsets),
                       [this, action, generation = m_generation](bool, const std::vector<LogRecord> &records) {
                           if (generation == m_generation) {
                               handleContents(action, records);
                           }
                       });
}

void EnginePool::handleContents(const dispatch::ReadContents &action, const std::vector<LogRecord> &records)
{
    const TimePoint now = BootClock::now();
    std::size_t bytes = 0;
    for (std::size_t index = 0; index < action.parts.size(); ++index) {
        std::optional<std::vector<batch::Item>> items;
        if (index < records.size()) { // a read that fails has the first ones
            bytes += records[index].bytes.size();
            items = itemsOf(records[index]);
        }
        if (items) {
            m_scheduler.contentsRead(action.batch, action.parts[index], std::move(*items), now);
        } else {
            m_scheduler.contentsUnreadable(action.batch, action.parts[index], now);
        }
    }
    m_eventLog.write(EventKind::State,
                     records.size() == action.parts.size() ? "contents-read" : "contents-unreadable",
                     {{"batch", action.batch},
                      {"parts", std::to_string(action.parts.size())},
                      {"records", std::to_string(records.size())},
                      {"bytes", std::to_string(bytes)},
                      {"content_bytes", std::to_string(m_scheduler.memory().contents)}});
    performActions();
}

void EnginePool::updateAbsences(const std::string &batch, BatchRoutes &routes)
{
    std::map<std::uint32_t, fleet::RouteAbsence> absences;
    if (m_view.configuration().version() != 0) {
        for (const std::uint32_t item : m_scheduler.itemsWithoutPolicy(batch)) {
            const auto known = routes.absences.find(item);
            absences.emplace(
                item, known == routes.absences.end() ? fleet::RouteAbsence(m_options.routeAbsence) : known->second);
        }
    }
    if (absences.size() != routes.absences.size()) {
        m_eventLog.write(EventKind::State,
                         "items-without-route",
                         {{"batch", batch},
                          {"items", std::to_string(absences.size())},
                          {"before", std::to_string(routes.absences.size())},
                          {"version", std::to_string(m_view.configuration().version())}});
    }
    routes.absences = std::move(absences);
}

} // namespace bergamot::node
