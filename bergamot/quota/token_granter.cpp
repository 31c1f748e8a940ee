#include "bergamot/quota/token_granter.h"

#include <algorithm>

namespace bergamot::quota
{

namespace
{

constexpr double OneToken = 1.0 - 1e-9; // refills round down
constexpr std::array<TokenUse, TokenUses> AllUses{TokenUse::Caller, TokenUse::Owed};

std::size_t index(TokenUse use)
{
    return static_cast<std::size_t>(use);
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

double granted(const LimitedEndpoint &endpoint, GrantShare share)
{
    return share == GrantShare::Whole ? endpoint.perSecond : endpoint.perSecond / 2;
}

} // namespace

TokenGranter::TokenGranter(TokenGranterOptions options)
    : m_options(options)
{ }

TokenGrant TokenGranter::grant(const TokenAsk &ask, GrantShare share, TimePoint now)
{
    forgetIdle(now);
    TokenGrant result;
    for (const LimitedEndpoint &endpoint : ask.endpoints) {
        Bucket &bucket = refill(endpoint, share, now);
        for (const TokenUse use : AllUses) {
            if (ask.wanted[index(use)] > 0) {
                bucket.askedAt[index(use)] = now;
            }
        }
        result.granted.push_back({.process = endpoint.process});
    }
    for (const TokenUse use : AllUses) {
        std::uint32_t refused = ask.wanted[index(use)];
        while (refused > 0) {
            Bucket *fullest = nullptr;
            std::size_t chosen = 0;
            for (std::size_t position = 0; position < ask.endpoints.size(); ++position) {
                Bucket &bucket = m_buckets[ask.endpoints[position].process.endpoint];
                if (fullest == nullptr || tokens(bucket, use) > tokens(*fullest, use)) {
                    fullest = &bucket;
                    chosen = position;
                }
            }
            if (fullest == nullptr || tokens(*fullest, use) < OneToken) {
                break;
            }
            spend(*fullest, use);
            ++result.granted[chosen].tokens;
            --refused;
        }
        if (refused > 0) {
            result.returns[index(use)] = returnTimes(ask, use, refused, share, now);
        }
    }
    std::erase_if(result.granted, [](const GrantedTokens &entry) {
        return entry.tokens == 0;
    });
    return result;
}

bool TokenGranter::available(const LimitedEndpoint &endpoint, TokenUse use, GrantShare share, TimePoint now)
{
    Bucket &bucket = refill(endpoint, share, now);
    bucket.askedAt[index(use)] = now;
    return tokens(bucket, use) >= OneToken;
}

bool TokenGranter::take(const LimitedEndpoint &endpoint, TokenUse use, GrantShare share, TimePoint now)
{
    if (!available(endpoint, use, share, now)) {
        return false;
    }
    spend(m_buckets[endpoint.process.endpoint], use);
    return true;
}

bool TokenGranter::takeUrgent(const LimitedEndpoint &endpoint, GrantShare share, TimePoint now)
{
    Bucket &bucket = refill(endpoint, share, now);
    if (bucket.common - 1 < -m_options.maxDebt) {
        return false;
    }
    bucket.common -= 1;
    return true;
}

void TokenGranter::clear()
{
    m_buckets.clear();
}

TokenGranter::Bucket &TokenGranter::refill(const LimitedEndpoint &endpoint, GrantShare share, TimePoint now)
{
    Bucket &bucket = m_buckets[endpoint.process.endpoint];
    if (bucket.refilledAt == TimePoint{} || bucket.incarnation != endpoint.process.incarnation) {
        bucket = Bucket{.incarnation = endpoint.process.incarnation, .refilledAt = now};
    }
    const double perSecond = granted(endpoint, share);
    const double arisen = perSecond * seconds(std::max(Duration::zero(), now - bucket.refilledAt));
    bucket.refilledAt = std::max(bucket.refilledAt, now);
    const double kept = std::max(1.0, perSecond * seconds(m_options.burst));
    for (const TokenUse use : AllUses) {
        double &reserved = bucket.reserved[index(use)];
        reserved += arisen * shareOf(use);
        const double most = std::max(1.0, kept * shareOf(use));
        bucket.common += std::max(0.0, reserved - most);
        reserved = std::min(reserved, most);
    }
    bucket.common = std::min(bucket.common, kept);
    return bucket;
}

double TokenGranter::shareOf(TokenUse use) const
{
    return use == TokenUse::Caller ? m_options.callersShare : 1 - m_options.callersShare;
}

double TokenGranter::tokens(const Bucket &bucket, TokenUse use)
{
    return bucket.reserved[index(use)] + bucket.common;
}

void TokenGranter::spend(Bucket &bucket, TokenUse use)
{
    const double fromReserved = std::min(bucket.reserved[index(use)], 1.0);
    bucket.reserved[index(use)] -= fromReserved;
    bucket.common -= 1 - fromReserved;
}

ReturnTimes
TokenGranter::returnTimes(const TokenAsk &ask, TokenUse use, std::uint32_t refused, GrantShare share, TimePoint now)
{
    const TokenUse other = use == TokenUse::Caller ? TokenUse::Owed : TokenUse::Caller;
    double perSecond = 0;
    TimePoint begin = now;
    for (const LimitedEndpoint &endpoint : ask.endpoints) {
        const Bucket &bucket = m_buckets[endpoint.process.endpoint];
        const bool competes =
            now - bucket.askedAt[index(other)] < m_options.competition && bucket.askedAt[index(other)] != TimePoint{};
        perSecond += granted(endpoint, share) * (competes ? shareOf(use) : 1.0);
        begin = std::max(begin, bucket.returnsUntil[index(use)]);
    }
    const Duration spacing = perSecond > 0 ? fromSeconds(1 / perSecond) : m_options.maxReturn;
    const Duration first = std::min(begin - now + spacing, m_options.maxReturn);
    const TimePoint until = std::min(now + first + spacing * (refused - 1), now + m_options.maxReturn);
    for (const LimitedEndpoint &endpoint : ask.endpoints) {
        m_buckets[endpoint.process.endpoint].returnsUntil[index(use)] = until;
    }
    return {.first = first, .spacing = spacing};
}

void TokenGranter::forgetIdle(TimePoint now)
{
    if (now - m_forgottenAt < m_options.forgetAfter) {
        return;
    }
    m_forgottenAt = now;
    std::erase_if(m_buckets, [&](const auto &item) {
        return now - item.second.refilledAt >= m_options.forgetAfter;
    });
}

} // namespace bergamot::quota
