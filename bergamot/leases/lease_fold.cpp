#include "bergamot/leases/lease_fold.h"

#include "bergamot/base/json.h"

namespace bergamot
{

namespace
{

using web::json::value;

Result<std::vector<DutyUpdate>> parseUpdates(const std::string &payload)
{
    const Result<value> json = parseJson(payload);
    if (!json) {
        return tl::unexpected(json.error());
    }
    FieldReader reader(*json, "record");
    std::vector<DutyUpdate> updates;
    std::string problems;
    for (const value &element : reader.optionalArray("duties")) {
        FieldReader updateReader(element, "record.duties");
        updates.push_back({DutyId(updateReader.requiredString("duty")), updateReader.requiredUnsigned("prev")});
        if (Result<void> read = updateReader.finish(); !read) {
            return tl::unexpected(read.error());
        }
    }
    if (Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return updates;
}

bool sameHolder(const RecordId &left, const RecordId &right)
{
    return left.writer == right.writer && left.incarnation == right.incarnation;
}

value toJson(const LeaseEntry &entry)
{
    value json = value::object();
    json["writer"] = value(entry.latestRecord.writer);
    json["incarnation"] = value::number(entry.latestRecord.incarnation);
    json["sequence"] = value::number(entry.latestRecord.sequence);
    json["latest"] = value::number(entry.latest);
    json["fencing"] = value::number(entry.fencing);
    json["released"] = value::boolean(entry.released);
    return json;
}

Result<LeaseEntry> parseEntry(const value &json)
{
    FieldReader reader(json, "checkpoint.duties");
    LeaseEntry entry;
    entry.latestRecord.writer = reader.requiredString("writer");
    entry.latestRecord.incarnation = reader.requiredUnsigned("incarnation");
    entry.latestRecord.sequence = reader.requiredUnsigned("sequence");
    entry.latest = reader.requiredUnsigned("latest");
    entry.fencing = reader.requiredUnsigned("fencing");
    entry.released = reader.optionalBool("released", false);
    if (Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return entry;
}

} // namespace

std::string dutiesPayload(const std::vector<DutyUpdate> &updates)
{
    value duties = value::array();
    for (const DutyUpdate &update : updates) {
        value json = value::object();
        json["duty"] = value(update.duty.value());
        json["prev"] = value::number(update.supersedes);
        duties[duties.size()] = json;
    }
    value json = value::object();
    json["duties"] = duties;
    return json.serialize();
}

void LeaseFold::apply(const StoredRecord &stored)
{
    m_applied = stored.offset;
    const bool claims = stored.record.kind == ClaimKind;
    if (!claims && stored.record.kind != ReleaseKind) {
        return;
    }
    const Result<std::vector<DutyUpdate>> updates = parseUpdates(stored.record.payload);
    if (!updates) {
        return;
    }
    for (const DutyUpdate &update : *updates) {
        if (claims) {
            claim(update, stored);
        } else {
            release(update, stored);
        }
    }
}

void LeaseFold::claim(const DutyUpdate &update, const StoredRecord &stored)
{
    const auto found = m_duties.find(update.duty);
    const bool exists = found != m_duties.end();
    if (update.supersedes != (exists ? found->second.latest : 0) || (!exists && m_duties.size() >= MaxDuties)) {
        return;
    }
    LeaseEntry &entry = m_duties[update.duty];
    const bool renewal = exists && !entry.released && sameHolder(entry.latestRecord, stored.record.id);
    entry.fencing = renewal ? entry.fencing : stored.offset;
    entry.latestRecord = stored.record.id;
    entry.latest = stored.offset;
    entry.released = false;
}

void LeaseFold::release(const DutyUpdate &update, const StoredRecord &stored)
{
    const auto found = m_duties.find(update.duty);
    if (found == m_duties.end() || found->second.latest != update.supersedes
        || !sameHolder(found->second.latestRecord, stored.record.id)) {
        return;
    }
    found->second.latestRecord = stored.record.id;
    found->second.latest = stored.offset;
    found->second.released = true;
}

Offset LeaseFold::applied() const
{
    return m_applied;
}

const LeaseEntry *LeaseFold::find(const DutyId &duty) const
{
    const auto found = m_duties.find(duty);
    return found == m_duties.end() ? nullptr : &found->second;
}

const std::map<DutyId, LeaseEntry> &LeaseFold::duties() const
{
    return m_duties;
}

std::string LeaseFold::checkpoint() const
{
    value duties = value::object();
    for (const auto &[duty, entry] : m_duties) {
        duties[duty.value()] = toJson(entry);
    }
    value json = value::object();
    json["duties"] = duties;
    return json.serialize();
}

Result<void> LeaseFold::restore(const std::string &checkpoint, Offset offset)
{
    if (offset < m_applied) {
        return failure(ErrorCode::Conflict, "the checkpoint is older than the current state and was ignored");
    }
    const Result<value> json = parseJson(checkpoint);
    if (!json) {
        return tl::unexpected(json.error());
    }
    FieldReader reader(*json, "checkpoint");
    LeaseFold restored;
    const value duties = reader.optionalObject("duties");
    for (const auto &[name, body] : duties.as_object()) {
        const Result<LeaseEntry> entry = parseEntry(body);
        if (!entry) {
            return tl::unexpected(entry.error());
        }
        restored.m_duties.emplace(DutyId(name), *entry);
    }
    if (Result<void> read = reader.finish(); !read) {
        return read;
    }
    restored.m_applied = offset;
    *this = std::move(restored);
    return {};
}

} // namespace bergamot
