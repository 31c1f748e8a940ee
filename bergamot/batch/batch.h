#pragma once

// A batch of samples as a trainer submits it, and its records in the batch log.
//
//     Result<std::vector<std::string>> parts = batchPartRecords(batch, {.maxRecordBytes = 262144});
//     const log::Record *record = parseRecord(bytes);
//
// Texts and bodies are payloads: they are stored in separate partitions, which an instance reads only when it needs
// them. The batch log itself, which every instance follows, holds their offsets.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bergamot/base/crash_report.h"
#include "bergamot/base/error.h"
#include "bergamot/batch/generated/records_generated.h"
#include "bergamot/batch/instance_index.h"
#include "bergamot/batch/stream_origins.h"
#include "bergamot/cost/outlook_sharing.h"
#include "bergamot/quota/named_limits.h"
#include "bergamot/usage/usage_report.h"

namespace bergamot::batch
{

struct ItemHeader
{
    std::string name;
    std::string value;
};

/// The request that scores the generated text of an item.
struct ScoringCall
{
    std::string id;
    std::string host;
    std::string path;
    std::string body;
};

/// One sample to be generated.
struct Item
{
    std::string id;
    std::string path;
    std::vector<ItemHeader> headers;
    std::string body;
    std::uint32_t maxTotalTokens = 0; // of the prompt and the longest allowed output together
    std::string group; // samples of one prompt; a trainer uses only complete groups
    std::uint32_t expectedOutput = 0; // tokens, by the trainer's estimate; 0: not known
    std::optional<ScoringCall> scoring;
};

/// Bytes of the content of the item: what only its calls need, which is its headers, its body and the body of its
/// scoring call.
std::size_t contentBytes(const Item &item);
/// Drops the content and frees its memory.
void dropContent(Item &item);
/// Gives the item the content of `whole`, which is the same item with its content.
void takeContent(Item &item, Item whole);

/// The samples of one step.
struct Batch
{
    std::string id;
    std::string tenant; // empty: it belongs to none
    std::string host;
    std::string path; // to which it was submitted; empty: not known
    std::uint64_t step = 0;
    std::string model;
    std::uint64_t minVersion = 0; // oldest weight version that may generate its samples
    std::uint32_t wantedGroups = 0; // groups that the trainer waits for; 0: all
    std::vector<Item> items;
};

/// The outcome of an item.
struct ItemResult
{
    std::string batch;
    std::uint32_t item = 0; // index in the batch
    std::string id;
    bool completed = false; // false: the item was given up
    std::string text;
    std::vector<std::uint64_t> versions; // weight versions that generated the text
    std::string score;
};

/// Consecutive events of the incomplete text of an item.
struct ItemProgress
{
    std::string batch;
    std::uint32_t item = 0;
    std::uint64_t firstEvent = 0;
    std::uint64_t lastEvent = 0;
    std::string text; // data of these events
    std::vector<std::uint64_t> versions; // weight versions that generated the text so far
    std::string softwareVersion; // of the engines that generated the text; empty: not known
    bool continued = false; // the text before `firstEvent` was saved earlier
};

struct RecordLimits
{
    /// Size of the largest record that the store accepts.
    std::size_t maxRecordBytes = 256 * 1024;
};

/// Serializes the items of `batch`, in order, into payloads of at most `limits.maxRecordBytes`. Fails with
/// `InvalidArgument` if an item does not fit into a record.
Result<std::vector<std::string>> batchPartRecords(const Batch &batch, const RecordLimits &limits);
// Serialized payloads.
std::string resultRecord(const ItemResult &result);
std::string progressRecord(const ItemProgress &progress);
// Serialized records of the batch log. `payload` and `parts` are offsets in the partition of the batch.
std::string batchAcceptedRecord(const Batch &batch, std::uint32_t partition, const std::vector<std::uint64_t> &parts);
std::string resultCommittedRecord(const std::string &batch, std::uint32_t item, std::uint64_t payload);
std::string progressSavedRecord(const std::string &batch, std::uint32_t item, std::uint64_t payload);
std::string batchEndRecord(const std::string &batch);
std::string claimRecord(const std::string &instance, std::uint64_t epoch, const std::string &address = {});
std::string renewalRecord(std::uint64_t epoch);
std::string releaseRecord(std::uint64_t epoch);
std::string
loadIntentRecord(std::uint64_t epoch, const std::string &engine, const std::string &model, std::uint64_t version);

std::string suspectRecord(const CrashReport &report);
std::string limitRecord(const quota::LimitReport &report);
std::string softwareRecord(const StreamOrigin &origin);
std::string instanceRecord(const Instance &instance);
std::string outlooksRecord(const std::vector<cost::SharedOutlook> &outlooks);
std::string usageRecord(const usage::UsageReport &report);
std::string streamsRecord(const std::vector<StreamReport> &reports);

/// Verifies `bytes`; null if they are not a record of this log. The result points into `bytes`.
const log::Record *parseRecord(const std::string &bytes);

Item toItem(const log::Item &record);
ItemResult toResult(const log::ItemResult &record);
ItemProgress toProgress(const log::ItemProgress &record);
CrashReport toCrashReport(const log::SuspectReported &record);
log::SuspectReportedT toRecord(const CrashReport &report);
quota::LimitReport toLimitReport(const log::LimitReported &record);
StreamOrigin toStreamOrigin(const log::SoftwareVersionSeen &record);
log::InstanceAnnouncedT toRecord(const Instance &instance);
Instance toInstance(const log::InstanceAnnounced &record);
log::BegunStreamsT toRecord(const StreamReport &report);
StreamReport toStreamReport(const log::BegunStreams &record);
std::vector<cost::SharedOutlook> toOutlooks(const log::OutlooksShared &record);
log::UsageReportedT toRecord(const usage::UsageReport &report);
usage::UsageReport toUsageReport(const log::UsageReported &record);
log::LimitReportedT toRecord(const quota::LimitReport &report);

/// The string of an optional field; empty if it is absent.
std::string stringOrEmpty(const flatbuffers::String *field);

} // namespace bergamot::batch
