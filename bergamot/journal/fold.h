#pragma once

// State computed as a fold over one stream of the log. Every instance applies the same records in offset order and
// therefore reaches the same state. A checkpoint lets a reader start when earlier records have expired.
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

/// Implementations are deterministic, read no clock and are not thread-safe. A record that cannot be parsed changes
/// nothing but `applied`.
class StreamFold
{
public:
    virtual ~StreamFold() = default;

    /// Applies the record at `applied() + 1`; the caller must keep this order. The fold ignores further copies of a
    /// record with the same `RecordId`.
    virtual void apply(const StoredRecord &stored) = 0;
    /// The offset of the last record applied; 0 before the first.
    virtual Offset applied() const = 0;
    /// The whole state as JSON, identical on every instance at the same offset.
    virtual std::string checkpoint() const = 0;
    /// Replaces the state with a checkpoint taken at `offset`. Returns `Conflict` if `offset` is below `applied()`,
    /// because the offset of the state must never decrease. On an error the state is unchanged.
    virtual Result<void> restore(const std::string &checkpoint, Offset offset) = 0;
};

} // namespace bergamot
