#include "bergamot/dispatch/event_stream.h"

#include <charconv>

namespace bergamot::dispatch
{

std::vector<StreamEvent> EventStreamReader::feed(std::string_view bytes)
{
    std::vector<StreamEvent> events;
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        if (end == std::string_view::npos) {
            m_line += bytes;
            break;
        }
        m_line += bytes.substr(0, end);
        bytes.remove_prefix(end + 1);
        if (!m_line.empty() && m_line.back() == '\r') {
            m_line.pop_back();
        }
        parseLine(m_line, events);
        m_line.clear();
    }
    return events;
}

bool EventStreamReader::hasPartialEvent() const
{
    return m_hasFields || !m_line.empty();
}

void EventStreamReader::parseLine(std::string_view line, std::vector<StreamEvent> &events)
{
    if (line.empty()) {
        if (m_hasFields) {
            events.push_back(std::move(m_event));
        }
        m_event = {};
        m_hasFields = false;
        m_hasData = false;
        return;
    }
    const std::size_t colon = line.find(':');
    if (colon == 0) {
        return; // a comment line
    }
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    m_hasFields = true;
    if (name == "data") {
        if (m_hasData) {
            m_event.data += '\n';
        }
        m_event.data += value;
        m_hasData = true;
    } else if (name == "id") {
        std::uint64_t id = 0;
        const auto [end, status] = std::from_chars(value.data(), value.data() + value.size(), id);
        if (status == std::errc() && end == value.data() + value.size()) {
            m_event.id = id;
        }
    } else {
        m_event.otherFields.emplace_back(name, value);
    }
}

} // namespace bergamot::dispatch
