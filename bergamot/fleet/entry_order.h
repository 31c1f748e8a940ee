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

#include <cstdint>
#include <optional>
#include <utility>

#include "bergamot/base/clock.h"

namespace bergamot::fleet
{

/// Which entry of an endpoint it is.
struct EntryVersion
{
    std::uint64_t incarnation = 0; // start time of the process; 0: not known
    std::optional<std::uint64_t> sequence; // number of the heartbeat that wrote it, counted from the start
};

/// The newest entry of one endpoint id. Not thread-safe.
class EntryOrder
{
public:
    /// Returns whether the entry is to be used: it is not older than the newest one, or than its removal. An entry of
    /// a process that started earlier counts from its second heartbeat on: a clock may have been set back.
    bool admit(const EntryVersion &version)
    {
        if (isOlder(version)) {
            return false;
        }
        m_newest = version;
        m_doubted = {};
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
    bool isOlder(const EntryVersion &version)
    {
        const bool known =
            version.incarnation != 0 && version.sequence && m_newest.incarnation != 0 && m_newest.sequence;
        if (!known || version.incarnation > m_newest.incarnation) {
            return false;
        }
        if (version.incarnation == m_newest.incarnation) {
            const bool repeated = *version.sequence == *m_newest.sequence && m_removedAt;
            return *version.sequence < *m_newest.sequence || repeated;
        }
        const EntryVersion doubted = std::exchange(m_doubted, version);
        return doubted.incarnation != version.incarnation || *version.sequence <= *doubted.sequence;
    }

    EntryVersion m_newest;
    EntryVersion m_doubted; // the last one of a process that started earlier than the newest
    std::optional<TimePoint> m_removedAt;
};

} // namespace bergamot::fleet
