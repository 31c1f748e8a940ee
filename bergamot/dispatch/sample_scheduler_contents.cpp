// Which contents of items stay in memory, and which are read again.

#include <algorithm>

#include "bergamot/dispatch/sample_scheduler.h"

namespace bergamot::dispatch
{

namespace
{

constexpr std::size_t EntryBytes = 768; // of an open item without its content
constexpr double LeastContentsShare = 0.25; // of the memory, that contents get at least
constexpr double MostEntriesShare = 0.67; // that entries get at most, so that contents and texts have room
constexpr double MostTextsShare = 0.25; // the same for texts and results; above it, no run starts
constexpr std::size_t ScoringPart = 2; // the contents of items that have their text get half of the room for contents,
constexpr std::size_t RunningPart = 4; // those of items that run a quarter

} // namespace

/// Memory that contents share.
class SampleScheduler::Room
{
public:
    explicit Room(std::size_t bytes, bool fitsOne = false)
        : m_bytes(bytes)
        , m_fitsOne(fitsOne)
    { }

    /// Takes the bytes if they fit; the first ones always do if `fitsOne`, so that there is progress.
    bool take(std::size_t bytes)
    {
        if (bytes > m_bytes - std::min(m_bytes, m_used) && !m_fitsOne) {
            return false;
        }
        m_fitsOne = false;
        m_used += bytes;
        return true;
    }

