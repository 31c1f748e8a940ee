#pragma once

// Shares the limits of endpoints among all instances: grants tokens, one for each request, from one bucket per
// endpoint. One instance grants for all; the others ask it when requests wait.
//
//     TokenGranter granter;
//     const TokenGrant grant = granter.grant(ask, GrantShare::Whole, now);
//
// Load pattern: hundreds of instances and a limit of two requests a second. A fixed share of an instance would be less
// than one request in two minutes, while the instances that callers happen to reach need more than one a second. So
// tokens go to whoever has a request, and what cannot be granted gets a time to return: the times of refused requests
// are spread over the seconds in which the tokens for them arise.
//
// Callers' requests and owed ones (scoring calls and samples, which are sent again until they are answered) have a
// share of each limit that the other kind takes only if it is not used.

#include <array>
#include <map>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/base/endpoint_process.h"

namespace bergamot::quota
{

enum class TokenUse {
    Caller,
    Owed,
};

inline constexpr std::size_t TokenUses = 2;

struct LimitedEndpoint
{
    EndpointProcess process;
    double perSecond = 0;

    bool operator==(const LimitedEndpoint &) const = default;
};

/// Requests that wait at one instance for a token of any of the endpoints.
struct TokenAsk
{
    std::vector<LimitedEndpoint> endpoints;
    std::array<std::uint32_t, TokenUses> wanted{}; // by use
};

struct GrantedTokens
{
    EndpointProcess process;
    std::uint32_t tokens = 0;

    bool operator==(const GrantedTokens &) const = default;
};

/// When the requests that got no token should return: the first one after `first`, each further one `spacing` later.
struct ReturnTimes
{
    Duration first{};
    Duration spacing{};
};

struct TokenGrant
{
    std::vector<GrantedTokens> granted;
    std::array<ReturnTimes, TokenUses> returns; // by use
};

/// The part of the limits that is granted.
enum class GrantShare {
    Whole,
    Half, // another instance may be granting too
};

struct TokenGranterOptions
{
    Duration burst = std::chrono::seconds(1); // unused tokens are kept for this long
    double callersShare = 0.5; // of each limit, if owed requests compete
    Duration competition = std::chrono::seconds(2); // after an ask, its use counts as competing for this long
    Duration maxReturn = std::chrono::seconds(30); // longest time to return
    double maxDebt = 2; // tokens that urgent requests may take ahead
    Duration forgetAfter = std::chrono::minutes(1); // a bucket without asks
};

/// Deterministic; not thread-safe.
class TokenGranter
{
public:
    explicit TokenGranter(TokenGranterOptions options = {});

    TokenGrant grant(const TokenAsk &ask, GrantShare share, TimePoint now);
    /// Whether `take` would succeed.
    bool available(const LimitedEndpoint &endpoint, TokenUse use, GrantShare share, TimePoint now);
    /// Takes one token; returns false if there is none.
    bool take(const LimitedEndpoint &endpoint, TokenUse use, GrantShare share, TimePoint now);
    /// Takes one token ahead of all other requests, also one that has not arisen yet.
    bool takeUrgent(const LimitedEndpoint &endpoint, GrantShare share, TimePoint now);
    /// Forgets all buckets: another instance grants from now on.
    void clear();

private:
    struct Bucket
    {
        std::uint64_t incarnation = 0;
        std::array<double, TokenUses> reserved{}; // tokens of each use
        double common = 0; // tokens that either use left; negative: taken ahead
        TimePoint refilledAt{};
        std::array<TimePoint, TokenUses> askedAt{};
        std::array<TimePoint, TokenUses> returnsUntil{}; // the last time to return that was given
    };

    Bucket &refill(const LimitedEndpoint &endpoint, GrantShare share, TimePoint now);
    double shareOf(TokenUse use) const;
    static double tokens(const Bucket &bucket, TokenUse use);
    static void spend(Bucket &bucket, TokenUse use);
    ReturnTimes returnTimes(const TokenAsk &ask, TokenUse use, std::uint32_t refused, GrantShare share, TimePoint now);
    void forgetIdle(TimePoint now);

    TokenGranterOptions m_options;
    std::map<EndpointId, Bucket> m_buckets;
    TimePoint m_forgottenAt{};
};

} // namespace bergamot::quota
