#pragma once

// Reads a stream of server-sent events as it arrives, in pieces cut anywhere.
//
//     EventStreamReader reader;
//     for (const StreamEvent &event : reader.feed(bytes)) { ... }
//     bool whole = !reader.inEvent(); // false: the stream stopped in the middle of an event

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::dispatch
{

struct StreamEvent
{
    std::optional<std::uint64_t> id;
    std::string data;
    std::vector<std::pair<std::string, std::string>> otherFields;
};

class EventStreamReader
{
public:
    std::vector<StreamEvent> feed(std::string_view bytes);
    /// Whether bytes of an event that is not complete have been read.
    bool inEvent() const;

private:
    void takeLine(std::string_view line, std::vector<StreamEvent> &events);

    std::string m_line; // begun, without its end
    StreamEvent m_event;
    bool m_hasFields = false;
    bool m_hasData = false;
};

} // namespace bergamot::dispatch
