#include "bergamot/samples/dispatch_strategy.h"

namespace bergamot
{

const DispatchStrategy &dispatchStrategy(SampleStrategy configured)
{
    return configured == SampleStrategy::Staleness ? StalenessFirst : IdleTimeFirst;
}

} // namespace bergamot
