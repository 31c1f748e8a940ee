#pragma once

// Structured lines on standard output, one for each decision that touches a request or changes what the process
// believes: `t=... event=refused request=... reason=...`. Lines are buffered and written without blocking; what exceeds
// the rate or the buffer is dropped and counted. log4cplus would start threads of its own and block on a full pipe.
//
//     EventLog log(STDOUT_FILENO, {});
//     log.write(EventKind::Request, "refused", {{"request", id}, {"reason", "queue-full"}});
//     log.flush(); // whenever the loop has nothing else to do

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "bergamot/base/clock.h"

namespace bergamot
{

/// Requests in a burst take nothing away from the lines that explain the state.
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
    std::array<double, 2> linesPerSecond{100, 200}; // by kind; an instance serves some ten requests a second
    double burstSeconds = 2; // of lines that may come at once
    std::size_t bufferBytes = 64 * 1024; // of lines that the reader has not taken
};

/// Not thread-safe.
class EventLog
{
public:
    /// Makes `descriptor` non-blocking.
    EventLog(int descriptor, EventLogOptions options);

    void write(EventKind kind, std::string_view event, std::initializer_list<EventField> fields);
    void flush();
    std::uint64_t dropped() const;
    bool hasUnwritten() const;

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint filledAt{};
        std::uint64_t dropped = 0; // since the last line that was written
    };

    bool take(EventKind kind, TimePoint now);

    int m_descriptor;
    EventLogOptions m_options;
    std::array<Bucket, 2> m_buckets;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
};

} // namespace bergamot
