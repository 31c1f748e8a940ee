#include "bergamot/audit/export_file.h"

#include "bergamot/base/hash.h"
#include "bergamot/base/json.h"

namespace bergamot
{

namespace
{

using web::json::value;

std::string streamLine(const ExportedStream &stream)
{
    value line = value::object();
    line["stream"] = value::string(stream.stream);
    line["first"] = value::number(stream.first);
    line["end"] = value::number(stream.end);
    return line.serialize() + "\n";
}

std::string recordLine(const StoredRecord &stored)
{
    value line = value::object();
    line["offset"] = value::number(stored.offset);
    line["writer"] = value::string(stored.record.id.writer);
    line["incarnation"] = value::number(stored.record.id.incarnation);
    line["sequence"] = value::number(stored.record.id.sequence);
    line["kind"] = value::string(stored.record.kind);
    line["payload"] = value::string(stored.record.payload);
    return line.serialize() + "\n";
}

Result<void> readLine(const value &json, std::vector<ExportedStream> &streams)
{
    FieldReader reader(json, "line");
    if (reader.has("stream")) {
        ExportedStream stream;
        stream.stream = reader.requiredString("stream");
        stream.first = reader.requiredUnsigned("first");
        stream.end = reader.requiredUnsigned("end");
        streams.push_back(std::move(stream));
        return reader.finish();
    }
    StoredRecord stored;
    stored.offset = reader.requiredUnsigned("offset");
    stored.record.id.writer = reader.requiredString("writer");
    stored.record.id.incarnation = reader.requiredUnsigned("incarnation");
    stored.record.id.sequence = reader.requiredUnsigned("sequence");
    stored.record.kind = reader.requiredString("kind");
    stored.record.payload = reader.optionalString("payload", "");
    if (streams.empty()) {
        reader.reject("stream", "must come before the first record");
    } else {
        streams.back().records.push_back(std::move(stored));
    }
    return reader.finish();
}

std::string lastLine(std::string_view covered)
{
    value line = value::object();
    line["digest"] = value::string(sha256Hex(covered));
    return line.serialize() + "\n";
}

} // namespace

std::string writeExport(const std::vector<ExportedStream> &streams)
{
    std::string text;
    for (const ExportedStream &stream : streams) {
        text += streamLine(stream);
        for (const StoredRecord &stored : stream.records) {
            text += recordLine(stored);
        }
    }
    return text + lastLine(text);
}

Result<std::vector<ExportedStream>> readExport(std::string_view text)
{
    std::vector<ExportedStream> streams;
    std::size_t position = 0;
    std::size_t number = 0;
    while (position < text.size()) {
        const std::size_t end = std::min(text.find('\n', position), text.size());
        const std::string_view line = text.substr(position, end - position);
        ++number;
        const Result<value> json = parseJson(line);
        if (json && json->is_object() && json->has_field("digest")) {
            const bool matches = std::string(line) + "\n" == lastLine(text.substr(0, position));
            if (!matches || end + 1 < text.size()) {
                return failure(ErrorCode::InvalidArgument, "the last line does not cover the lines before it");
            }
            return streams;
        }
        const Result<void> read = json ? readLine(*json, streams) : tl::unexpected(json.error());
        if (!read) {
            return failure(ErrorCode::InvalidArgument,
                           "line " + std::to_string(number) + " is no part of an export: " + read.error().message);
        }
        position = end + 1;
    }
    return failure(ErrorCode::InvalidArgument, "the last line is missing: the file was cut off");
}

} // namespace bergamot
