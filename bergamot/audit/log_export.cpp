#include "bergamot/audit/log_export.h"

#include <algorithm>
#include <future>
#include <limits>

namespace bergamot
{

namespace
{

// Beyond the end of every stream: such a read has no records and tells the bounds.
constexpr Offset BeyondEnd = std::numeric_limits<Offset>::max() / 2;

Result<LogPage> readPage(Log &log, const std::string &stream, Offset from, const LogExportOptions &options)
{
    const auto page = std::make_shared<std::promise<Result<LogPage>>>();
    log.read(stream, from, options.pageRecords, options.readTimeout, [page](Result<LogPage> read) {
        page->set_value(std::move(read));
    });
    return page->get_future().get();
}

/// Leaves out the oldest `margin` records, which may expire before they are reached, but at most half of all.
Result<ExportedStream>
readOnce(Log &log, const std::string &stream, std::size_t margin, const LogExportOptions &options)
{
    const Result<LogPage> bounds = readPage(log, stream, BeyondEnd, options);
    if (!bounds) {
        return tl::unexpected(bounds.error());
    }
    const Offset first = bounds->firstRetained + std::min<Offset>(margin, (bounds->end - bounds->firstRetained) / 2);
    ExportedStream exported{.stream = stream, .first = first, .end = bounds->end, .records = {}};
    Offset next = exported.first;
    while (next < exported.end) {
        Result<LogPage> page = readPage(log, stream, next, options);
        if (!page) {
            return tl::unexpected(page.error());
        }
        if (page->records.empty()) {
            return failure(ErrorCode::Internal, "the log has no record at offset " + std::to_string(next));
        }
        for (StoredRecord &record : page->records) {
            next = record.offset + 1;
            if (record.offset < exported.end) {
                exported.records.push_back(std::move(record));
            }
        }
    }
    return exported;
}

} // namespace

Result<ExportedStream> readStream(Log &log, const std::string &stream, const LogExportOptions &options)
{
    std::size_t margin = 0;
    Result<ExportedStream> read = readOnce(log, stream, margin, options);
    for (int attempt = 1; attempt < options.attempts && !read && read.error().code == ErrorCode::Expired; ++attempt) {
        margin = margin == 0 ? options.pageRecords : margin * 2;
        read = readOnce(log, stream, margin, options);
    }
    return read;
}

} // namespace bergamot
