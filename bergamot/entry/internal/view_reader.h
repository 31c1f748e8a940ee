#pragma once

// Keeps the entry process's view current: asks the control processes, hands over suspects until they have arrived, and
// makes a routing table of each new view.

#include <functional>
#include <memory>
#include <vector>

#include "bergamot/base/logging.h"
#include "bergamot/entry/internal/view_sources.h"
#include "bergamot/routing/routing_view.h"

namespace bergamot::entry_internal
{

/// Thread-confined, but for the callback given to `ask`.
class ViewReader
{
public:
    using Came = std::function<void(const ViewSource &source, Result<ViewNews> news)>;

    ViewReader(InstanceId self, FailureDomainId domain, std::shared_ptr<ControlLink> control);

    /// Asks those whose answer is not still awaited.
    void ask(const std::vector<SuspectReport> &news, const Came &came);
    /// The table of a new view; null if nothing changed, nothing can be read, or the view is older than the one in use.
    /// The last one then goes on.
    std::shared_ptr<const RoutingTable> take(const ViewSource &source, const Result<ViewNews> &news, TimePoint now);
    /// False while another instance's control process is asked too.
    bool followsOwn() const;

private:
    bool isToBeTaken(const ViewSource &source, const Result<ViewNews> &news, TimePoint now);
    std::shared_ptr<const RoutingTable> adopt(const ViewNews &news);

    std::shared_ptr<ControlLink> m_control;
    ViewSources m_sources;
    ComponentLogger m_log{"entry"};
    std::vector<SuspectReport> m_unsent;
    bool m_isHandingOver = false; // a question under way, to `m_suspectsTo`, carries `m_sent` of `m_unsent`
    ViewSource m_suspectsTo;
    std::size_t m_sent = 0;
    std::uint64_t m_hash = 0;
    std::uint64_t m_configVersion = 0;
};

} // namespace bergamot::entry_internal
