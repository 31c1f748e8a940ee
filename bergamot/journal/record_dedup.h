#pragma once

// Drops duplicate records for folds. An append whose answer was lost is resent with the same record id, and either copy
// may reach the log late; the first copy in log order is the valid one.
//
//     if (!m_dedup.admit(stored)) {
//         return; // duplicate
//     }
//
// A `BatchingAppender` sends the records of one stream in sequence order, and sends a record only when all earlier ones
// have a final outcome. It is therefore enough to keep the highest sequence number of each writer incarnation: a record
// at or below it is a duplicate, or was already reported to its writer as `Unknown`. Both are dropped, and every
// instance drops the same records.

#include <map>
#include <set>
#include <string>
#include <utility>

#include <cpprest/json.h>

#include "bergamot/base/error.h"
#include "bergamot/platform/log.h"

namespace bergamot
{

/// Deterministic; not thread-safe. Part of a fold's state and so of its checkpoint.
class RecordDedup
{
public:
    /// Maximum number of writer incarnations tracked. Above it, the one whose newest record is oldest is evicted.
    static constexpr std::size_t MaxIncarnations = 1024;

    /// Returns true for the first copy of a record. Call once for each record, in offset order.
    bool admit(const StoredRecord &stored);

    web::json::value toJson() const;
    /// Replaces the state. On an error the state is unchanged.
    Result<void> restore(const web::json::value &json);

    bool operator==(const RecordDedup &) const = default;

private:
    using Incarnation = std::pair<std::string, std::uint64_t>;
    struct Latest
    {
        std::uint64_t sequence = 0;
        Offset offset = 0;

        bool operator==(const Latest &) const = default;
    };

    void store(const Incarnation &incarnation, Latest latest);

    std::map<Incarnation, Latest> m_latest; // newest admitted record of each incarnation
    std::map<Offset, Incarnation> m_byOffset; // incarnation by the offset of its newest admitted record
};

} // namespace bergamot
