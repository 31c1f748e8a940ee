#pragma once

// Keeps the entry process's view current: asks the control process, hands over suspects until they have arrived, and
// makes a routing table of each new view.

#include <memory>
#include <vector>

#include "bergamot/base/logging.h"
#include "bergamot/entry/control_link.h"
#include "bergamot/routing/routing_table.h"

namespace bergamot::entry_internal
{

/// Thread-confined, but for the callback given to `ask`.
class ViewReader
{
public:
    explicit ViewReader(std::shared_ptr<ControlLink> control);

    /// Asks unless an answer is still awaited.
    void ask(const std::vector<SuspectReport> &news, const Callback<ViewNews> &done);
    /// The table of a new view; null if nothing changed or nothing can be read. The last one then goes on.
    std::shared_ptr<const RoutingTable> take(const Result<ViewNews> &news);

private:
    std::shared_ptr<ControlLink> m_control;
    PartLogger m_log{"entry"};
    std::vector<SuspectReport> m_unsent;
    std::size_t m_sent = 0; // of `m_unsent`, in the question under way
    bool m_asking = false;
    bool m_connected = true;
    std::uint64_t m_hash = 0;
};

} // namespace bergamot::entry_internal
