#include "bergamot/load/published_versions.h"

#include <algorithm>

namespace bergamot
{

namespace
{

constexpr WeightVersion FirstVersion = 1;

} // namespace

void PublishedVersions::published(const ModelId &model, WeightVersion version)
{
    const std::lock_guard lock(m_mutex);
    WeightVersion &newest = m_newest.try_emplace(model, FirstVersion).first->second;
    newest = std::max(newest, version);
}

WeightVersion PublishedVersions::newest(const ModelId &model) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_newest.find(model);
    return found == m_newest.end() ? FirstVersion : found->second;
}

} // namespace bergamot
