#pragma once

// State as a fold over one stream of the log. Every instance applies the same records in offset order and so arrives
// at the same state; a checkpoint lets a reader start after records have expired.
//
//     for (const StoredRecord &stored : page.records) {
//         fold.apply(stored);
//     }

#include <string>

#include "bergamot/base/error.h"
#include "bergamot/base/ids.h"
#include "bergamot/platform/log.h"

namespace bergamot
{

/// Deterministic, single-threaded, without clock. A record that it cannot read changes nothing but `applied`.
class StreamFold
{
public:
    virtual ~StreamFold() = default;

    /// Applies the record at `applied() + 1`. The caller keeps to that order; second copies of a `RecordId` are
    /// dropped by the fold.
    virtual void apply(const StoredRecord &stored) = 0;
    /// The offset of the last record applied; 0 before the first.
    virtual Offset applied() const = 0;
    /// The whole state as JSON text, equal on every instance at the same offset.
    virtual std::string checkpoint() const = 0;
    /// Replaces the state by a checkpoint that stood at `offset`. `Conflict` if `offset` is below `applied()`:
    /// versions never fall. On an error the state is unchanged.
    virtual Result<void> restore(const std::string &checkpoint, Offset offset) = 0;
};

} // namespace bergamot
