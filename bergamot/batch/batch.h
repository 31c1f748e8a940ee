#pragma once

// A batch of samples as a trainer submits it, and the records that the batch log keeps of it.
//
//     Result<std::vector<std::string>> parts = partRecords(batch, {.recordBytes = 262144});
//     const log::Record *record = parseRecord(bytes);
//
// Texts and bodies are payloads: they lie in partitions of their own, which only those read who need them. The batch
// log itself, which every instance follows, holds their offsets.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bergamot/base/error.h"
#include "bergamot/batch/generated/records_generated.h"

namespace bergamot::batch
{

struct ItemHeader
{
    std::string name;
    std::string value;
};

/// The request that scores a text.
struct ScoringCall
{
    std::string id;
    std::string host;
    std::string path;
    std::string body;
};

/// One sample to be made.
struct Item
{
    std::string id;
    std::string path;
    std::vector<ItemHeader> headers;
    std::string body;
    std::uint32_t tokens = 0; // of the prompt and the longest output together
    std::string group; // samples of one prompt; a trainer needs whole groups
    std::uint32_t expectedOutput = 0; // tokens, by the trainer's estimate; 0: not known
    std::optional<ScoringCall> scoring;
};

struct Batch
{
    std::string id;
    std::string host;
    std::uint64_t step = 0;
    std::string model;
    std::uint64_t minVersion = 0; // of the weights that may make its samples
    std::uint32_t wantedGroups = 0; // groups that the trainer waits for
    std::vector<Item> items;
};

struct ItemResult
{
    std::string batch;
    std::uint32_t item = 0; // index in the batch
    std::string id;
    bool completed = false; // false: given up
    std::string text;
    std::vector<std::uint64_t> versions; // of the weights that made the text
    std::string score;
};

/// Some consecutive events of an item's text.
struct ItemProgress
{
    std::string batch;
    std::uint32_t item = 0;
    std::uint64_t firstEvent = 0;
    std::uint64_t lastEvent = 0;
    std::string text;
    std::vector<std::uint64_t> versions;
};

struct RecordLimits
{
    std::size_t recordBytes = 256 * 1024;
};

/// The items of `batch` as payloads, in order; an error if one item does not fit into a record.
Result<std::vector<std::string>> partRecords(const Batch &batch, const RecordLimits &limits);
std::string resultRecord(const ItemResult &result);
std::string progressRecord(const ItemProgress &progress);
std::string acceptedRecord(const Batch &batch, std::uint32_t partition, const std::vector<std::uint64_t> &parts);
std::string listedRecord(const std::string &batch, std::uint32_t item, std::uint64_t payload);
std::string savedRecord(const std::string &batch, std::uint32_t item, std::uint64_t payload);
std::string endRecord(const std::string &batch);
std::string claimRecord(const std::string &instance, std::uint64_t epoch);
std::string renewalRecord(std::uint64_t epoch);
std::string releaseRecord(std::uint64_t epoch);
std::string
loadIntentRecord(std::uint64_t epoch, const std::string &engine, const std::string &model, std::uint64_t version);

/// Checks the bytes; nothing if they are no record of this log. The view is valid as long as `bytes`.
const log::Record *parseRecord(const std::string &bytes);

Item toItem(const log::Item &record);
ItemResult toResult(const log::ItemResult &record);
ItemProgress toProgress(const log::ItemProgress &record);

/// The text of a field that may be absent.
std::string text(const flatbuffers::String *field);

} // namespace bergamot::batch
