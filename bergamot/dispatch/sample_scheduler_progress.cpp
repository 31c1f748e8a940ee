// Saves the progress of incomplete texts, and restores it at a new pool owner.

#include <algorithm>

#include "bergamot/dispatch/sample_scheduler.h"

namespace bergamot::dispatch
{

void SampleScheduler::addVersion(ItemState &item, std::uint64_t version)
{
    if (std::find(item.versions.begin(), item.versions.end(), version) == item.versions.end()) {
        item.versions.push_back(version);
    }
}

void SampleScheduler::restoreProgress(const batch::ItemProgress &progress)
{
    ItemState *item = findItem({progress.batch, progress.item});
    if (item == nullptr || item->stage != Stage::Waiting || progress.text.empty()) {
        return;
    }
    const bool follows = item->hasEvents && progress.firstEvent == item->lastEvent + 1
        && progress.softwareVersion == item->softwareVersion;
    if (progress.continued && !follows) {
        return; // the progress before it could not be read
    }
    if (!follows) {
        // The first events of the item, or of a run that restarted from the beginning.
        item->text = progress.text;
        item->versions = progress.versions;
        item->firstEvent = progress.firstEvent;
        item->softwareVersion = progress.softwareVersion;
    } else {
        item->text += '\n' + progress.text;
        for (const std::uint64_t version : progress.versions) {
            addVersion(*item, version);
        }
    }
    item->hasEvents = true;
    item->lastEvent = progress.lastEvent;
    item->savedEvent = progress.lastEvent;
    item->savedBytes = item->text.size();
}

void SampleScheduler::saveAllProgress()
{
    for (const auto &[run, runState] : m_runs) {
        if (ItemState *item = findItem(runState.key)) {
            saveItem(runState.key, *item);
        }
    }
}

void SampleScheduler::saveProgress(TimePoint now)
{
    for (const auto &[run, runState] : m_runs) {
        ItemState *item = findItem(runState.key);
        if (item == nullptr || now - std::max(runState.startedAt, item->savedAt) < m_options.saveInterval) {
            continue;
        }
        item->savedAt = now;
        saveItem(runState.key, *item);
    }
}

void SampleScheduler::saveItem(const ItemKey &key, ItemState &item)
{
    if (!item.hasEvents || item.lastEvent == item.savedEvent) {
        return;
    }
    const bool first = item.savedBytes == 0;
    SaveProgress action{.progress = {.batch = key.batch,
                                     .item = key.item,
                                     .firstEvent = first ? item.firstEvent : item.savedEvent + 1,
                                     .lastEvent = item.lastEvent,
                                     .text = item.text.substr(first ? 0 : item.savedBytes + 1),
                                     .versions = item.versions,
                                     .softwareVersion = item.softwareVersion,
                                     .continued = !first}};
    item.savedEvent = item.lastEvent;
    item.savedBytes = item.text.size();
    m_actions.emplace_back(std::move(action));
}

} // namespace bergamot::dispatch
