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

ViewReader::ViewReader(std::shared_ptr<ControlLink> control)
    : m_control(std::move(control))
{ }

void ViewReader::ask(const std::vector<SuspectReport> &news, const Callback<ViewNews> &done)
{
    m_unsent.insert(m_unsent.end(), news.begin(), news.end());
    if (m_asking) {
        return;
    }
    if (m_unsent.size() > MostUnsent) {
        m_unsent.erase(m_unsent.begin(), m_unsent.end() - MostUnsent);
    }
    m_asking = true;
    m_sent = m_unsent.size();
    m_control->fetchView(m_hash, m_unsent, done);
}

std::shared_ptr<const RoutingTable> ViewReader::take(const Result<ViewNews> &news)
{
    m_asking = false;
    if (news.has_value() != m_connected) {
        m_connected = news.has_value();
        m_log.warning(m_connected ? "The control process answers again."
                                  : "The control process does not answer; the last view goes on.");
    }
    if (!news) {
        return nullptr;
    }
    m_unsent.erase(m_unsent.begin(), m_unsent.begin() + static_cast<std::ptrdiff_t>(m_sent));
    m_sent = 0;
    if (news->view == nullptr) {
        return nullptr;
    }
    Result<RoutingTable> table = tableOf(*news->view);
    if (!table) {
        m_log.error("A view cannot be read: " + table.error().message);
        return nullptr;
    }
    m_hash = news->hash;
    return std::make_shared<const RoutingTable>(std::move(*table));
}

} // namespace bergamot::entry_internal
