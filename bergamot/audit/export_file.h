#pragma once

// An export of the log's records for an auditor: one JSON line for each record, a header for each stream, and a last
// line that covers the whole file.
//
//     const std::string text = writeExport(streams);
//     Result<std::vector<ExportedStream>> read = readExport(text);

#include <string>
#include <string_view>
#include <vector>

#include "bergamot/base/error.h"
#include "bergamot/platform/log.h"

namespace bergamot
{

/// Records of one stream, as they stood in the log.
struct ExportedStream
{
    std::string stream;
    Offset first = 1; // offset of the first record that the log still had
    Offset end = 1; // the offset after the last one
    std::vector<StoredRecord> records;

    bool operator==(const ExportedStream &) const = default;
};

std::string writeExport(const std::vector<ExportedStream> &streams);

/// `InvalidArgument` names the first line that is no part of an export, or says that the last line does not match the
/// others.
Result<std::vector<ExportedStream>> readExport(std::string_view text);

} // namespace bergamot
