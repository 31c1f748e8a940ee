#pragma once

// Where an engine stand-in fetches weights from. The weight store stand-in implements it.

#include <string>

#include "bergamot/base/clock.h"
#include "bergamot/base/error.h"
#include "bergamot/base/ids.h"

namespace bergamot
{

/// Single-threaded.
class WeightSource
{
public:
    virtual ~WeightSource() = default;
    /// Starts a fetch of `engine`; the result is how long it takes. `Overloaded` if too many fetch at once,
    /// `NotFound` if the version is not published.
    virtual Result<Duration>
    beginFetch(const std::string &engine, const ModelId &model, WeightVersion version, TimePoint now) = 0;
    /// Ends the fetch of `engine`, whole or not; without one, nothing happens.
    virtual void endFetch(const std::string &engine) = 0;
};

} // namespace bergamot
