#include "bergamot/samples/held_bytes_limit.h"

#include <algorithm>

namespace bergamot
{

std::size_t HeldBytesLimit::remaining(const HeldBytes &held) const
{
    const std::size_t common = m_maxBytes / 2;
    const std::size_t guaranteed = common / std::max<std::size_t>(held.trainers, 1);
    const std::size_t ofCommon = common - std::min(common, held.total);
    const std::size_t ofGuaranteed = guaranteed - std::min(guaranteed, held.ofTrainer);
    return std::max(ofCommon, ofGuaranteed);
}

} // namespace bergamot
