#pragma once

#include "review/standins-3/review_fleet.h"

namespace bergamot::review
{

/// A trainer requests steps with prompts of 96 KiB, one ahead, until the platform's store is full. With no trouble the
/// prompts are small.
CaseOutcome runFullStoreCase(const ReviewOptions &options);

} // namespace bergamot::review
