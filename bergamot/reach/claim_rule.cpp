#include "bergamot/reach/claim_rule.h"

namespace bergamot::reach
{

ClaimRule::ClaimRule(ClaimRuleOptions options)
    : m_options(options)
{ }

ClaimVerdict ClaimRule::update(ClaimPhase phase, const ReachesSince &reachesSince, TimePoint now)
{
    if (phase == ClaimPhase::NotDue) {
        m_soonAt = {};
        m_putOffAt = {};
        return ClaimVerdict::NotDue;
    }
    if (m_soonAt == TimePoint{}) {
        m_soonAt = now;
    }
    const bool reaches = reachesSince(m_soonAt);
    if (phase == ClaimPhase::Soon) {
        return ClaimVerdict::NotDue;
    }
    if (reaches) {
        m_putOffAt = {};
        return ClaimVerdict::Allowed;
    }
    if (m_putOffAt == TimePoint{}) {
        m_putOffAt = now;
    }
    return now - m_putOffAt >= m_options.longestPutOff ? ClaimVerdict::Allowed : ClaimVerdict::PutOff;
}

} // namespace bergamot::reach
