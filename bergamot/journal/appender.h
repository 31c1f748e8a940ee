#pragma once

// Appends of this process to the log: batched under a budget, each with its own id, sent again with the same id when
// an answer is lost.

#include <string>

#include "bergamot/base/error.h"
#include "bergamot/base/ids.h"
#include "bergamot/platform/log.h"

namespace bergamot
{

/// Thread-safe.
class Appender
{
public:
    virtual ~Appender() = default;

    /// Queues one record. `done` gets its offset; `Unavailable` if it was never appended and will not be; `Unknown`
    /// if the time limit passed without proof (it is not sent again after that). Returns the id under which readers
    /// will see it.
    virtual RecordId
    append(const std::string &stream, std::string kind, std::string payload, Callback<Offset> done) = 0;
};

} // namespace bergamot
