#include "bergamot/batch/snapshot.h"

#include "bergamot/base/hash.h"
#include "bergamot/batch/generated/snapshot_generated.h"

namespace bergamot::batch
{

namespace
{

constexpr std::uint32_t Format = 1; // increases with each change that older programs would misread

log::SnapshotBatchT toRecord(const std::string &id, const BatchEntry &entry, TimePoint now)
{
    log::SnapshotBatchT record;
    record.batch = id;
    record.tenant = entry.tenant;
    record.host = entry.host;
    record.path = entry.path;
    record.step = entry.step;
    record.model = entry.model;
    record.min_version = entry.minVersion;
    record.wanted_groups = entry.wantedGroups;
    record.total_items = entry.totalItems;
    record.partition = entry.partition;
    record.parts = entry.parts;
    for (const ResultLocation &result : entry.results) {
        record.result_items.push_back(result.item);
        record.result_payloads.push_back(result.payload);
    }
    for (const auto &[item, payloads] : entry.savedProgress) {
        auto saved = std::make_unique<log::SavedProgressT>();
        saved->item = item;
        saved->payloads = payloads;
        record.saved.push_back(std::move(saved));
    }
    record.ended = entry.ended;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.acceptedAt);
    record.age_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count()));
    return record;
}

/// Returns nothing if the fields of the record contradict each other.
std::optional<BatchEntry> toEntry(const log::SnapshotBatch &record, TimePoint now)
{
    BatchEntry entry{.tenant = stringOrEmpty(record.tenant()),
                     .host = stringOrEmpty(record.host()),
                     .path = stringOrEmpty(record.path()),
                     .step = record.step(),
                     .model = stringOrEmpty(record.model()),
                     .minVersion = record.min_version(),
                     .wantedGroups = record.wanted_groups(),
                     .totalItems = record.total_items(),
                     .partition = record.partition(),
                     .ended = record.ended(),
                     .acceptedAt = now - std::chrono::milliseconds(record.age_ms())};
    if (record.parts() != nullptr) {
        entry.parts.assign(record.parts()->begin(), record.parts()->end());
    }
    entry.committed.resize(entry.totalItems);
    const flatbuffers::uoffset_t results = record.result_items() == nullptr ? 0 : record.result_items()->size();
    if (results != (record.result_payloads() == nullptr ? 0 : record.result_payloads()->size())) {
        return std::nullopt;
    }
    for (flatbuffers::uoffset_t index = 0; index < results; ++index) {
        const std::uint32_t item = record.result_items()->Get(index);
        if (item >= entry.totalItems || entry.committed[item]) {
            return std::nullopt;
        }
        entry.committed[item] = true;
        entry.results.push_back({.item = item, .payload = record.result_payloads()->Get(index)});
    }
    if (record.saved() == nullptr) {
        return entry;
    }
    for (const log::SavedProgress *saved : *record.saved()) {
        if (saved->item() >= entry.totalItems || saved->payloads() == nullptr) {
            return std::nullopt;
        }
        entry.savedProgress[saved->item()].assign(saved->payloads()->begin(), saved->payloads()->end());
    }
    return entry;
}

std::uint64_t toMilliseconds(Duration age)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

void addStreams(log::SnapshotT &snapshot, const StreamOriginsState &streams)
{
    for (const StreamOriginsState::Software &software : streams.software) {
        auto known = std::make_unique<log::KnownSoftwareT>();
        known->service = software.origin.service;
        known->version = software.origin.softwareVersion;
        known->age_ms = toMilliseconds(software.age);
        snapshot.software.push_back(std::move(known));
    }
    for (const StreamOriginsState::Streams &group : streams.streams) {
        auto known = std::make_unique<log::KnownStreamsT>();
        known->began = std::make_unique<log::BegunStreamsT>(toRecord(group.report));
        known->age_ms = toMilliseconds(group.age);
        snapshot.streams.push_back(std::move(known));
    }
}

StreamOriginsState toStreams(const log::Snapshot &record)
{
    StreamOriginsState streams;
    if (record.software() != nullptr) {
        for (const log::KnownSoftware *known : *record.software()) {
            streams.software.push_back({.origin = {.service = stringOrEmpty(known->service()),
                                                   .softwareVersion = stringOrEmpty(known->version())},
                                        .age = std::chrono::milliseconds(known->age_ms())});
        }
    }
    if (record.streams() != nullptr) {
        for (const log::KnownStreams *known : *record.streams()) {
            if (known->began() != nullptr) {
                streams.streams.push_back(
                    {.report = toStreamReport(*known->began()), .age = std::chrono::milliseconds(known->age_ms())});
            }
        }
    }
    return streams;
}

std::string serializePart(log::SnapshotPartT part)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(log::SnapshotPart::Pack(builder, &part));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

const log::SnapshotPart *parsePart(const std::string &bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    return log::VerifySnapshotPartBuffer(verifier) ? log::GetSnapshotPart(bytes.data()) : nullptr;
}

tl::unexpected<Error> unusable(std::string reason)
{
    return failure(ErrorCode::InvalidArgument, std::move(reason));
}

