// How requests are placed, and what this instance tells others of endpoints in need.

#include <array>
#include <cstdio>

#include "bergamot/node/node.h"

namespace bergamot::node
{

namespace
{

std::string decimal(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", value);
    return text.data();
}

} // namespace

void Node::choosePlacement()
{
    const bool places = m_options.placement == Placement::ByCompletion
        || (m_options.placement == Placement::Automatic
            && (m_slownessReported || m_view.configuration().tenants().has_value()));
    if (places != m_placesByCompletion) {
        m_placesByCompletion = places;
        m_log.write(EventKind::State,
                    "placement",
                    {{"by", places ? "completion" : "domain"},
                     {"slowness_reported", m_slownessReported ? "yes" : "no"},
                     {"tenants", m_view.configuration().tenants() ? "yes" : "no"}});
        m_forwarder.setPlacesByCompletion(places);
    }
}

void Node::shareOutlooks(TimePoint now)
{
    if (!m_placesByCompletion || !m_pool.active()) {
        return;
    }
    const auto message = m_outlookSharing.due(m_forwarder.outlooks(now), now);
    if (!message) {
        return;
    }
    const cost::SharedOutlook &worst = message->front();
    m_log.write(EventKind::State,
                "endpoints-in-need",
                {{"endpoints", std::to_string(message->size())},
                 {"worst", worst.process.endpoint.value()},
                 {"slowness", decimal(worst.outlook.slowness)},
                 {"queued", decimal(worst.outlook.queued)}});
    m_batchLog.shareOutlooks(*message);
}

} // namespace bergamot::node
