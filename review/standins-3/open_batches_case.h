#pragma once

// Trainers have large batches open, each within the limit of the configuration: the process of the pool's owner must
// stay within the memory of its machine.

#include "review/standins-3/review_fleet.h"

namespace bergamot::review
{

CaseOutcome runOpenBatchesCase(const ReviewOptions &options);

} // namespace bergamot::review
