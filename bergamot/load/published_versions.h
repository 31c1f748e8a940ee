#pragma once

// The newest weights that the run has published of each model: trainers that share engines learn of them here, as they
// would from the one that publishes.
//
//     versions.published(ModelId("ordering-agent"), 4);
//     const WeightVersion newest = versions.newest(ModelId("ordering-agent"));

#include <map>
#include <mutex>

#include "bergamot/base/ids.h"

namespace bergamot
{

/// Thread-safe.
class PublishedVersions
{
public:
    /// A version below the newest one changes nothing.
    void published(const ModelId &model, WeightVersion version);
    /// 1 if none was published during the run.
    WeightVersion newest(const ModelId &model) const;

private:
    mutable std::mutex m_mutex;
    std::map<ModelId, WeightVersion> m_newest;
};

} // namespace bergamot
