#pragma once

// The owner of the pool is cut off from the store while the service of the reward calls is replaced by a new release,
// and the trainer ends the step at another machine: nothing may be run for the step any more. With no trouble nobody is
// cut off.

#include "review/standins-3/review_fleet.h"

namespace bergamot::review
{

CaseOutcome runStaleOwnerCase(const ReviewOptions &options);

} // namespace bergamot::review
