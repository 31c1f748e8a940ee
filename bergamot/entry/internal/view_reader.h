#pragma once

// Keeps the entry process's view current: requests views from the control processes, reports suspects until they are
// delivered, and builds a routing table from each new view.

#include <functional>
#include <memory>
#include <vector>

#include "bergamot/base/logging.h"
#include "bergamot/entry/internal/view_sources.h"
#include "bergamot/routing/routing_view.h"

namespace bergamot::entry_internal
{

/// To be used on one thread; the callback passed to `requestViews` runs on any thread.
class ViewReader
{
public:
    using UpdateCallback = std::function<void(const ViewSource &source, Result<ViewUpdate> update)>;

    ViewReader(InstanceId self, FailureDomainId domain, std::shared_ptr<ControlLink> control);

    /// Requests a view from each polled source that has no request pending. The suspects not yet delivered, among them
    /// `newSuspects`, go with the request to the source in use.
    void requestViews(const std::vector<SuspectReport> &newSuspects, const UpdateCallback &done);
    /// The routing table of a new view. Null if the request failed, or if the view is unchanged, unreadable or
    /// older than the one in use; the last table then stays in use.
    std::shared_ptr<const RoutingTable>
    applyUpdate(const ViewSource &source, const Result<ViewUpdate> &update, TimePoint now);
    /// False while the control process of another instance is asked too.
    bool followsLocal() const;

private:
    bool isUsable(const ViewSource &source, const Result<ViewUpdate> &update, TimePoint now);
    std::shared_ptr<const RoutingTable> adopt(const ViewUpdate &update);

    std::shared_ptr<ControlLink> m_control;
    ViewSources m_sources;
    ComponentLogger m_log{"entry"};
    std::vector<SuspectReport> m_unsentSuspects;
    // While true, a pending request to `m_suspectsReceiver` carries the first `m_sentSuspects` of `m_unsentSuspects`.
    bool m_suspectsInFlight = false;
    ViewSource m_suspectsReceiver;
    std::size_t m_sentSuspects = 0;
    std::uint64_t m_hash = 0;
    std::uint64_t m_configVersion = 0;
};

} // namespace bergamot::entry_internal
