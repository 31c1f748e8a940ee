#pragma once

// Snapshot of what an instance has folded from the batch log: the index of batches, the ownership of the engine
// pool and the requests that may crash endpoints. An instance that starts loads the newest snapshot and reads only the
// records after it, so a restart costs the same however long the log is.
//
//     std::vector<std::string> parts = snapshotParts(header, index.batches(), {.maxPartBytes = 200000}, now);
//     Result<LogSnapshot> snapshot = parseSnapshot(parts, now);
//
// Load pattern: all instances restart at once while the log holds minutes of records; most of them are saved progress
// of items that have a result by now, which a snapshot leaves out.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/base/error.h"
#include "bergamot/batch/batch_index.h"
#include "bergamot/batch/stream_origins.h"

namespace bergamot::batch
{

struct SnapshotHeader
{
    std::uint64_t nextOffset = 0; // the snapshot contains the records of the log before this offset
    std::uint64_t epoch = 0; // highest epoch of a claim
    std::string owner; // empty: the pool had no owner
    std::string ownerAddress; // from its claim; may be empty
    std::map<std::string, std::uint64_t> recentOrders; // epoch of the newest load order, by engine
    std::vector<CrashReport> suspects; // requests under which endpoints crashed
    std::vector<quota::LimitReport> limits; // that endpoints have named
    StreamOriginsState streams;
    std::vector<KnownInstance> instances;
    usage::WindowCounts usage; // reports of the newest windows
};

struct LogSnapshot
{
    SnapshotHeader header;
    std::map<std::string, BatchEntry> batches;
};

struct SnapshotOptions
{
    std::size_t maxPartBytes = 200 * 1024; // a part has to fit into a record of the store
};

/// Serializes a snapshot into parts, in order.
std::vector<std::string> snapshotParts(const SnapshotHeader &header,
                                       const std::map<std::string, BatchEntry> &batches,
                                       const SnapshotOptions &options,
                                       TimePoint now);

/// Restores a snapshot from its parts; further parts, left over from a larger snapshot, are ignored. Times of
/// acceptance are counted back from `now`. Fails with `InvalidArgument` if a part is missing, belongs to another
/// snapshot, is damaged, or has a format that this program does not know.
Result<LogSnapshot> parseSnapshot(const std::vector<std::string> &parts, TimePoint now);

} // namespace bergamot::batch
