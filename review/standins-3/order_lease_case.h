#pragma once

// The store loses answers to writes while a version is loaded, and the machine that has just ordered an engine to load
// it is restarted: orders of two holders must stay `lease_ms` apart.

#include "review/standins-3/review_fleet.h"

namespace bergamot::review
{

CaseOutcome runOrderLeaseCase(const ReviewOptions &options);

} // namespace bergamot::review
