#pragma once

// Drops second copies of records, for folds. An append whose answer was lost is sent again with the same id, and
// either copy may reach the log late; the first copy in log order counts.
//
//     if (!m_dedup.admit(stored)) {
//         return; // seen before
//     }
//
// A `BatchingAppender` sends the records of one stream in the order of their sequence and starts a later one only when
// the earlier ones are settled. So one number for each incarnation of a writer is enough: a record at or below it is a
// second copy, or one that its writer had already given up as `Unknown`. Both are dropped, on every instance alike.

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
    /// How many incarnations of writers are remembered. The one that has been silent for longest is forgotten first.
    static constexpr std::size_t MaxIncarnations = 1024;

    /// True for the first copy. Call once for each record, by rising offset.
    bool admit(const StoredRecord &stored);

    web::json::value toJson() const;
    /// Replaces the state; unchanged on an error.
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

    void remember(const Incarnation &incarnation, Latest latest);

    std::map<Incarnation, Latest> m_latest;
    std::map<Offset, Incarnation> m_byOffset;
};

} // namespace bergamot
