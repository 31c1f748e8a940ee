#pragma once

// The tokens of one instance: those that it was granted and has not used, and what it may use while nobody grants.
//
//     TokenPurse purse;
//     purse.add({process, 2}, now);
//     if (purse.has(process, now)) { purse.spend(process, now); }
//
// Load pattern: the granting instance is gone, paused or cut off. Each instance goes on at the rate at which it was
// granted tokens in the seconds before; the rates of all instances add up to the limit. An instance that was granted
// none sends nothing.

#include <deque>
#include <functional>
#include <map>

#include "bergamot/base/clock.h"
#include "bergamot/quota/token_granter.h"

namespace bergamot::quota
{

struct TokenPurseOptions
{
    Duration validity = std::chrono::seconds(1); // of a granted token
    Duration aloneFor = std::chrono::seconds(1); // after an ask failed, until the next one is needed
    Duration history = std::chrono::seconds(10); // over which the rate without a granter is measured
};

/// Not thread-safe.
class TokenPurse
{
public:
    explicit TokenPurse(TokenPurseOptions options = {});

    void add(const GrantedTokens &granted, TimePoint now);
    bool has(const EndpointProcess &process, TimePoint now) const;
    /// Uses a token if there is one.
    void spend(const EndpointProcess &process, TimePoint now);
    /// The granting instance has answered.
    void granterAnswered();
    /// The granting instance did not answer, or there is none.
    void granterFailed(TimePoint now);
    void retain(const std::function<bool(const EndpointId &)> &present);

private:
    struct Endpoint
    {
        std::uint64_t incarnation = 0;
        std::deque<TimePoint> grantedAt; // tokens that were granted and not used
        std::deque<TimePoint> spentAt; // within the history
        double ownRate = 0; // tokens a second without a granter
        double ownTokens = 0; // at `countedAt`
        TimePoint countedAt{};
    };

    /// Whether the own rate may be used.
    bool alone(TimePoint now) const;
    double ownTokens(const Endpoint &endpoint, TimePoint now) const;

    TokenPurseOptions m_options;
    std::map<EndpointId, Endpoint> m_endpoints;
    bool m_alone = false; // nobody has granted since the last ask that failed
    TimePoint m_failedAt{}; // of that ask
};

} // namespace bergamot::quota
