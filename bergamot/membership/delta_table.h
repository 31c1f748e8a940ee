#pragma once

// A table whose readers fetch only what changed since they last asked. Each change is stamped with a tick that the
// owner lets rise; removals are remembered for a while.
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

    /// Stores `value`; the row counts as changed only if `fingerprint` differs from the stored one.
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

    /// Stamps every row as changed at `tick` and forgets removals.
    void restamp(std::uint64_t tick)
    {
        m_removed.clear();
        for (auto &[name, row] : m_rows) {
            row.changedAt = tick;
        }
    }

    /// Forgets removals up to `tick`; a reader that has not asked since then must start anew.
    void forgetRemovedBefore(std::uint64_t tick)
    {
        std::erase_if(m_removed, [tick](const auto &entry) {
            return entry.second < tick;
        });
    }

    template<typename Visitor>
    void changedSince(std::uint64_t tick, Visitor visit) const
    {
        for (const auto &[name, row] : m_rows) {
            if (row.changedAt > tick) {
                visit(name, row.value);
            }
        }
    }

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

    /// Equal for equal sets of names.
    std::uint64_t namesHash() const
    {
        return m_namesHash;
    }

private:
    std::map<std::string, Row> m_rows;
    std::map<std::string, std::uint64_t> m_removed;
    std::uint64_t m_namesHash = 0;
};

} // namespace bergamot
