#include "bergamot/entry/internal/view_reader.h"

#include "bergamot/base/json.h"

namespace bergamot::entry_internal
{

namespace
{

// Above this bound the oldest reports are dropped; they are reported again if their request crashes another
// endpoint.
constexpr std::size_t MaxUnsentSuspects = 4096;

Result<RoutingTable> tableOf(const inner::ViewT &view)
{
    if (view.configuration.empty()) {
        return routingTable(view, Configuration());
    }
    const Result<web::json::value> json = parseJson(view.configuration);
    if (!json) {
        return tl::unexpected(json.error());
    }
    const Result<Configuration> configuration = parseConfiguration(*json);
    if (!configuration) {
        return tl::unexpected(configuration.error());
    }
    return routingTable(view, *configuration);
}

} // namespace

ViewReader::ViewReader(InstanceId self, FailureDomainId domain, std::shared_ptr<ControlLink> control)
    : m_control(std::move(control))
    , m_sources(std::move(self), std::move(domain))
{ }

void ViewReader::requestViews(const std::vector<SuspectReport> &newSuspects, const UpdateCallback &done)
{
    m_unsentSuspects.insert(m_unsentSuspects.end(), newSuspects.begin(), newSuspects.end());
    if (m_unsentSuspects.size() > MaxUnsentSuspects && !m_suspectsInFlight) {
        m_unsentSuspects.erase(m_unsentSuspects.begin(), m_unsentSuspects.end() - MaxUnsentSuspects);
    }
    for (const ViewSource &source : m_sources.due()) {
        ViewQuery query{.source = source, .knownHash = m_hash};
        const bool isFollowed = source.has_value() != m_sources.followsLocal();
        if (isFollowed && !m_suspectsInFlight) {
            query.suspects = m_unsentSuspects;
            m_suspectsInFlight = true;
            m_suspectsReceiver = source;
            m_sentSuspects = m_unsentSuspects.size();
        }
        m_control->fetchView(query, [done, source](Result<ViewUpdate> answer) {
            done(source, std::move(answer));
        });
    }
}

bool ViewReader::isUsable(const ViewSource &source, const Result<ViewUpdate> &update, TimePoint now)
{
    if (!update) {
        m_sources.onFailure(source);
        return false;
    }
    const std::uint64_t version = update->view ? update->view->config_version : m_configVersion;
    return m_sources.onAnswer(source, {.age = update->age, .configVersion = version}, now);
}

std::shared_ptr<const RoutingTable>
ViewReader::applyUpdate(const ViewSource &source, const Result<ViewUpdate> &update, TimePoint now)
{
    if (m_suspectsInFlight && m_suspectsReceiver == source) {
        const std::size_t deliveredCount = update ? std::exchange(m_sentSuspects, 0) : 0;
        m_unsentSuspects.erase(m_unsentSuspects.begin(),
                               m_unsentSuspects.begin() + static_cast<std::ptrdiff_t>(deliveredCount));
        m_suspectsInFlight = false;
    }
    const bool followedLocal = m_sources.followsLocal();
    const bool isAccepted = isUsable(source, update, now);
    if (m_sources.followsLocal() != followedLocal) {
        m_log.warning(followedLocal ? "The local control process does not answer or its view is stale; views are "
                                      "requested from other instances."
                                    : "The local control process answers again with an up-to-date view.");
    }
    return isAccepted && update->view ? adopt(*update) : nullptr;
}

std::shared_ptr<const RoutingTable> ViewReader::adopt(const ViewUpdate &update)
{
    Result<RoutingTable> table = tableOf(*update.view);
    if (!table) {
        m_log.error("Cannot parse a view: " + table.error().message);
        return nullptr;
    }
    m_hash = update.hash;
    m_configVersion = update.view->config_version;
    m_sources.setMembers(update.view->members);
    return std::make_shared<const RoutingTable>(std::move(*table));
}

bool ViewReader::followsLocal() const
{
    return m_sources.followsLocal();
}

} // namespace bergamot::entry_internal
