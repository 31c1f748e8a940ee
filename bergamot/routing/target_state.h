#pragma once

// What the router keeps for one target: its endpoints, the queue before them, the budgets of extra work, and the
// lanes in which suspects run alone.

#include <deque>
#include <functional>
#include <memory>

#include "bergamot/routing/admission_queue.h"
#include "bergamot/routing/endpoint_pool.h"
#include "bergamot/routing/latency_quantile.h"
#include "bergamot/routing/retry_budget.h"

namespace bergamot
{

struct TargetOptions
{
    EndpointPoolOptions pool;
    AdmissionQueueOptions queue;
    ShareBudgetOptions retries{.share = 0.06, .reserve = 10, .most = 50};
    ShareBudgetOptions hedges{.share = 0.03, .reserve = 1, .most = 20};
    double hedgeQuantile = 0.97; // a request later than this share of the others is hedged
    std::function<std::unique_ptr<ChoiceStrategy>()> strategy; // null: SampledChoice
};

/// An endpoint set aside for one suspect.
struct QuarantineLane
{
    std::size_t slot = 0;
    RequestId request = 0;
    bool running = false;
};

/// A connection that broke under a request.
struct ConnectionLoss
{
    std::size_t slot = 0;
    std::uint64_t fingerprint = 0;
    TimePoint at{};
};

struct TargetState
{
    explicit TargetState(const TargetOptions &options)
        : pool(options.pool, options.strategy ? options.strategy() : std::make_unique<SampledChoice>())
        , queue(options.queue)
        , retries(options.retries)
        , hedges(options.hedges)
        , lateUnit(options.hedgeQuantile)
    { }

    /// The time that a request of `work` usually stays below; zero before the first answer.
    Duration usualLatency(double work) const
    {
        return std::chrono::duration_cast<Duration>(lateUnit.value() * std::max(1.0, work));
    }

    ServicePace pace() const
    {
        const auto width = std::max<std::uint32_t>(1, pool.inFlight());
        return {.interval = pool.requestDuration() / width, .service = pool.requestDuration()};
    }

    EndpointPool pool;
    AdmissionQueue queue;
    ShareBudget retries;
    ShareBudget hedges;
    LatencyQuantile lateUnit;
    std::deque<RequestId> suspects;
    std::vector<QuarantineLane> lanes;
    std::deque<ConnectionLoss> losses; // the newest ones, oldest first
};

} // namespace bergamot
