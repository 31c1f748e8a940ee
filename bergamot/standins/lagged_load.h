#pragma once

// The load figures that an endpoint tells: taken once in each lag, and told until the next are due.
//
//     LaggedLoad load(std::chrono::milliseconds(500));
//     load.note(running, waiting, now); // before each change, and before it is told
//     load.running();

#include <cstdint>

#include "bergamot/base/clock.h"

namespace bergamot
{

/// Not thread-safe; times passed in never fall.
class LaggedLoad
{
public:
    explicit LaggedLoad(Duration lag)
        : m_lag(std::max(lag, Duration(1)))
    { }

    void note(std::size_t running, std::size_t waiting, TimePoint now)
    {
        if (m_at && now - *m_at < m_lag) {
            return;
        }
        m_at = m_at ? *m_at + (now - *m_at) / m_lag * m_lag : now;
        m_running = static_cast<std::uint32_t>(running);
        m_waiting = static_cast<std::uint32_t>(waiting);
    }

    std::uint32_t running() const
    {
        return m_running;
    }
    std::uint32_t waiting() const
    {
        return m_waiting;
    }
    /// Zero before the first figures.
    std::chrono::milliseconds age(TimePoint now) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - m_at.value_or(now));
    }

private:
    Duration m_lag;
    std::optional<TimePoint> m_at;
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
};

} // namespace bergamot
