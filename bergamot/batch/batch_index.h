#pragma once

// What an instance knows of every batch without holding its texts: a fold over the batch log. The log's order decides:
// the first complete submission of a batch counts, and the first result of an item takes the next position, so every
// instance gives the same answer at the same offset.
//
//     BatchIndex index;
//     for (const std::string &record : records) { index.apply(offset++, *parseRecord(record), now); }
//     if (const BatchEntry *entry = index.find(id)) { entry->results[position].offset; }

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/batch/batch.h"

namespace bergamot::batch
{

struct ListedResult
{
    std::uint32_t item = 0;
    std::uint64_t offset = 0; // of its record in the log
};

struct BatchEntry
{
    std::uint32_t totalItems = 0;
    std::vector<std::uint64_t> partOffsets; // of the records that accepted it
    std::vector<ListedResult> results; // by position
    std::vector<bool> listed; // by item
    std::map<std::uint32_t, std::vector<std::uint64_t>> progress; // offsets by item, of items without a result
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
    Duration keepEndedFor = std::chrono::seconds(120);
};

class BatchIndex
{
public:
    explicit BatchIndex(BatchIndexOptions options = {})
        : m_options(options)
    { }

    BatchChange apply(std::uint64_t offset, const log::Record &record, TimePoint now);
    const BatchEntry *find(const std::string &batch) const;
    const std::map<std::string, BatchEntry> &batches() const
    {
        return m_batches;
    }
    /// Forgets batches that nobody may ask for any more.
    void expire(TimePoint now);

private:
    struct Submission
    {
        std::map<std::uint32_t, std::uint64_t> offsets; // of its parts that have been seen
        TimePoint seenAt{};
    };

    BatchChange applyPart(std::uint64_t offset, const log::BatchPart &part, TimePoint now);
    BatchChange applyResult(std::uint64_t offset, const log::ItemResult &result);
    void applyProgress(std::uint64_t offset, const log::ItemProgress &progress);

    BatchIndexOptions m_options;
    std::map<std::string, BatchEntry> m_batches;
    std::map<std::pair<std::string, std::uint64_t>, Submission> m_incomplete; // by batch and submission
};

} // namespace bergamot::batch
