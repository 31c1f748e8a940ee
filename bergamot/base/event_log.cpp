#include "bergamot/base/event_log.h"

#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace bergamot
{

namespace
{

constexpr std::array<std::string_view, 2> KindNames{"state", "request"};

void appendValue(std::string &line, std::string_view value)
{
    const bool quoted = value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
    if (!quoted) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        line += character == '\n' || character == '\r' ? ' ' : character;
    }
    line += '"';
}

std::string timestamp()
{
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto milliseconds = now.time_since_epoch().count();
    std::array<char, 32> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%lld.%03lld",
                  static_cast<long long>(milliseconds / 1000),
                  static_cast<long long>(milliseconds % 1000));
    return text.data();
}

} // namespace

EventLog::EventLog(int descriptor, EventLogOptions options)
    : m_descriptor(descriptor)
    , m_options(options)
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

void EventLog::write(EventKind kind, std::string_view event, std::initializer_list<EventField> fields)
{
    Bucket &bucket = m_buckets[static_cast<std::size_t>(kind)];
    if (!acquireToken(kind, BootClock::now())) {
        ++bucket.dropped;
        ++m_dropped;
        return;
    }
    std::string line = "t=" + timestamp() + " kind=";
    line += KindNames[static_cast<std::size_t>(kind)];
    line += " event=";
    appendValue(line, event);
    for (const EventField &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        appendValue(line, field.value);
    }
    if (bucket.dropped > 0) {
        line += " dropped_before=" + std::to_string(bucket.dropped);
    }
    line += '\n';
    if (m_buffer.size() + line.size() > m_options.bufferBytes) {
        ++bucket.dropped;
        ++m_dropped;
        return;
    }
    bucket.dropped = 0;
    m_buffer += line;
}

void EventLog::flush()
{
    while (!m_buffer.empty()) {
        const ssize_t written = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
        if (written <= 0) {
            return; // the pipe is full or closed; unwritten lines stay in the bounded buffer
        }
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

std::uint64_t EventLog::dropped() const
{
    return m_dropped;
}

bool EventLog::hasUnwritten() const
{
    return !m_buffer.empty();
}

bool EventLog::acquireToken(EventKind kind, TimePoint now)
{
    const double rate = m_options.linesPerSecond[static_cast<std::size_t>(kind)];
    const double maxTokens = rate * m_options.burstSeconds;
    Bucket &bucket = m_buckets[static_cast<std::size_t>(kind)];
    const double elapsed = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.tokens = bucket.refilledAt == TimePoint{} ? maxTokens : std::min(maxTokens, bucket.tokens + elapsed * rate);
    bucket.refilledAt = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

} // namespace bergamot
