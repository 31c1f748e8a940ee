#pragma once

// The router's state of one target: its endpoints, the admission queue, the retry and hedge budgets, and the endpoints
// that are reserved for suspects.

#include <deque>
#include <functional>
#include <memory>

#include "bergamot/cost/latency_quantile.h"
#include "bergamot/routing/admission_queue.h"
#include "bergamot/routing/endpoint_pool.h"
#include "bergamot/routing/retry_budget.h"

namespace bergamot
{

struct TargetOptions
{
    EndpointPoolOptions pool;
    AdmissionQueueOptions queue;
    ShareBudgetOptions retries{.share = 0.06, .initialBudget = 10, .maxBudget = 50};
    ShareBudgetOptions hedges{.share = 0.03, .initialBudget = 1, .maxBudget = 20};
    double hedgeQuantile = 0.97; // a request that takes longer than this quantile of latencies is hedged
    std::function<std::unique_ptr<ChoiceStrategy>()> strategy; // null: SampledChoice
};

/// An endpoint that is reserved for one suspect, which runs there alone.
struct QuarantineReservation
{
    std::size_t slot = 0;
    RequestId request = 0;
    bool running = false;
};

/// Requests for which tokens have been requested.
struct TokenWait
{
    std::uint64_t id = 0;
    std::vector<RequestId> requests;
};

struct TargetState
{
    explicit TargetState(const TargetOptions &options)
        : pool(options.pool, options.strategy ? options.strategy() : std::make_unique<SampledChoice>())
        , queue(options.queue)
        , retries(options.retries)
        , hedges(options.hedges)
        , unitLatencyQuantile(options.hedgeQuantile)
    { }

    /// The `hedgeQuantile` of the latency of a request of size `work`; zero before the first answer.
    Duration usualLatency(double work) const
    {
        return std::chrono::duration_cast<Duration>(unitLatencyQuantile.value() * std::max(1.0, work));
    }

    ServiceTimes serviceTimes() const
    {
        const auto width = std::max<std::uint32_t>(1, pool.inFlight());
        return {.interval = pool.requestDuration() / width, .service = pool.requestDuration()};
    }

    EndpointPool pool;
    AdmissionQueue queue;
    ShareBudget retries;
    ShareBudget hedges;
    LatencyQuantile unitLatencyQuantile;
    std::deque<RequestId> suspects;
    std::deque<RequestId> resumptions; // wait for an endpoint of their software version; some may have ended
    std::vector<QuarantineReservation> reservations;
    std::optional<TokenWait> tokenWait; // while tokens are requested
};

} // namespace bergamot
