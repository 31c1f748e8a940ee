#include "bergamot/entry/internal/view_reader.h"

#include "bergamot/base/json.h"

namespace bergamot::entry_internal
{

namespace
{

// The oldest reports go first; what they say is learned again when the request comes back.
constexpr std::size_t MostUnsent = 4096;

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

void ViewReader::ask(const std::vector<SuspectReport> &news, const Came &came)
{
    m_unsent.insert(m_unsent.end(), news.begin(), news.end());
    if (m_unsent.size() > MostUnsent && !m_isHandingOver) {
        m_unsent.erase(m_unsent.begin(), m_unsent.end() - MostUnsent);
    }
    for (const ViewSource &source : m_sources.due()) {
        ViewQuestion question{.source = source, .knownHash = m_hash};
        const bool isFollowed = source.has_value() != m_sources.followsOwn();
        if (isFollowed && !m_isHandingOver) {
            question.suspects = m_unsent;
            m_isHandingOver = true;
            m_suspectsTo = source;
            m_sent = m_unsent.size();
        }
        m_control->fetchView(question, [came, source](Result<ViewNews> answer) {
            came(source, std::move(answer));
        });
    }
}

bool ViewReader::isToBeTaken(const ViewSource &source, const Result<ViewNews> &news, TimePoint now)
{
    if (!news) {
        m_sources.failed(source);
        return false;
    }
    const std::uint64_t version = news->view ? news->view->config_version : m_configVersion;
    return m_sources.answered(source, {.age = news->age, .configVersion = version}, now);
}

std::shared_ptr<const RoutingTable>
ViewReader::take(const ViewSource &source, const Result<ViewNews> &news, TimePoint now)
{
    if (m_isHandingOver && m_suspectsTo == source) {
        const std::size_t arrived = news ? std::exchange(m_sent, 0) : 0;
        m_unsent.erase(m_unsent.begin(), m_unsent.begin() + static_cast<std::ptrdiff_t>(arrived));
        m_isHandingOver = false;
    }
    const bool didFollowOwn = m_sources.followsOwn();
    const bool isTaken = isToBeTaken(source, news, now);
    if (m_sources.followsOwn() != didFollowOwn) {
        m_log.warning(didFollowOwn ? "The control process does not answer or knows little; others are asked."
                                   : "The control process answers again and is up to date.");
    }
    return isTaken && news->view ? adopt(*news) : nullptr;
}

std::shared_ptr<const RoutingTable> ViewReader::adopt(const ViewNews &news)
{
    Result<RoutingTable> table = tableOf(*news.view);
    if (!table) {
        m_log.error("A view cannot be read: " + table.error().message);
        return nullptr;
    }
    m_hash = news.hash;
    m_configVersion = news.view->config_version;
    m_sources.setMembers(news.view->members);
    return std::make_shared<const RoutingTable>(std::move(*table));
}

bool ViewReader::followsOwn() const
{
    return m_sources.followsOwn();
}

} // namespace bergamot::entry_internal
