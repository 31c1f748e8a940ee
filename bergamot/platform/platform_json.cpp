#include "bergamot/platform/platform_json.h"

#include <cmath>
#include <limits>

#include "bergamot/base/json.h"
#include "bergamot/platform/internal/json_fields.h"

namespace bergamot
{

using platform_internal::readList;
using web::json::value;

namespace
{

value recordToJson(const Record &record)
{
    value json = value::object();
    json["writer"] = value(record.id.writer);
    json["incarnation"] = value(record.id.incarnation);
    json["sequence"] = value(record.id.sequence);
    json["kind"] = value(record.kind);
    json["payload"] = value(record.payload);
    return json;
}

Result<Record> parseRecord(const value &json, const std::string &path)
{
    FieldReader reader(json, path);
    Record record;
    record.id.writer = reader.requiredString("writer");
    record.id.incarnation = reader.requiredUnsigned("incarnation");
    record.id.sequence = reader.requiredUnsigned("sequence");
    record.kind = reader.requiredString("kind");
    record.payload = reader.optionalString("payload", "");
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return record;
}

Result<StoredRecord> parseStoredRecord(const value &json, const std::string &path)
{
    Result<Record> record = parseRecord(json, path);
    if (!record) {
        return tl::unexpected(record.error());
    }
    FieldReader reader(json, path);
    StoredRecord stored{reader.requiredUnsigned("offset"), std::move(*record)};
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return stored;
}

/// Checks that the offsets of `page` rise without gaps, within its bounds.
Result<void> checkOffsets(const LogPage &page, const std::string &path)
{
    if (page.firstRetained == 0 || page.end < page.firstRetained) {
        return failure(ErrorCode::InvalidArgument,
                       path + ".first_retained must be 1 or more, and end no lower than that");
    }
    for (std::size_t i = 0; i < page.records.size(); ++i) {
        const Offset offset = page.records[i].offset;
        const bool follows = i == 0 ? offset >= page.firstRetained : offset == page.records[i - 1].offset + 1;
        if (!follows || offset >= page.end) {
            return failure(ErrorCode::InvalidArgument,
                           path + ".records[" + std::to_string(i)
                               + "].offset must follow the one before, from first_retained up to end");
        }
    }
    return {};
}

} // namespace

value toJson(const std::vector<Record> &batch)
{
    std::vector<value> records;
    records.reserve(batch.size());
    for (const Record &record : batch) {
        records.push_back(recordToJson(record));
    }
    value json = value::object();
    json["records"] = value::array(std::move(records));
    return json;
}

Result<std::vector<Record>> parseAppend(const value &json, const std::string &path)
{
    return readList<Record>(json, path, "records", parseRecord);
}

value offsetToJson(Offset offset)
{
    value json = value::object();
    json["offset"] = value(offset);
    return json;
}

Result<Offset> parseOffset(const value &json, const std::string &path)
{
    FieldReader reader(json, path);
    const Offset offset = reader.requiredUnsigned("offset");
    if (offset == 0) {
        reader.reject("offset", "must be 1 or more");
    }
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return offset;
}

value toJson(const LogPage &page)
{
    std::vector<value> records;
    records.reserve(page.records.size());
    for (const StoredRecord &stored : page.records) {
        value record = recordToJson(stored.record);
        record["offset"] = value(stored.offset);
        records.push_back(std::move(record));
    }
    value json = value::object();
    json["records"] = value::array(std::move(records));
    json["first_retained"] = value(page.firstRetained);
    json["end"] = value(page.end);
    return json;
}

Result<LogPage> parseLogPage(const value &json, const std::string &path)
{
    FieldReader reader(json, path);
    LogPage page;
    page.firstRetained = reader.requiredUnsigned("first_retained");
    page.end = reader.requiredUnsigned("end");
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    Result<std::vector<StoredRecord>> records = readList<StoredRecord>(json, path, "records", parseStoredRecord);
    if (!records) {
        return tl::unexpected(records.error());
    }
    page.records = std::move(*records);
    if (const Result<void> checked = checkOffsets(page, path); !checked) {
        return tl::unexpected(checked.error());
    }
    return page;
}

value toJson(const PublishedWeights &published)
{
    value json = value::object();
    json["newest"] = value(published.newest);
    json["concurrent_fetches"] = value(published.concurrentFetches);
    return json;
}

Result<PublishedWeights> parsePublishedWeights(const value &json, const std::string &path)
{
    FieldReader reader(json, path);
    PublishedWeights published;
    published.newest = reader.requiredUnsigned("newest");
    published.concurrentFetches = reader.requiredUnsigned("concurrent_fetches");
    if (published.concurrentFetches == 0) {
        reader.reject("concurrent_fetches", "must be 1 or more");
    }
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return published;
}

Result<double> parseScore(const value &json, const std::string &path)
{
    FieldReader reader(json, path);
    const double score = reader.optionalNumber("score", std::numeric_limits<double>::quiet_NaN());
    if (!std::isfinite(score)) {
        reader.reject("score", "must be a finite number");
    }
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return score;
}

} // namespace bergamot
