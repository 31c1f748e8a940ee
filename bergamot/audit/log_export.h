#pragma once

// Reads whole streams from a log that is in use, for an export.
//
//     Result<ExportedStream> stream = readStream(log, "evidence");

#include <chrono>
#include <string>

#include "bergamot/audit/export_file.h"
#include "bergamot/platform/log.h"

namespace bergamot
{

struct LogExportOptions
{
    std::size_t pageRecords = 500;
    std::chrono::milliseconds readTimeout{10'000}; // for one page
    int attempts = 5; // each further one leaves out more of the oldest records, which expire while they are read
};

/// What the log has of `stream` at the first answer; what is appended later is left out. `Expired` if records expire
/// faster than they can be read. Waits for the log's answers, so it may not be called on the threads of its client.
Result<ExportedStream> readStream(Log &log, const std::string &stream, const LogExportOptions &options = {});

} // namespace bergamot
