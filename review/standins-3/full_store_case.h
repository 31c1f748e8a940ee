#pragma once

// A trainer requests steps with long prompts, three ahead, until the platform's store is full; then the process of the
// pool's owner is killed once. With no trouble the prompts are short, the store never fills, and the kill comes by
// time.

#include "review/standins-3/review_fleet.h"

namespace bergamot::review
{

CaseOutcome runFullStoreCase(const ReviewOptions &options);

} // namespace bergamot::review
