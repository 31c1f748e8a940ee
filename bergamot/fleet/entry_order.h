#pragma once

// Decides whether an entry of an endpoint is older than what is known already. Pure.
//
//     EntryOrder order;
//     order.admit({.incarnation = 100, .sequence = 7}); // true
//     order.admit({.incarnation = 100, .sequence = 6}); // false: written before
//
// Load pattern: the store carries out a write seconds after it was sent, so an endpoint's "ready" is appended after its
// "draining", after its removal, or after the first entry of the process that has replaced it. Where entries are
// appended only when they change, no later record puts that right.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

#include "bergamot/base/clock.h"

namespace bergamot::fleet
{

/// Which entry of an endpoint it is.
struct EntryVersion
{
    std::uint64_t incarnation = 0; // 0: not known
    std::optional<std::uint64_t> sequence; // number of the heartbeat that wrote it, counted from the start
};

/// The newest entry of one endpoint id. Not thread-safe.
class EntryOrder
{
public:
    /// Returns whether the entry is to be used: it is not known to be older than the newest one, or than its removal.
    /// The start time of a process does not tell its age, since clocks may be set back; a process is an earlier one if
    /// another one has followed it.
    bool admit(const EntryVersion &version)
    {
        if (std::find(m_earlier.begin(), m_earlier.end(), version.incarnation) != m_earlier.end()) {
            return false;
        }
        if (version.incarnation == m_newest.incarnation && version.incarnation != 0 && version.sequence
            && m_newest.sequence) {
            const bool repeated = *version.sequence == *m_newest.sequence && m_removedAt;
            if (*version.sequence < *m_newest.sequence || repeated) {
                return false;
            }
        }
        if (m_newest.incarnation != 0 && version.incarnation != 0 && m_newest.incarnation != version.incarnation) {
            m_earlier.push_back(m_newest.incarnation);
            if (m_earlier.size() > MaxEarlier) {
                m_earlier.pop_front();
            }
        }
        m_newest = version;
        m_removedAt.reset();
        return true;
    }

    /// The entry was removed.
    void remove(TimePoint now)
    {
        m_removedAt = now;
    }

    /// When the entry was removed; nothing if it is there.
    std::optional<TimePoint> removedAt() const
    {
        return m_removedAt;
    }

private:
    static constexpr std::size_t MaxEarlier = 4; // processes that are remembered

    EntryVersion m_newest;
    std::deque<std::uint64_t> m_earlier; // incarnations that were followed by another one
    std::optional<TimePoint> m_removedAt;
};

} // namespace bergamot::fleet
