#pragma once

// What an instance knows of every batch without holding its texts: a fold over the batch log. The log's order decides:
// the first acceptance of a batch counts, and the first result of an item takes the next position, so every instance
// gives the same answer at the same offset.
//
//     BatchIndex index;
//     for (const std::string &record : records) { index.apply(*parseRecord(record), now); }
//     if (const BatchEntry *entry = index.find(id)) { entry->results[position].payload; }

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/batch/batch.h"

namespace bergamot::batch
{

struct ResultPlace
{
    std::uint32_t item = 0;
    std::uint64_t payload = 0; // its offset
};

struct BatchEntry
{
    std::string host;
    std::uint64_t step = 0;
    std::string model;
    std::uint64_t minVersion = 0;
    std::uint32_t wantedGroups = 0;
    std::uint32_t totalItems = 0;
    std::uint32_t partition = 0; // of its payloads
    std::vector<std::uint64_t> parts; // payloads with its items
    std::vector<ResultPlace> results; // by position
    std::vector<bool> listed; // by item
    std::map<std::uint32_t, std::vector<std::uint64_t>> progress; // payloads by item, of items without a result
    bool ended = false;
    TimePoint acceptedAt{}; // as this instance saw it
};

/// What a record changed.
enum class BatchChange {
    Nothing,
    Accepted,
    ResultListed,
    Ended,
};

struct BatchIndexOptions
{
    Duration keepFor = std::chrono::seconds(120); // results can be read for at least this long after the submission
};

class BatchIndex
{
public:
    explicit BatchIndex(BatchIndexOptions options = {})
        : m_options(options)
    { }

    BatchChange apply(const log::Record &record, TimePoint now);
    const BatchEntry *find(const std::string &batch) const;
    const std::map<std::string, BatchEntry> &batches() const
    {
        return m_batches;
    }
    /// Forgets batches that nobody may ask for any more.
    void expire(TimePoint now);

private:
    BatchChange applyAccepted(const log::BatchAccepted &accepted, TimePoint now);
    BatchChange applyListed(const log::ResultListed &listed);
    void applySaved(const log::ProgressSaved &saved);

    BatchIndexOptions m_options;
    std::map<std::string, BatchEntry> m_batches;
};

} // namespace bergamot::batch
