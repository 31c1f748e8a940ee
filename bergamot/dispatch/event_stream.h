#pragma once

// Incremental parser of a server-sent event stream. The input may be split at any byte.
//
//     EventStreamReader reader;
//     for (const StreamEvent &event : reader.feed(bytes)) { ... }
//     bool complete = !reader.hasPartialEvent(); // false if the stream ended within an event

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::dispatch
{

/// One event. Several `data` lines are joined by a line feed.
struct StreamEvent
{
    std::optional<std::uint64_t> id;
    std::string data;
    std::vector<std::pair<std::string, std::string>> otherFields; // fields other than `id` and `data`, in order
};

/// Not thread-safe.
class EventStreamReader
{
public:
    /// Appends `bytes` to the stream; returns the events that are now complete. An id that is no decimal number is
    /// ignored.
    std::vector<StreamEvent> feed(std::string_view bytes);
    /// Whether the bytes read so far end within an event.
    bool hasPartialEvent() const;

private:
    void parseLine(std::string_view line, std::vector<StreamEvent> &events);

    std::string m_line; // current line, until its line feed arrives
    StreamEvent m_event;
    bool m_hasFields = false;
    bool m_hasData = false;
};

} // namespace bergamot::dispatch
