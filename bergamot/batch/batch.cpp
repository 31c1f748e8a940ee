#include "bergamot/batch/batch.h"

namespace bergamot::batch
{

namespace
{

constexpr std::size_t ItemOverhead = 256; // bound on the table and length fields around the bytes of an item
constexpr std::size_t PartOverhead = 1024; // bound on those around the items of a part
constexpr std::size_t TargetPartBytes =
    std::size_t{64} * 1024; // small parts limit the memory that looking up one item takes

std::size_t maxSerializedSize(const Item &item)
{
    std::size_t size = ItemOverhead + item.id.size() + item.path.size() + item.body.size() + item.group.size();
    for (const ItemHeader &header : item.headers) {
        size += header.name.size() + header.value.size() + 32;
    }
    if (item.scoring) {
        size += item.scoring->id.size() + item.scoring->host.size() + item.scoring->path.size()
            + item.scoring->body.size() + 64;
    }
    return size;
}

std::unique_ptr<log::ItemT> toRecord(const Item &item)
{
    auto record = std::make_unique<log::ItemT>();
    record->id = item.id;
    record->path = item.path;
    record->body = item.body;
    record->tokens = item.maxTotalTokens;
    record->group = item.group;
    record->expected_output = item.expectedOutput;
    for (const ItemHeader &header : item.headers) {
        auto field = std::make_unique<log::HeaderFieldT>();
        field->name = header.name;
        field->value = header.value;
        record->headers.push_back(std::move(field));
    }
    if (item.scoring) {
        record->scoring = std::make_unique<log::ScoringCallT>();
        record->scoring->id = item.scoring->id;
        record->scoring->host = item.scoring->host;
        record->scoring->path = item.scoring->path;
        record->scoring->body = item.scoring->body;
    }
    return record;
}

template<typename Payload>
std::string serializeRecord(Payload payload)
{
    log::RecordT record;
    record.payload.Set(std::move(payload));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(log::Record::Pack(builder, &record));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

} // namespace

Result<std::vector<std::string>> batchPartRecords(const Batch &batch, const RecordLimits &limits)
{
    const std::size_t partLimit = std::min(TargetPartBytes, limits.maxRecordBytes);
    std::vector<std::string> records;
    log::BatchPartT part;
    std::size_t size = PartOverhead;
    const auto finishPart = [&] {
        part.batch = batch.id;
        records.push_back(serializeRecord(std::move(part)));
        part = {};
        size = PartOverhead;
    };
    for (const Item &item : batch.items) {
        const std::size_t itemSize = maxSerializedSize(item);
        if (itemSize + PartOverhead > limits.maxRecordBytes) {
            return failure(ErrorCode::InvalidArgument, "item " + item.id + " is larger than a record of the log");
        }
        if (!part.items.empty() && size + itemSize > partLimit) {
            finishPart();
        }
        part.items.push_back(toRecord(item));
        size += itemSize;
    }
    finishPart();
    return records;
}

std::string batchAcceptedRecord(const Batch &batch, std::uint32_t partition, const std::vector<std::uint64_t> &parts)
{
    log::BatchAcceptedT record;
    record.batch = batch.id;
    record.host = batch.host;
    record.step = batch.step;
    record.model = batch.model;
    record.min_version = batch.minVersion;
    record.wanted_groups = batch.wantedGroups;
    record.total_items = static_cast<std::uint32_t>(batch.items.size());
    record.partition = partition;
    record.parts = parts;
    record.tenant = batch.tenant;
    record.path = batch.path;
    return serializeRecord(std::move(record));
}

std::string resultCommittedRecord(const std::string &batch, std::uint32_t item, std::uint64_t payload)
{
    log::ResultListedT record;
    record.batch = batch;
    record.item = item;
    record.payload = payload;
    return serializeRecord(std::move(record));
}

std::string progressSavedRecord(const std::string &batch, std::uint32_t item, std::uint64_t payload)
{
    log::ProgressSavedT record;
    record.batch = batch;
    record.item = item;
    record.payload = payload;
    return serializeRecord(std::move(record));
}

std::string resultRecord(const ItemResult &result)
{
    log::ItemResultT record;
    record.batch = result.batch;
    record.item = result.item;
    record.id = result.id;
    record.completed = result.completed;
    record.text = result.text;
    record.versions = result.versions;
    record.score = result.score;
    return serializeRecord(std::move(record));
}

std::string progressRecord(const ItemProgress &progress)
{
    log::ItemProgressT record;
    record.batch = progress.batch;
    record.item = progress.item;
    record.first_event = progress.firstEvent;
    record.last_event = progress.lastEvent;
    record.text = progress.text;
    record.versions = progress.versions;
    record.software_version = progress.softwareVersion;
    record.continued = progress.continued;
    return serializeRecord(std::move(record));
}

std::string batchEndRecord(const std::string &batch)
{
    log::BatchEndT record;
    record.batch = batch;
    return serializeRecord(std::move(record));
}

std::string claimRecord(const std::string &instance, std::uint64_t epoch, const std::string &address)
{
    log::ClaimT record;
    record.instance = instance;
    record.epoch = epoch;
    record.address = address;
    return serializeRecord(std::move(record));
}

std::string renewalRecord(std::uint64_t epoch)
{
    log::RenewalT record;
    record.epoch = epoch;
    return serializeRecord(record);
}

std::string releaseRecord(std::uint64_t epoch)
{
    log::ReleaseT record;
    record.epoch = epoch;
    return serializeRecord(record);
}

std::string
loadIntentRecord(std::uint64_t epoch, const std::string &engine, const std::string &model, std::uint64_t version)
{
    log::LoadIntentT record;
    record.epoch = epoch;
    record.engine = engine;
    record.model = model;
    record.version = version;
    return serializeRecord(std::move(record));
}

log::SuspectReportedT toRecord(const CrashReport &report)
{
    log::SuspectReportedT record;
    record.fingerprint = report.fingerprint;
    record.cleared = report.cleared;
    for (const CrashUnderRequest &crash : report.crashes) {
        auto entry = std::make_unique<log::CrashUnderRequestT>();
        entry->endpoint = crash.process.endpoint.value();
        entry->incarnation = crash.process.incarnation;
        entry->alone = crash.alone;
        record.crashes.push_back(std::move(entry));
    }
    return record;
}

std::string suspectRecord(const CrashReport &report)
{
    return serializeRecord(toRecord(report));
}

log::LimitReportedT toRecord(const quota::LimitReport &report)
{
    log::LimitReportedT record;
    record.endpoint = report.process.endpoint.value();
    record.incarnation = report.process.incarnation;
    record.per_second = report.perSecond.value_or(0);
    record.ended = !report.perSecond.has_value();
    return record;
}

std::string softwareRecord(const StreamOrigin &origin)
{
    log::SoftwareVersionSeenT record;
    record.service = origin.service;
    record.version = origin.softwareVersion;
    return serializeRecord(std::move(record));
}

std::string instanceRecord(const Instance &instance)
{
    return serializeRecord(toRecord(instance));
}

std::string streamsRecord(const std::vector<StreamReport> &reports)
{
    log::StreamsBeganT record;
    for (const StreamReport &report : reports) {
        record.groups.push_back(std::make_unique<log::BegunStreamsT>(toRecord(report)));
    }
    return serializeRecord(std::move(record));
}

log::UsageReportedT toRecord(const usage::UsageReport &report)
{
    log::UsageReportedT record;
    record.window = report.window;
    for (const auto &[tenant, count] : report.counts) {
        auto entry = std::make_unique<log::TenantUsageT>();
        entry->tenant = tenant;
        entry->count = count;
        record.counts.push_back(std::move(entry));
    }
    return record;
}

std::string outlooksRecord(const std::vector<cost::SharedOutlook> &outlooks)
{
    log::OutlooksSharedT record;
    for (const cost::SharedOutlook &shared : outlooks) {
        auto entry = std::make_unique<log::EndpointOutlookT>();
        entry->endpoint = shared.process.endpoint.value();
        entry->incarnation = shared.process.incarnation;
        entry->slowness = static_cast<float>(shared.outlook.slowness);
        entry->queued = static_cast<float>(shared.outlook.queued);
        record.endpoints.push_back(std::move(entry));
    }
    return serializeRecord(std::move(record));
}

std::vector<cost::SharedOutlook> toOutlooks(const log::OutlooksShared &record)
{
    std::vector<cost::SharedOutlook> outlooks;
    if (record.endpoints() != nullptr) {
        for (const log::EndpointOutlook *entry : *record.endpoints()) {
            outlooks.push_back({.process = {.endpoint = EndpointId(stringOrEmpty(entry->endpoint())),
                                            .incarnation = entry->incarnation()},
                                .outlook = {.slowness = entry->slowness(), .queued = entry->queued()}});
        }
    }
    return outlooks;
}

std::string usageRecord(const usage::UsageReport &report)
{
    return serializeRecord(toRecord(report));
}

std::string limitRecord(const quota::LimitReport &report)
{
    return serializeRecord(toRecord(report));
}

const log::Record *parseRecord(const std::string &bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (!log::VerifyRecordBuffer(verifier)) {
        return nullptr;
    }
    const log::Record *record = log::GetRecord(bytes.data());
    return record->payload() == nullptr ? nullptr : record;
}

std::string stringOrEmpty(const flatbuffers::String *field)
{
    return field == nullptr ? std::string() : field->str();
}

std::size_t contentBytes(const Item &item)
{
    std::size_t bytes = item.body.size() + (item.scoring ? item.scoring->body.size() : 0);
    for (const ItemHeader &header : item.headers) {
        bytes += sizeof(header) + header.name.size() + header.value.size();
    }
    return bytes;
}

void dropContent(Item &item)
{
    takeContent(item, {.scoring = ScoringCall()});
}

void takeContent(Item &item, Item whole)
{
    // Unlike an assignment, a swap leaves no memory behind in the item.
    item.headers.swap(whole.headers);
    item.body.swap(whole.body);
    if (item.scoring && whole.scoring) {
        item.scoring->body.swap(whole.scoring->body);
    }
}

Item toItem(const log::Item &record)
{
    Item item{.id = stringOrEmpty(record.id()),
              .path = stringOrEmpty(record.path()),
              .body = stringOrEmpty(record.body()),
              .maxTotalTokens = record.tokens(),
              .group = stringOrEmpty(record.group()),
              .expectedOutput = record.expected_output()};
    if (record.headers() != nullptr) {
        for (const log::HeaderField *field : *record.headers()) {
            item.headers.push_back({stringOrEmpty(field->name()), stringOrEmpty(field->value())});
        }
    }
    if (const log::ScoringCall *call = record.scoring()) {
        item.scoring = ScoringCall{stringOrEmpty(call->id()),
                                   stringOrEmpty(call->host()),
                                   stringOrEmpty(call->path()),
                                   stringOrEmpty(call->body())};
    }
    return item;
}

ItemResult toResult(const log::ItemResult &record)
{
    ItemResult result{.batch = stringOrEmpty(record.batch()),
                      .item = record.item(),
                      .id = stringOrEmpty(record.id()),
                      .completed = record.completed(),
                      .text = stringOrEmpty(record.text()),
                      .score = stringOrEmpty(record.score())};
    if (record.versions() != nullptr) {
        result.versions.assign(record.versions()->begin(), record.versions()->end());
    }
    return result;
}

ItemProgress toProgress(const log::ItemProgress &record)
{
    ItemProgress progress{.batch = stringOrEmpty(record.batch()),
                          .item = record.item(),
                          .firstEvent = record.first_event(),
                          .lastEvent = record.last_event(),
                          .text = stringOrEmpty(record.text()),
                          .versions = {},
                          .softwareVersion = stringOrEmpty(record.software_version()),
                          .continued = record.continued()};
    if (record.versions() != nullptr) {
        progress.versions.assign(record.versions()->begin(), record.versions()->end());
    }
    return progress;
}

CrashReport toCrashReport(const log::SuspectReported &record)
{
    CrashReport report{.fingerprint = record.fingerprint(), .crashes = {}, .cleared = record.cleared()};
    if (record.crashes() != nullptr) {
        for (const log::CrashUnderRequest *crash : *record.crashes()) {
            report.crashes.push_back({.process = {.endpoint = EndpointId(stringOrEmpty(crash->endpoint())),
                                                  .incarnation = crash->incarnation()},
                                      .alone = crash->alone()});
        }
    }
    return report;
}

StreamOrigin toStreamOrigin(const log::SoftwareVersionSeen &record)
{
    return {.service = stringOrEmpty(record.service()), .softwareVersion = stringOrEmpty(record.version())};
}

log::InstanceAnnouncedT toRecord(const Instance &instance)
{
    log::InstanceAnnouncedT record;
    record.instance = instance.name;
    record.zone = instance.zone;
    record.address = instance.address;
    record.reaches = instance.reaches;
    record.stopping = instance.stopping;
    return record;
}

Instance toInstance(const log::InstanceAnnounced &record)
{
    return {.name = stringOrEmpty(record.instance()),
            .zone = stringOrEmpty(record.zone()),
            .address = stringOrEmpty(record.address()),
            .reaches = record.reaches(),
            .stopping = record.stopping()};
}

log::BegunStreamsT toRecord(const StreamReport &report)
{
    log::BegunStreamsT record;
    record.service = report.origin.service;
    record.version = report.origin.softwareVersion;
    record.streams = report.streams;
    record.doubtful = report.doubtful;
    return record;
}

StreamReport toStreamReport(const log::BegunStreams &record)
{
    StreamReport report{
        .origin = {.service = stringOrEmpty(record.service()), .softwareVersion = stringOrEmpty(record.version())},
        .streams = {},
        .doubtful = record.doubtful()};
    if (record.streams() != nullptr) {
        report.streams.assign(record.streams()->begin(), record.streams()->end());
    }
    return report;
}

usage::UsageReport toUsageReport(const log::UsageReported &record)
{
    usage::UsageReport report{.window = record.window(), .counts = {}};
    if (record.counts() != nullptr) {
        for (const log::TenantUsage *entry : *record.counts()) {
            report.counts[stringOrEmpty(entry->tenant())] = entry->count();
        }
    }
    return report;
}

quota::LimitReport toLimitReport(const log::LimitReported &record)
{
    const bool named = !record.ended() && record.per_second() >= 0;
    return {.process = {.endpoint = EndpointId(stringOrEmpty(record.endpoint())), .incarnation = record.incarnation()},
            .perSecond = named ? std::optional(record.per_second()) : std::nullopt};
}

} // namespace bergamot::batch
