#pragma once

// Structured event lines on standard output, one for each decision that affects a request or changes the state of the
// process: `t=... kind=request event=refused request=... reason=...`. Lines are buffered and written without blocking;
// lines over the rate limit or the buffer size are dropped and counted. log4cplus is not used here, because it would
// start its own threads and block on a full pipe.
//
//     EventLog log(STDOUT_FILENO, {});
//     log.write(EventKind::Request, "refused", {{"request", id}, {"reason", "queue-full"}});
//     log.flush(); // whenever the event loop is idle

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "bergamot/base/clock.h"

namespace bergamot
{

/// Each kind has its own rate limit, so that a burst of request lines never displaces the lines about state changes.
enum class EventKind {
    State,
    Request,
};

struct EventField
{
    std::string_view name;
    std::string value;
};

struct EventLogOptions
{
    std::array<double, 2> linesPerSecond{
        100, 200}; // indexed by `EventKind`; far above the about ten requests per second of an instance
    double burstSeconds = 2; // the largest burst is `linesPerSecond` times this
    std::size_t bufferBytes = 64 * 1024; // upper bound of the lines that are not written yet
};

/// Writes rate-limited event lines to a file descriptor. Not thread-safe.
class EventLog
{
public:
    /// Sets O_NONBLOCK on `descriptor`.
    EventLog(int descriptor, EventLogOptions options);

    /// Appends one line to the buffer, or drops and counts it.
    void write(EventKind kind, std::string_view event, std::initializer_list<EventField> fields);
    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();
    /// Number of lines dropped since construction.
    std::uint64_t dropped() const;
    bool hasUnwritten() const;

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint refilledAt{};
        std::uint64_t dropped = 0; // lines dropped since the last buffered line of this kind
    };

    bool acquireToken(EventKind kind, TimePoint now);

    int m_descriptor;
    EventLogOptions m_options;
    std::array<Bucket, 2> m_buckets;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
};

} // namespace bergamot