/// Joins the bytes of the parts of one snapshot.
Result<std::string> joinParts(const std::vector<std::string> &parts)
{
    const log::SnapshotPart *first = parts.empty() ? nullptr : parsePart(parts.front());
    if (first == nullptr) {
        return unusable("the first part is missing or malformed");
    }
    if (first->format() != Format) {
        return unusable("unknown format " + std::to_string(first->format()));
    }
    if (first->count() == 0 || first->count() > parts.size()) {
        return unusable("parts are missing");
    }
    std::string bytes;
    for (std::uint32_t index = 0; index < first->count(); ++index) {
        const log::SnapshotPart *part = parsePart(parts[index]);
        if (part == nullptr || part->bytes() == nullptr) {
            return unusable("part " + std::to_string(index) + " is malformed");
        }
        if (part->id() != first->id() || part->index() != index || part->checksum() != first->checksum()) {
            return unusable("part " + std::to_string(index) + " belongs to another snapshot");
        }
        bytes.append(reinterpret_cast<const char *>(part->bytes()->data()), part->bytes()->size());
    }
    if (stableHash(bytes) != first->checksum()) {
        return unusable("the checksum does not match");
    }
    return bytes;
}

} // namespace

std::vector<std::string> snapshotParts(const SnapshotHeader &header,
                                       const std::map<std::string, BatchEntry> &batches,
                                       const SnapshotOptions &options,
                                       TimePoint now)
{
    log::SnapshotT snapshot;
    snapshot.next_offset = header.nextOffset;
    snapshot.epoch = header.epoch;
    snapshot.owner = header.owner;
    snapshot.owner_address = header.ownerAddress;
    for (const auto &[engine, epoch] : header.recentOrders) {
        auto order = std::make_unique<log::RecentOrderT>();
        order->engine = engine;
        order->epoch = epoch;
        snapshot.orders.push_back(std::move(order));
    }
    for (const auto &[id, entry] : batches) {
        snapshot.batches.push_back(std::make_unique<log::SnapshotBatchT>(toRecord(id, entry, now)));
    }
    for (const CrashReport &suspect : header.suspects) {
        snapshot.suspects.push_back(std::make_unique<log::SuspectReportedT>(toRecord(suspect)));
    }
    for (const quota::LimitReport &limit : header.limits) {
        snapshot.limits.push_back(std::make_unique<log::LimitReportedT>(toRecord(limit)));
    }
    for (const auto &[window, counts] : header.usage) {
        snapshot.usage.push_back(
            std::make_unique<log::UsageReportedT>(toRecord(usage::UsageReport{.window = window, .counts = counts})));
    }
    addStreams(snapshot, header.streams);
    for (const KnownInstance &instance : header.instances) {
        auto known = std::make_unique<log::KnownInstanceT>();
        known->announced = std::make_unique<log::InstanceAnnouncedT>(toRecord(instance.instance));
        known->age_ms = toMilliseconds(instance.age);
        snapshot.instances.push_back(std::move(known));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(log::Snapshot::Pack(builder, &snapshot));
    const std::string_view bytes(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
    const std::size_t partBytes = std::max<std::size_t>(1, options.maxPartBytes);
    const auto count = static_cast<std::uint32_t>((bytes.size() + partBytes - 1) / partBytes);
    const std::uint64_t checksum = stableHash(bytes);
    std::vector<std::string> parts;
    for (std::uint32_t index = 0; index < count; ++index) {
        const std::string_view piece = bytes.substr(index * partBytes, partBytes);
        log::SnapshotPartT part;
        part.format = Format;
        part.id = header.nextOffset;
        part.index = index;
        part.count = count;
        part.checksum = checksum;
        part.bytes.assign(piece.begin(), piece.end());
        parts.push_back(serializePart(std::move(part)));
    }
    return parts;
}

Result<LogSnapshot> parseSnapshot(const std::vector<std::string> &parts, TimePoint now)
{
    const Result<std::string> bytes = joinParts(parts);
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes->data()), bytes->size());
    if (!verifier.VerifyBuffer<log::Snapshot>(nullptr)) {
        return unusable("the content is malformed");
    }
    const auto &record = *flatbuffers::GetRoot<log::Snapshot>(bytes->data());
    LogSnapshot snapshot{.header = {.nextOffset = record.next_offset(),
                                    .epoch = record.epoch(),
                                    .owner = stringOrEmpty(record.owner()),
                                    .ownerAddress = stringOrEmpty(record.owner_address()),
                                    .recentOrders = {},
                                    .suspects = {},
                                    .limits = {},
                                    .streams = toStreams(record),
                                    .instances = {},
                                    .usage = {}},
                         .batches = {}};
    if (record.orders() != nullptr) {
        for (const log::RecentOrder *order : *record.orders()) {
            snapshot.header.recentOrders[stringOrEmpty(order->engine())] = order->epoch();
        }
    }
    if (record.batches() != nullptr) {
        for (const log::SnapshotBatch *batch : *record.batches()) {
            std::optional<BatchEntry> entry = toEntry(*batch, now);
            if (!entry) {
                return unusable("batch " + stringOrEmpty(batch->batch()) + " is inconsistent");
            }
            snapshot.batches.emplace(stringOrEmpty(batch->batch()), std::move(*entry));
        }
    }
    if (record.suspects() != nullptr) {
        for (const log::SuspectReported *suspect : *record.suspects()) {
            snapshot.header.suspects.push_back(toCrashReport(*suspect));
        }
    }
    if (record.limits() != nullptr) {
        for (const log::LimitReported *limit : *record.limits()) {
            snapshot.header.limits.push_back(toLimitReport(*limit));
        }
    }
    if (record.usage() != nullptr) {
        for (const log::UsageReported *reported : *record.usage()) {
            usage::UsageReport report = toUsageReport(*reported);
            snapshot.header.usage.insert_or_assign(report.window, std::move(report.counts));
        }
    }
    if (record.instances() != nullptr) {
        for (const log::KnownInstance *known : *record.instances()) {
            if (known->announced() != nullptr) {
                snapshot.header.instances.push_back(
                    {.instance = toInstance(*known->announced()), .age = std::chrono::milliseconds(known->age_ms())});
            }
        }
    }
    return snapshot;
}

} // namespace bergamot::batch
