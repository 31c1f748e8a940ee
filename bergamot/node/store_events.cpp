#include "bergamot/node/store_events.h"

namespace bergamot::node
{

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void writeStoreLost(EventLog &log, std::string_view view, const logstore::TailOutage &outage)
{
    log.write(EventKind::State,
              "store-lost",
              {{"view", std::string(view)},
               {"call", "read"},
               {"offset", std::to_string(outage.nextOffset)},
               {"records", std::to_string(outage.records)},
               {"tries", std::to_string(outage.tries)},
               {"error", outage.lastError.empty() ? "no response yet" : outage.lastError}});
}

void writeStoreReturned(EventLog &log, std::string_view view, Duration outage)
{
    log.write(EventKind::State, "store-returned", {{"view", std::string(view)}, {"after_ms", milliseconds(outage)}});
}

} // namespace bergamot::node
