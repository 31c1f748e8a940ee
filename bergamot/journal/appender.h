#pragma once

// Interface for appending records to the log. Appends are batched and rate-limited, each record has its own id, and a
// record whose answer is lost is resent with the same id.

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

    /// Queues one record and returns the id under which readers see it. `done` receives the record's offset, or an
    /// error: `Unavailable` if the record was not appended and will not be, `Unknown` if the deadline passed and the
    /// record may have been appended (it is not resent after that).
    virtual RecordId
    append(const std::string &stream, std::string kind, std::string payload, Callback<Offset> done) = 0;
};

} // namespace bergamot
