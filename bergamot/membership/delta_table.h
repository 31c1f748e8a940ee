#pragma once

// A table whose readers fetch only the rows that changed since their last request. Each change carries a tick, a
// counter that the owner increases; removals are kept until the owner drops them.
//
//     DeltaTable<inner::EndpointT> table;
//     table.put("engine-3", endpoint, fingerprintOf(endpoint), tick);
//     table.changedSince(seenTick, [](const std::string &name, const inner::EndpointT &value) { ... });

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "bergamot/base/hash.h"

namespace bergamot
{

/// Not thread-safe.
template<typename T>
class DeltaTable
{
public:
    struct Row
    {
        T value;
        std::uint64_t fingerprint = 0;
        std::uint64_t changedAt = 0;
    };

    /// Stores `value`. The row is marked as changed at `tick` only if it is new or `fingerprint` differs from the
    /// stored one.
    void put(const std::string &name, T value, std::uint64_t fingerprint, std::uint64_t tick)
    {
        auto [row, isNew] = m_rows.try_emplace(name);
        if (isNew) {
            m_namesHash ^= stableHash(name);
            m_removed.erase(name);
        }
        if (isNew || row->second.fingerprint != fingerprint) {
            row->second.fingerprint = fingerprint;
            row->second.changedAt = tick;
        }
        row->second.value = std::move(value);
    }

    /// Removes the row, if there is one, and records the removal at `tick`.
    void remove(const std::string &name, std::uint64_t tick)
    {
        if (m_rows.erase(name) > 0) {
            m_namesHash ^= stableHash(name);
            m_removed[name] = tick;
        }
    }

    /// Removes every row whose name is not in `names`.
    void keepOnly(const std::set<std::string> &names, std::uint64_t tick)
    {
        for (auto row = m_rows.begin(); row != m_rows.end();) {
            const std::string name = (row++)->first;
            if (!names.contains(name)) {
                remove(name, tick);
            }
        }
    }

    /// Marks every row as changed at `tick` and drops the recorded removals.
    void markAllChanged(std::uint64_t tick)
    {
        m_removed.clear();
        for (auto &[name, row] : m_rows) {
            row.changedAt = tick;
        }
    }

    /// Drops the removals recorded before `tick`. A reader whose last request is older must fetch the whole table.
    void dropRemovalsBefore(std::uint64_t tick)
    {
        std::erase_if(m_removed, [tick](const auto &entry) {
            return entry.second < tick;
        });
    }

    /// Calls `visit(name, value)` for each row that changed after `tick`.
    template<typename Visitor>
    void changedSince(std::uint64_t tick, Visitor visit) const
    {
        for (const auto &[name, row] : m_rows) {
            if (row.changedAt > tick) {
                visit(name, row.value);
            }
        }
    }

    /// Calls `visit(name)` for each recorded removal after `tick`.
    template<typename Visitor>
    void removedSince(std::uint64_t tick, Visitor visit) const
    {
        for (const auto &[name, removedAt] : m_removed) {
            if (removedAt > tick) {
                visit(name);
            }
        }
    }

    void clear()
    {
        m_rows.clear();
        m_removed.clear();
        m_namesHash = 0;
    }

    const std::map<std::string, Row> &rows() const
    {
        return m_rows;
    }

    std::map<std::string, Row> &rows()
    {
        return m_rows;
    }

    /// Hash of the set of names, whatever their order.
    std::uint64_t namesHash() const
    {
        return m_namesHash;
    }

private:
    std::map<std::string, Row> m_rows;
    std::map<std::string, std::uint64_t> m_removed; // tick of the removal by name
    std::uint64_t m_namesHash = 0;
};

} // namespace bergamot
