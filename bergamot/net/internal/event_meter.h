#pragma once

// Finds the ends of the events in a `text/event-stream` body, to bound the size of one event.

#include <cstddef>
#include <string_view>

namespace bergamot::net::internal
{

/// Not thread-safe.
class EventMeter
{
public:
    /// Appends `data` to the stream. Returns whether an event ended in it.
    bool add(std::string_view data)
    {
        bool ended = false;
        for (const char character : data) {
            ++m_openBytes;
            if (character == '\n' && m_afterReturn) { // the second half of a line end
                m_afterReturn = false;
                continue;
            }
            m_afterReturn = character == '\r';
            if (character != '\n' && character != '\r') {
                m_lineEmpty = false;
                continue;
            }
            if (m_lineEmpty) {
                ended = true;
                m_anyEvent = true;
                m_openBytes = 0;
            }
            m_lineEmpty = true;
        }
        return ended;
    }

    /// Bytes since the end of the last event.
    std::size_t openBytes() const
    {
        return m_openBytes;
    }

    /// Whether a stream that ends here may be complete: it has events, and ends behind one.
    bool endsBehindEvent() const
    {
        return m_anyEvent && m_openBytes == 0;
    }

private:
    std::size_t m_openBytes = 0;
    bool m_anyEvent = false;
    bool m_lineEmpty = true;
    bool m_afterReturn = false;
};

} // namespace bergamot::net::internal
