#pragma once

// Keeps this instance, and together with the others all instances, within the limits that endpoints name. The owner of
// the engine pool grants tokens to all instances; this is the I/O layer around `NamedLimits`, `TokenGranter` and
// `TokenPurse`.
//
//     QuotaExchange quota(loop, client, log, eventLog, {}, seed);
//     quota.heardAnswer(process, 200, limit);         // from the head of any answer of an endpoint
//     quota.request(tokenRequest, [&](const auto &returns) { ... });
//
// While the owner is gone or does not answer, an instance goes on at the rate at which it was granted tokens before. An
// owner that cannot be sure that it still is the owner grants half of each limit: with the whole limit of a successor
// that is one and a half times the limit at most.

#include <array>
#include <functional>

#include <boost/asio/io_context.hpp>

#include "bergamot/base/event_log.h"
#include "bergamot/net/whole_answer.h"
#include "bergamot/node/batch_log.h"
#include "bergamot/quota/dispatch_gate.h"
#include "bergamot/quota/named_limits.h"
#include "bergamot/quota/token_granter.h"
#include "bergamot/quota/token_purse.h"
#include "bergamot/routing/router.h"

namespace bergamot::node
{

struct QuotaExchangeOptions
{
    Duration askTimeout = std::chrono::milliseconds(150); // for the owner's answer; requests wait for it
    Duration askPause = std::chrono::milliseconds(250); // after an unanswered ask, none is sent for this long
    Duration returnWithoutGranter = std::chrono::seconds(1); // for requests that are refused meanwhile
    quota::NamedLimitsOptions limits;
    quota::TokenGranterOptions granter;
    quota::TokenPurseOptions purse;
};

/// Path of the requests for tokens that one instance sends to another.
inline constexpr std::string_view TokensPath = "/tokens";

/// Of the owner's calls to an engine about its load.
enum class CallPriority {
    AsRequests,
    AheadOfRequests,
};

/// As a gate, it admits the requests of this instance's router. Not thread-safe.
class QuotaExchange final : public quota::DispatchGate
{
public:
    using Returns = std::array<quota::ReturnTimes, quota::TokenUses>;

    QuotaExchange(boost::asio::io_context &loop,
                  net::HttpClient &client,
                  BatchLog &log,
                  EventLog &eventLog,
                  QuotaExchangeOptions options,
                  std::uint64_t seed);
    ~QuotaExchange() override;

    bool limitsAny() const override;
    bool limits(const EndpointProcess &process) const override;
    bool admits(const EndpointProcess &process, TimePoint now) const override;
    void dispatched(const EndpointProcess &process, TimePoint now) override;
    /// The gate for samples, which only the owner of the pool sends.
    quota::DispatchGate &sampleGate();
    /// Takes a token for an order or a report request of the owner. Returns false if the engine may not be called now.
    bool takeForCall(const EndpointProcess &process, CallPriority priority, TimePoint now);

    /// Takes a token of one of the processes for a scoring call of the owner. Returns false if all of them are limited
    /// and none has a token. Scoring calls then wait in the order in which their results are wanted.
    bool takeForScoring(const std::vector<EndpointProcess> &processes);

    /// The head of an answer arrived; `limit` is the value of its header field, empty without one.
    void heardAnswer(const EndpointProcess &process, int status, std::string_view limit);
    /// A report of an instance was read from the log.
    void applyReport(const quota::LimitReport &report);
    /// Forgets endpoints for which `present` returns false.
    void retain(const std::function<bool(const EndpointId &)> &present);
    /// Reports to all instances what this one has heard. Call it often.
    void tick(TimePoint now);

    /// Requests tokens; `done` runs later, when those that were granted can be used.
    void request(const TokenRequest &request, std::function<void(const Returns &)> done);
    struct Counts
    {
        std::size_t limitedEndpoints = 0;
        std::uint64_t grantedTokens = 0; // by this instance, to all instances, since its start
        std::uint64_t refusedTokens = 0;
    };
    Counts counts() const;

    /// Answers the request of another instance for tokens.
    net::Response answer(const std::string &body);

private:
    class SampleGate;

    quota::GrantShare share(TimePoint now) const;
    std::optional<quota::LimitedEndpoint> limited(const EndpointProcess &process) const;
    /// Grants tokens to this or another instance.
    quota::TokenGrant grant(const quota::TokenAsk &ask);
    /// Logs why requests of this instance get no token.
    void writeShortage(const quota::TokenAsk &ask, const quota::TokenGrant &grant);
    void askOwner(const quota::TokenAsk &ask, std::function<void(const Returns &)> done);
    void handleOwnerAnswer(const Address &owner,
                           const quota::TokenAsk &ask,
                           const net::WholeAnswer &answer,
                           const std::function<void(const Returns &)> &done);
    void applyGrant(const quota::TokenGrant &grant);
    /// Nobody grants for now; `reason` goes to the log.
    void granterFailed(std::string_view reason, const std::function<void(const Returns &)> &done);
    void granterAnswered();

    boost::asio::io_context &m_loop;
    net::HttpClient &m_client;
    BatchLog &m_log;
    EventLog &m_eventLog;
    QuotaExchangeOptions m_options;
    quota::NamedLimits m_limits;
    mutable quota::TokenGranter m_granter; // a check refills its buckets
    quota::TokenPurse m_purse;
    std::unique_ptr<SampleGate> m_sampleGate;
    TimePoint m_failedAt{}; // the last ask that was not answered
    std::uint64_t m_grantedTokens = 0;
    std::uint64_t m_refusedTokens = 0;
    bool m_granterLost = false;
};

} // namespace bergamot::node
