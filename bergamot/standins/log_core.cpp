#include "bergamot/standins/log_core.h"

namespace bergamot
{

LogCore::LogCore(LogCoreOptions options)
    : m_options(options)
    , m_faults({"append", "read"})
    , m_limit(options.appendsPerSecond)
{ }

Offset LogCore::Stream::end() const
{
    return firstRetained + entries.size();
}

Answer<Offset> LogCore::append(const std::string &stream, std::vector<Record> batch, TimePoint now)
{
    if (const std::optional<Error> refused = m_faults.refusal("append")) {
        return {tl::unexpected(*refused)};
    }
    Result<Offset> stored = store(stream, std::move(batch), now);
    if (!stored) {
        return {std::move(stored)};
    }
    return m_faults.answer<Offset>("append", std::move(stored));
}

Result<Offset> LogCore::store(const std::string &stream, std::vector<Record> batch, TimePoint now)
{
    if (batch.empty() || batch.size() > m_options.recordsPerAppend) {
        return failure(ErrorCode::InvalidArgument,
                       "records must hold 1 to " + std::to_string(m_options.recordsPerAppend) + " records");
    }
    if (const std::optional<Duration> wait = m_limit.take(now)) {
        return failure(ErrorCode::Overloaded,
                       "over the append limit; append again after the time given",
                       std::chrono::ceil<std::chrono::milliseconds>(*wait));
    }
    Stream &target = m_streams[stream];
    const Offset first = target.end();
    for (Record &record : batch) {
        target.entries.push_back({now, std::move(record)});
    }
    ++m_appendCount;
    expire(target, now);
    return first;
}

Answer<LogPage> LogCore::read(const std::string &stream, Offset from, std::size_t limit, TimePoint now)
{
    if (const std::optional<Error> refused = m_faults.refusal("read")) {
        return {tl::unexpected(*refused)};
    }
    return m_faults.answer<LogPage>("read", page(stream, from, limit, now));
}

Result<LogPage> LogCore::page(const std::string &stream, Offset from, std::size_t limit, TimePoint now)
{
    Stream &source = m_streams[stream];
    expire(source, now);
    if (from < source.firstRetained) {
        return failure(ErrorCode::Expired,
                       "offset " + std::to_string(from) + " is no longer kept; the first one is "
                           + std::to_string(source.firstRetained));
    }
    LogPage result;
    result.firstRetained = source.firstRetained;
    result.end = source.end();
    for (Offset offset = from; offset < source.end() && result.records.size() < limit; ++offset) {
        result.records.push_back({offset, source.entries[offset - source.firstRetained].record});
    }
    return result;
}

void LogCore::expire(Stream &stream, TimePoint now) const
{
    while (!stream.entries.empty()
           && (stream.entries.size() > m_options.retainedRecords
               || now - stream.entries.front().appended > m_options.retainedFor)) {
        stream.entries.pop_front();
        ++stream.firstRetained;
    }
}

void LogCore::setOptions(LogCoreOptions options)
{
    m_options = options;
    m_limit.setRate(options.appendsPerSecond);
}

const LogCoreOptions &LogCore::options() const
{
    return m_options;
}

Result<void> LogCore::apply(const FaultCommand &command)
{
    LogCoreOptions changed = m_options;
    if (command.fault == "limit") {
        changed.appendsPerSecond = static_cast<std::uint32_t>(command.count);
    } else if (command.fault == "retain") {
        const bool given = command.duration > std::chrono::milliseconds::zero();
        changed.retainedRecords = command.count;
        changed.retainedFor = given ? Duration(command.duration) : m_options.retainedFor;
    } else {
        return m_faults.apply(command);
    }
    setOptions(changed);
    return {};
}

std::vector<StoredRecord> LogCore::records(const std::string &stream) const
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return {};
    }
    std::vector<StoredRecord> records;
    for (const Entry &entry : found->second.entries) {
        records.push_back({found->second.firstRetained + records.size(), entry.record});
    }
    return records;
}

std::uint64_t LogCore::appendCount() const
{
    return m_appendCount;
}

} // namespace bergamot
