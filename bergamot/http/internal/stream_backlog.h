#pragma once

// Counts the bytes that wait in all streams of a server. For bergamot/http only.
//
//     backlog->add(chunk.size());
//     backlog->remove(taken);

#include <atomic>
#include <cstddef>

namespace bergamot::http_internal
{

/// Thread-safe.
class StreamBacklog
{
public:
    void add(std::size_t bytes)
    {
        const std::size_t now = m_bytes.fetch_add(bytes) + bytes;
        std::size_t most = m_most;
        while (now > most && !m_most.compare_exchange_weak(most, now)) { }
    }

    void remove(std::size_t bytes)
    {
        m_bytes -= bytes;
    }

    std::size_t bytes() const
    {
        return m_bytes;
    }

    /// The highest value of `bytes` so far.
    std::size_t mostBytes() const
    {
        return m_most;
    }

private:
    std::atomic<std::size_t> m_bytes{0};
    std::atomic<std::size_t> m_most{0};
};

} // namespace bergamot::http_internal
