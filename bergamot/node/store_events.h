#pragma once

// Log lines about the loss and the return of the store, the same for each view that follows it.
//
//     writeStoreLost(log, "batches", outage);

#include <string>
#include <string_view>

#include "bergamot/base/event_log.h"
#include "bergamot/logstore/topic_tail.h"

namespace bergamot::node
{

/// The duration in whole milliseconds.
std::string milliseconds(Duration duration);

/// Logs that `view` gets no response from the store: which call, at which offset, after how many records and tries.
void writeStoreLost(EventLog &log, std::string_view view, const logstore::TailOutage &outage);
/// Logs that the store responds to `view` again, `outage` after its last response.
void writeStoreReturned(EventLog &log, std::string_view view, Duration outage);

} // namespace bergamot::node
