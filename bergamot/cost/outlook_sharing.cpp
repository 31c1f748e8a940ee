#include "bergamot/cost/outlook_sharing.h"

#include <algorithm>
#include <cmath>

namespace bergamot::cost
{

namespace
{

const SharedOutlook *find(const std::vector<SharedOutlook> &outlooks, const EndpointProcess &process)
{
    const auto found = std::find_if(outlooks.begin(), outlooks.end(), [&process](const SharedOutlook &entry) {
        return entry.process == process;
    });
    return found == outlooks.end() ? nullptr : &*found;
}

bool differs(const ToldOutlook &left, const ToldOutlook &right, double share)
{
    return std::abs(left.slowness - right.slowness) > share * right.slowness
        || std::abs(left.queued - right.queued) > std::max(1.0, share * right.queued);
}

} // namespace

bool OutlookSharing::needy(const ToldOutlook &outlook) const
{
    return outlook.slowness >= m_options.needySlowness || outlook.queued >= 1;
}

std::optional<std::vector<SharedOutlook>> OutlookSharing::due(const std::vector<SharedOutlook> &known, TimePoint now)
{
    if (m_toldAt != TimePoint() && now - m_toldAt < m_options.interval) {
        return std::nullopt;
    }
    std::vector<SharedOutlook> message;
    bool changed = false;
    for (const SharedOutlook &entry : known) {
        const SharedOutlook *before = find(m_told, entry.process);
        const bool wasNeedy = before != nullptr && needy(before->outlook);
        if (!needy(entry.outlook) && !wasNeedy) {
            continue;
        }
        message.push_back(entry);
        changed = changed || before == nullptr || differs(entry.outlook, before->outlook, m_options.changeToTell);
    }
    if (message.empty()) {
        m_told.clear();
        return std::nullopt;
    }
    if (!changed && now - m_toldAt < m_options.repeatAfter) {
        return std::nullopt;
    }
    std::stable_sort(message.begin(), message.end(), [](const SharedOutlook &left, const SharedOutlook &right) {
        return left.outlook.slowness * (1 + left.outlook.queued) > right.outlook.slowness * (1 + right.outlook.queued);
    });
    message.resize(std::min(message.size(), m_options.maxEndpoints));
    m_told = message;
    m_toldAt = now;
    return message;
}

} // namespace bergamot::cost
