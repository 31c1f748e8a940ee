#pragma once

// The platform's append-only log: streams of records with offsets, which outlive every process of ours. Its limits:
// several hundred appends a second, records kept for a limited time, outages, answers lost after the effect.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "bergamot/base/error.h"
#include "bergamot/base/ids.h"

namespace bergamot
{

/// Names one record for good: an append whose answer was lost is sent again with the same id, and readers drop the
/// second copy.
struct RecordId
{
    std::string writer; // instance name
    std::uint64_t incarnation = 0; // differs for each start of the writer
    std::uint64_t sequence = 0; // rises by one within an incarnation

    auto operator<=>(const RecordId &) const = default;
};

struct Record
{
    RecordId id;
    std::string kind; // decides how the payload is read, for example "intent"
    std::string payload; // JSON

    bool operator==(const Record &) const = default;
};

struct StoredRecord
{
    Offset offset = 0;
    Record record;

    bool operator==(const StoredRecord &) const = default;
};

struct LogPage
{
    std::vector<StoredRecord> records; // by rising offset, contiguous from the offset asked for
    Offset firstRetained = 1;
    Offset end = 1; // the offset that the next record will get
};

/// Thread-safe. Errors: `Unavailable` (proved not appended), `Unknown` (may have been appended), `Overloaded` (over
/// the append limit, not appended), `Expired` (a read below `firstRetained`).
class Log
{
public:
    virtual ~Log() = default;

    /// Appends `batch` in order, as one append of the service's limit. The result is the offset of its first record.
    virtual void append(const std::string &stream,
                        std::vector<Record> batch,
                        std::chrono::milliseconds timeout,
                        Callback<Offset> done) = 0;

    /// Reads up to `limit` records from `from` on; an empty page if there are none yet.
    virtual void read(const std::string &stream,
                      Offset from,
                      std::size_t limit,
                      std::chrono::milliseconds timeout,
                      Callback<LogPage> done) = 0;
};

} // namespace bergamot
