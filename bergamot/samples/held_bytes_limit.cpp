#include "bergamot/samples/held_bytes_limit.h"

#include <algorithm>

namespace bergamot
{

std::size_t HoldingLimit::room(const Holding &holding) const
{
    const std::size_t common = m_maxBytes / 2;
    const std::size_t guaranteed = common / std::max<std::size_t>(holding.trainers, 1);
    const std::size_t ofCommon = common - std::min(common, holding.all);
    const std::size_t ofGuaranteed = guaranteed - std::min(guaranteed, holding.own);
    return std::max(ofCommon, ofGuaranteed);
}

} // namespace bergamot
