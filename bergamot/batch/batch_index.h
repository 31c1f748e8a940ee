#pragma once

// The state of every batch without its texts, built from the records of the batch log. The order of the log decides:
// the first acceptance of a batch counts, and the first result of an item takes the next position, so every instance
// has the same state at the same offset.
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

/// A committed result.
struct ResultLocation
{
    std::uint32_t item = 0; // index in the batch
    std::uint64_t payload = 0; // offset of the result in the partition of the batch
};

/// The state of one batch.
struct BatchEntry
{
    std::string tenant; // to which it belongs; empty: to none
    std::string host;
    std::string path; // to which it was submitted; empty: not known
    std::uint64_t step = 0;
    std::string model;
    std::uint64_t minVersion = 0;
    std::uint32_t wantedGroups = 0;
    std::uint32_t totalItems = 0;
    std::uint32_t partition = 0; // partition of its payloads
    std::vector<std::uint64_t> parts; // offsets of the payloads with its items
    std::vector<ResultLocation> results; // in the order in which they were committed
    std::vector<bool> committed; // whether a result is committed, by item
    std::map<std::uint32_t, std::vector<std::uint64_t>> savedProgress; // payloads by item, for items without a result
    bool ended = false;
    TimePoint acceptedAt{}; // when this instance read the acceptance
};

/// The effect of a record.
enum class BatchChange {
    Nothing,
    Accepted,
    ResultCommitted, // the first result of an item was committed
    Ended,
};

struct BatchIndexOptions
{
    Duration resultRetention = std::chrono::seconds(120); // time after the submission for which results stay readable
};

/// Not thread-safe.
class BatchIndex
{
public:
    explicit BatchIndex(BatchIndexOptions options = {})
        : m_options(options)
    { }

    /// Applies the next record of the log; `now` is the time at which it is read.
    BatchChange apply(const log::Record &record, TimePoint now);
    /// Null if the batch is unknown or was dropped.
    const BatchEntry *find(const std::string &batch) const;
    const std::map<std::string, BatchEntry> &batches() const
    {
        return m_batches;
    }
    /// Replaces the state by that of a snapshot.
    void restore(std::map<std::string, BatchEntry> batches)
    {
        m_batches = std::move(batches);
    }
    /// Drops batches whose results need not be readable any longer.
    void expire(TimePoint now);

private:
    BatchChange applyAccepted(const log::BatchAccepted &accepted, TimePoint now);
    BatchChange applyCommitted(const log::ResultListed &committed);
    void applySaved(const log::ProgressSaved &saved);

    BatchIndexOptions m_options;
    std::map<std::string, BatchEntry> m_batches;
};

} // namespace bergamot::batch