    std::size_t used() const
    {
        return m_used;
    }

private:
    std::size_t m_bytes;
    bool m_fitsOne;
    std::size_t m_used = 0;
};

const SchedulerMemory &SampleScheduler::memory() const
{
    return m_memory;
}

bool SampleScheduler::startsHeldForTexts() const
{
    return m_startsHeldForTexts;
}

void SampleScheduler::setUnwrittenBytes(std::size_t bytes)
{
    m_unwrittenBytes = bytes;
}

bool SampleScheduler::hasRoomForContent(std::size_t bytes) const
{
    return bytes <= contentRoom() && m_memory.contents <= contentRoom() - bytes;
}

bool SampleScheduler::hasRoomForBatch(std::size_t items) const
{
    return m_batches.empty() || items * EntryBytes + m_memory.entries <= partOfMemory(MostEntriesShare);
}

std::size_t SampleScheduler::partOfMemory(double part) const
{
    return m_options.maxBytes == std::numeric_limits<std::size_t>::max()
        ? m_options.maxBytes
        : static_cast<std::size_t>(static_cast<double>(m_options.maxBytes) * part);
}

std::size_t SampleScheduler::contentRoom() const
{
    const std::size_t others = m_memory.entries + m_memory.texts;
    const std::size_t left = m_options.maxBytes - std::min(m_options.maxBytes, others);
    return std::max(left, partOfMemory(LeastContentsShare));
}

void SampleScheduler::updateMemory()
{
    m_memory = {.texts = m_unwrittenBytes};
    for (const auto &[id, batch] : m_batches) {
        m_memory.entries += batch.openItems * EntryBytes;
        for (const ItemState &item : batch.items) {
            m_memory.contents += item.source.hasContent && item.stage != Stage::Done ? item.source.contentBytes : 0;
            m_memory.texts += item.text.size();
        }
    }
    m_startsHeldForTexts = m_memory.texts > partOfMemory(MostTextsShare);
}

void SampleScheduler::reviewContents(TimePoint now)
{
    const bool allInMemory = std::all_of(m_batches.begin(), m_batches.end(), [](const auto &entry) {
        return entry.second.waitingWithoutContent.empty() && entry.second.awaitingScoreWithoutContent.empty();
    });
    if (now < m_nextContentReview || (allInMemory && m_memory.contents <= contentRoom())) {
        return;
    }
    m_nextContentReview = now + m_options.contentReviewInterval;
    markWantedContents(now);
    dropUnwantedContents();
    readWantedContents(now);
}

void SampleScheduler::markWantedScorings(BatchState &batch, Room &room)
{
    std::vector<std::uint32_t> positions;
    std::merge(batch.awaitingScore.begin(),
               batch.awaitingScore.end(),
               batch.awaitingScoreWithoutContent.begin(),
               batch.awaitingScoreWithoutContent.end(),
               std::back_inserter(positions));
    for (const std::uint32_t position : positions) {
        ItemState &item = batch.items[batch.startOrder[position]];
        item.wanted = room.take(item.source.contentBytes);
    }
}

void SampleScheduler::markWantedContents(TimePoint now)
{
    using Demand = std::pair<std::string, std::vector<std::string>>; // model and services
    std::map<Demand, Room> rooms;
    const std::vector<BatchState *> batches = batchesByUrgency(now, [](const BatchState &) {
        return true;
    });
    const std::size_t room = contentRoom();
    Room scoringRoom(room / ScoringPart, true);
    Room runningRoom(room / RunningPart);
    for (BatchState *batch : batches) {
        for (ItemState &item : batch->items) {
            const bool calls = item.stage == Stage::Running || item.stage == Stage::Scoring;
            item.wanted = calls && item.source.hasContent && runningRoom.take(item.source.contentBytes);
        }
        markWantedScorings(*batch, scoringRoom);
        for (const ItemPolicy &policy : batch->policies) {
            rooms.try_emplace({batch->model, policy.services}, Room(0));
        }
    }
    const std::size_t left = room - std::min(room, scoringRoom.used() + runningRoom.used());
    for (auto &[demand, share] : rooms) {
        share = Room(left / rooms.size(), true); // the engines of each have work
    }
    for (BatchState *batch : batches) {
        std::vector<Room *> shares; // by policy
        for (const ItemPolicy &policy : batch->policies) {
            shares.push_back(&rooms.at({batch->model, policy.services}));
        }
        std::vector<bool> full(shares.size());
        auto here = batch->waiting.begin();
        auto stored = batch->waitingWithoutContent.begin();
        while (std::find(full.begin(), full.end(), false) != full.end()
               && (here != batch->waiting.end() || stored != batch->waitingWithoutContent.end())) {
            const bool isHere =
                stored == batch->waitingWithoutContent.end() || (here != batch->waiting.end() && *here < *stored);
            ItemState &item = batch->items[batch->startOrder[isHere ? *here++ : *stored++]];
            if (item.policy != NoPolicy && !full[item.policy]) {
                item.wanted = shares[item.policy]->take(item.source.contentBytes);
                full[item.policy] = !item.wanted;
            }
        }
    }
}

void SampleScheduler::dropUnwantedContents()
{
    std::size_t wantedBytes = 0;
    for (const auto &[id, batch] : m_batches) {
        for (const ItemState &item : batch.items) {
            wantedBytes += item.wanted ? item.source.contentBytes : 0;
        }
    }
    Room spare(contentRoom() - std::min(contentRoom(), wantedBytes));
    for (auto &[id, batch] : m_batches) {
        for (ItemState &item : batch.items) {
            if (!item.wanted && item.source.hasContent && item.stage != Stage::Done
                && !spare.take(item.source.contentBytes)) {
                dropContent(batch, item);
            }
        }
    }
}

void SampleScheduler::dropContent(BatchState &batch, ItemState &item)
{
    if (!std::exchange(item.source.hasContent, false)) {
        return;
    }
    m_memory.contents -= std::min<std::size_t>(m_memory.contents, item.source.contentBytes);
    batch::dropContent(item.item);
    setStage(batch, item, item.stage);
}

void SampleScheduler::readWantedContents(TimePoint now)
{
    if (now < m_nextContentRead) {
        return;
    }
    std::size_t inFlight = 0;
    for (const auto &[id, batch] : m_batches) {
        inFlight += batch.partsInFlight.size();
    }
    for (BatchState *batch : batchesByUrgency(now, [](const BatchState &candidate) {
             return !candidate.waitingWithoutContent.empty() || !candidate.awaitingScoreWithoutContent.empty();
         })) {
        std::set<std::uint32_t> parts;
        for (const auto *positions : {&batch->awaitingScoreWithoutContent, &batch->waitingWithoutContent}) {
            for (const std::uint32_t position : *positions) {
                const ItemState &item = batch->items[batch->startOrder[position]];
                const bool reads = item.wanted && !batch->partsInFlight.contains(item.source.part);
                if (reads && (parts.contains(item.source.part) || inFlight < m_options.maxPartsInFlight)) {
                    inFlight += parts.insert(item.source.part).second ? 1 : 0;
                }
            }
        }
        if (!parts.empty()) {
            batch->partsInFlight.insert(parts.begin(), parts.end());
            m_actions.emplace_back(ReadContents{.batch = batch->id, .parts = {parts.begin(), parts.end()}});
        }
    }
}

void SampleScheduler::contentsRead(const std::string &batch,
                                   std::uint32_t part,
                                   std::vector<batch::Item> items,
                                   TimePoint now)
{
    BatchState *state = findBatch(batch);
    if (state == nullptr || state->partsInFlight.erase(part) == 0) {
        return;
    }
    const std::size_t first = state->firstItemOfPart.at(part);
    for (std::size_t index = 0; index < items.size() && first + index < state->items.size(); ++index) {
        ItemState &item = state->items[first + index];
        const bool needed = item.stage == Stage::Waiting || item.stage == Stage::AwaitingScore;
        if (item.source.hasContent || !needed || (!item.wanted && !hasRoomForContent(item.source.contentBytes))) {
            continue;
        }
        batch::takeContent(item.item, std::move(items[index]));
        item.source.hasContent = true;
        m_memory.contents += item.source.contentBytes;
        setStage(*state, item, item.stage);
    }
    m_nextContentReview = now;
    assign(now);
}

void SampleScheduler::contentsUnreadable(const std::string &batch, std::uint32_t part, TimePoint now)
{
    if (BatchState *state = findBatch(batch)) {
        state->partsInFlight.erase(part);
        m_nextContentRead = now + m_options.contentRetryDelay;
    }
}

} // namespace bergamot::dispatch
