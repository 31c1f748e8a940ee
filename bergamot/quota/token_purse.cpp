#include "bergamot/quota/token_purse.h"

#include <algorithm>

namespace bergamot::quota
{

namespace
{

constexpr double OneToken = 1.0 - 1e-9; // sums round down

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

TokenPurse::TokenPurse(TokenPurseOptions options)
    : m_options(options)
{ }

void TokenPurse::add(const GrantedTokens &granted, TimePoint now)
{
    Endpoint &endpoint = m_endpoints[granted.process.endpoint];
    if (endpoint.incarnation != granted.process.incarnation) {
        endpoint = Endpoint{.incarnation = granted.process.incarnation};
    }
    endpoint.grantedAt.insert(endpoint.grantedAt.end(), granted.tokens, now);
}

bool TokenPurse::has(const EndpointProcess &process, TimePoint now) const
{
    const auto found = m_endpoints.find(process.endpoint);
    if (found == m_endpoints.end() || found->second.incarnation != process.incarnation) {
        return false;
    }
    const Endpoint &endpoint = found->second;
    const bool granted = !endpoint.grantedAt.empty() && now - endpoint.grantedAt.back() <= m_options.validity;
    return granted || (alone(now) && ownTokens(endpoint, now) >= OneToken);
}

void TokenPurse::spend(const EndpointProcess &process, TimePoint now)
{
    const auto found = m_endpoints.find(process.endpoint);
    if (found == m_endpoints.end() || found->second.incarnation != process.incarnation) {
        return;
    }
    Endpoint &endpoint = found->second;
    while (!endpoint.grantedAt.empty() && now - endpoint.grantedAt.front() > m_options.validity) {
        endpoint.grantedAt.pop_front();
    }
    if (!endpoint.grantedAt.empty()) {
        endpoint.grantedAt.pop_front();
        endpoint.spentAt.push_back(now);
    } else if (alone(now)) {
        endpoint.ownTokens = ownTokens(endpoint, now) - 1;
        endpoint.countedAt = now;
    }
    while (!endpoint.spentAt.empty() && now - endpoint.spentAt.front() > m_options.history) {
        endpoint.spentAt.pop_front();
    }
}

void TokenPurse::granterAnswered()
{
    m_alone = false;
}

void TokenPurse::granterFailed(TimePoint now)
{
    m_failedAt = now;
    if (m_alone) {
        return;
    }
    m_alone = true;
    for (auto &[id, endpoint] : m_endpoints) {
        const auto recent = std::count_if(endpoint.spentAt.begin(), endpoint.spentAt.end(), [&](TimePoint at) {
            return now - at <= m_options.history;
        });
        if (recent > 0) {
            // Otherwise the rate of an earlier time without a granter goes on.
            endpoint.ownRate = static_cast<double>(recent) / seconds(m_options.history);
        }
        endpoint.ownTokens = 0;
        endpoint.countedAt = now;
    }
}

bool TokenPurse::alone(TimePoint now) const
{
    return m_alone && now - m_failedAt <= m_options.aloneFor;
}

double TokenPurse::ownTokens(const Endpoint &endpoint, TimePoint now) const
{
    const double arisen = endpoint.ownRate * seconds(now - endpoint.countedAt);
    return std::min(endpoint.ownTokens + arisen, std::max(1.0, endpoint.ownRate));
}

void TokenPurse::retain(const std::function<bool(const EndpointId &)> &present)
{
    std::erase_if(m_endpoints, [&](const auto &item) {
        return !present(item.first);
    });
}

} // namespace bergamot::quota
