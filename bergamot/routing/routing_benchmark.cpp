// Measures the time of one routing decision, the cost of reading the routing table, and the routing policy against
// baselines in simulated time.

// liburcu defines its read-side functions inline if this macro is set.
#define _LGPL_SOURCE // NOLINT(bugprone-reserved-identifier)
#define RCU_MB
#include <urcu-bp.h>

#include <benchmark/benchmark.h>

#include "bergamot/base/snapshot.h"
#include "bergamot/routing/internal/policy_simulation.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;
using routing_internal::simulate;
using routing_internal::SimulationOptions;
using routing_internal::SimulationResult;

RoutingTable tableOf(std::size_t endpoints)
{
    RoutingTable table;
    RoutedTarget &target = table.targets["service/stock"];
    for (std::size_t index = 0; index < endpoints; ++index) {
        RoutedEndpoint endpoint;
        endpoint.id = EndpointId("endpoint-" + std::to_string(index));
        endpoint.domain = FailureDomainId("a");
        endpoint.address = {"127.0.0.1", static_cast<std::uint16_t>(index + 1)};
        endpoint.slots = 8;
        target.endpoints.push_back(endpoint);
    }
    return table;
}

EndpointPoolOptions poolOptions()
{
    EndpointPoolOptions options;
    options.instance = "entry-1";
    options.domain = FailureDomainId("a");
    return options;
}

/// One choice of an endpoint, with `dispatched` and `answered`, among `range(0)` endpoints of which the subset holds at
/// most 180.
void decide(benchmark::State &state, std::uint64_t prefixes)
{
    EndpointPool pool(poolOptions(), std::make_unique<SampledChoice>());
    const RoutingTable table = tableOf(static_cast<std::size_t>(state.range(0)));
    TimePoint now(1h);
    pool.update(table.targets.at("service/stock").endpoints, now);
    std::mt19937_64 random(1);
    std::uint64_t number = 0;
    for (auto _ : state) {
        now += 10us;
        const std::uint64_t prefix = prefixes == 0 ? 0 : 1 + (++number % prefixes);
        const auto slot = pool.pick({.trafficClass = TrafficClass::Interactive, .prefix = prefix}, now, random);
        pool.dispatched(*slot, now);
        pool.answered(*slot, 5ms, 1.0, now, random);
    }
}

void decideByLoad(benchmark::State &state)
{
    decide(state, 0);
}
BENCHMARK(decideByLoad)->Arg(9)->Arg(180)->Arg(2500);

void decideByPrefix(benchmark::State &state)
{
    decide(state, 1000);
}
BENCHMARK(decideByPrefix)->Arg(9)->Arg(180)->Arg(2500);

/// A request from its arrival to its answer, through the whole router.
void routeOneRequest(benchmark::State &state)
{
    RouterOptions options;
    options.target.pool = poolOptions();
    Router router(options, 1);
    TimePoint now(1h);
    router.onView(tableOf(static_cast<std::size_t>(state.range(0))), now);
    CallerRequest request;
    request.target = "service/stock";
    request.repeatable = true;
    for (auto _ : state) {
        now += 10us;
        ++request.id;
        request.fingerprint = request.id;
        request.deadline = now + 1s;
        router.onRequest(request, now);
        const Actions actions = router.takeActions();
        router.onAnswered(std::get<DispatchAction>(actions.front()).attempt, {}, now);
        benchmark::DoNotOptimize(router.takeActions());
        if (request.id % 512 == 0) {
            router.tick(now);
        }
    }
}
BENCHMARK(routeOneRequest)->Arg(9)->Arg(180)->Arg(2500);

std::shared_ptr<const RoutingTable> sharedTable()
{
    static const auto table = std::make_shared<const RoutingTable>(tableOf(180));
    return table;
}

void readSnapshotSharedPointer(benchmark::State &state)
{
    static Snapshot<RoutingTable> snapshot(sharedTable());
    for (auto _ : state) {
        benchmark::DoNotOptimize(snapshot.read()->targets.size());
    }
}
BENCHMARK(readSnapshotSharedPointer)->Threads(1)->Threads(8)->UseRealTime();

void readSnapshotUrcu(benchmark::State &state)
{
    static const RoutingTable *table = sharedTable().get();
    for (auto _ : state) {
        urcu_bp_read_lock();
        benchmark::DoNotOptimize(rcu_dereference(table)->targets.size());
        urcu_bp_read_unlock();
    }
}
BENCHMARK(readSnapshotUrcu)->Threads(1)->Threads(8)->UseRealTime();

class RoundRobin final : public ChoiceStrategy
{
public:
    std::optional<std::size_t> choose(const Candidates &candidates, std::mt19937_64 &) override
    {
        for (std::size_t step = 0; step < candidates.size(); ++step) {
            const std::size_t index = m_next++ % candidates.size();
            if (candidates.hasRoom(index)) {
                return index;
            }
        }
        return std::nullopt;
    }

private:
    std::size_t m_next = 0;
};

class RandomChoice final : public ChoiceStrategy
{
public:
    std::optional<std::size_t> choose(const Candidates &candidates, std::mt19937_64 &random) override
    {
        const std::size_t start = random() % std::max<std::size_t>(1, candidates.size());
        for (std::size_t step = 0; step < candidates.size(); ++step) {
            const std::size_t index = (start + step) % candidates.size();
            if (candidates.hasRoom(index)) {
                return index;
            }
        }
        return std::nullopt;
    }
};

class TwoChoices final : public ChoiceStrategy
{
public:
    std::optional<std::size_t> choose(const Candidates &candidates, std::mt19937_64 &random) override
    {
        const std::size_t first = random() % std::max<std::size_t>(1, candidates.size());
        const std::size_t second = random() % std::max<std::size_t>(1, candidates.size());
        const bool secondIsBetter = candidates.cost(second) < candidates.cost(first);
        for (const std::size_t index : {secondIsBetter ? second : first, secondIsBetter ? first : second}) {
            if (candidates.hasRoom(index)) {
                return index;
            }
        }
        return m_otherwise.choose(candidates, random);
    }

private:
    RandomChoice m_otherwise;
};

/// Chooses the cheapest of all candidates, and the first of equally cheap ones.
class LeastCost final : public ChoiceStrategy
{
public:
    std::optional<std::size_t> choose(const Candidates &candidates, std::mt19937_64 &) override
    {
        std::optional<std::size_t> best;
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            if (candidates.hasRoom(index) && (!best || candidates.cost(index) < candidates.cost(*best))) {
                best = index;
            }
        }
        return best;
    }
};

constexpr int FirstTuningSeed = 1;
constexpr int LastTuningSeed = 3;
constexpr int FirstCheckSeed = 11; // held out: not used for tuning
constexpr int LastCheckSeed = 16;

constexpr Duration SettledAfter = 15s; // three reporting periods of other domains

struct Policy
{
    std::string name;
    std::function<void(RouterOptions &)> adjust;
    bool usesReports = true;
    std::size_t routers = 4;
    std::size_t domains = 1;
    bool knowsRemoteLoad = true;
    Duration warmUp = SimulationOptions().warmUp;
};

template<typename Strategy>
void useStrategy(RouterOptions &options)
{
    options.target.strategy = [] {
        return std::make_unique<Strategy>();
    };
}

void withoutLimit(RouterOptions &options)
{
    constexpr double Unlimited = 1e6;
    options.target.pool.limit = {.initial = Unlimited, .minimum = Unlimited, .maximum = Unlimited};
}

void withNaiveRetries(RouterOptions &options)
{
    constexpr double Unbounded = 1e9;
    options.target.retries = {.share = 1, .initialBudget = Unbounded, .maxBudget = Unbounded};
    options.backoff = {.minDelay = 1ms, .maxDelay = 1ms};
}

void withoutEjection(RouterOptions &options)
{
    options.target.pool.maxEjectedShare = 0;
}

void withoutHedges(RouterOptions &options)
{
    options.target.hedges = {.share = 0, .initialBudget = 0, .maxBudget = 0};
}

void withUnlimitedSpill(RouterOptions &options)
{
    options.target.pool.spillByReports = false;
}

void withoutBurst(RouterOptions &options)
{
    options.target.pool.interactiveBurst = 0;
}

/// A naive client as the baseline: random choice without limits, ejection, hedges or retry budget.
void withoutPolicies(RouterOptions &options)
{
    useStrategy<RandomChoice>(options);
    withoutLimit(options);
    withNaiveRetries(options);
    withoutEjection(options);
    withoutHedges(options);
}

const std::vector<Policy> &policies()
{
    static const std::vector<Policy> all{
        {"full", nullptr},
        {"roundRobin", useStrategy<RoundRobin>},
        {"random", useStrategy<RandomChoice>},
        {"twoChoices", useStrategy<TwoChoices>},
        {"leastCost", useStrategy<LeastCost>},
        {"noReports", nullptr, false},
        {"noLimit", withoutLimit, false},
        {"naiveRetry", withNaiveRetries},
        {"noEjection", withoutEjection},
        {"noHedges", withoutHedges},
        {"nothing", withoutPolicies, false},
        {"eighteenRouters", nullptr, true, 18},
        {"eighteenRoutersNoBurst", withoutBurst, true, 18},
        {"eighteenRoutersNoReports", nullptr, false, 18},
        {"threeDomains", nullptr, true, 18, 3},
        {"threeDomainsRemoteUnknown", nullptr, true, 18, 3, false},
        {"threeDomainsFreeSpill", withUnlimitedSpill, true, 18, 3},
        {"threeDomainsSettled", nullptr, true, 18, 3, true, SettledAfter},
        {"threeDomainsSettledFreeSpill", withUnlimitedSpill, true, 18, 3, true, SettledAfter},
        {"eighteenRoutersFreeSpill", withUnlimitedSpill, true, 18},
        {"threeDomainsNoBurst", withoutBurst, true, 18, 3},
        {"threeDomainsNoReports", nullptr, false, 18, 3},
    };
    return all;
}

SimulationOptions simulationOf(const Policy &policy, double load, std::uint64_t seed)
{
    SimulationOptions options;
    options.load = load;
    options.seed = seed;
    options.reportsLoad = policy.usesReports;
    options.adjust = policy.adjust;
    options.routers = policy.routers;
    options.domains = policy.domains;
    options.remoteReports = policy.knowsRemoteLoad;
    options.warmUp = policy.warmUp;
    return options;
}

double milliseconds(double seconds)
{
    return seconds * 1000;
}

/// Interactive p99 and goodput at half, full and double load.
void overload(benchmark::State &state, const Policy &policy)
{
    for (auto _ : state) {
        const auto seed = static_cast<std::uint64_t>(state.range(0));
        const SimulationResult half = simulate(simulationOf(policy, 0.5, seed));
        const SimulationResult full = simulate(simulationOf(policy, 1.0, seed));
        const SimulationResult twice = simulate(simulationOf(policy, 2.0, seed));
        const double halfTail = half.percentile(TrafficClass::Interactive, 0.99);
        const double twiceTail = twice.percentile(TrafficClass::Interactive, 0.99);
        state.counters["p99_half_ms"] = milliseconds(halfTail);
        state.counters["p99_full_ms"] = milliseconds(full.percentile(TrafficClass::Interactive, 0.99));
        state.counters["p99_twice_ms"] = milliseconds(twiceTail);
        state.counters["p99_ratio"] = twiceTail / halfTail;
        state.counters["p99_here_ms"] = milliseconds(twice.routerWaitPercentile(TrafficClass::Interactive, 0.99));
        state.counters["p99_there_ms"] = milliseconds(twice.endpointWaitPercentile(TrafficClass::Interactive, 0.99));
        state.counters["least_router_share"] = twice.minRouterShare();
        state.counters["interactive_answered_twice"] = twice.answeredShare(TrafficClass::Interactive);
        state.counters["batch_answered_twice"] = twice.answeredShare(TrafficClass::Batch);
        state.counters["goodput_twice"] = twice.goodput();
        state.counters["goodput_full"] = full.goodput();
        state.counters["attempts_half"] = half.amplification();
    }
}

/// Half load with one of nine endpoints ten times slower, compared with no slow endpoint.
void slowEndpoint(benchmark::State &state, const Policy &policy)
{
    for (auto _ : state) {
        SimulationOptions options = simulationOf(policy, 0.5, static_cast<std::uint64_t>(state.range(0)));
        const double healthy = simulate(options).percentile(TrafficClass::Interactive, 0.99);
        options.slowFactor = 10;
        const SimulationResult slow = simulate(options);
        state.counters["p99_ratio"] = slow.percentile(TrafficClass::Interactive, 0.99) / healthy;
        state.counters["p999_ms"] = milliseconds(slow.percentile(TrafficClass::Interactive, 0.999));
        state.counters["attempts"] = slow.amplification();
    }
}

/// Half load; one of nine endpoints refuses half of the time, and one in fifty attempts loses its connection.
void failures(benchmark::State &state, const Policy &policy)
{
    for (auto _ : state) {
        SimulationOptions options = simulationOf(policy, 0.5, static_cast<std::uint64_t>(state.range(0)));
        options.refusedShare = 0.5;
        options.lostShare = 0.02;
        const SimulationResult result = simulate(options);
        state.counters["attempts"] = result.amplification();
        state.counters["interactive_answered"] = result.answeredShare(TrafficClass::Interactive);
        state.counters["p99_ms"] = milliseconds(result.percentile(TrafficClass::Interactive, 0.99));
    }
}

/// Half load; half of all attempts lose their connection, at every endpoint. Shows the amplification by retries.
void outage(benchmark::State &state, const Policy &policy)
{
    for (auto _ : state) {
        SimulationOptions options = simulationOf(policy, 0.5, static_cast<std::uint64_t>(state.range(0)));
        options.lostShare = 0.5;
        const SimulationResult result = simulate(options);
        state.counters["attempts"] = result.amplification();
        state.counters["interactive_answered"] = result.answeredShare(TrafficClass::Interactive);
        state.counters["batch_answered"] = result.answeredShare(TrafficClass::Batch);
    }
}

constexpr Duration FaultAt = 3s; // before the end of the warm-up

void report(benchmark::State &state, const SimulationResult &result, const SimulationResult &half)
{
    const double tail = result.percentile(TrafficClass::Interactive, 0.99);
    state.counters["p99_ratio"] = tail / half.percentile(TrafficClass::Interactive, 0.99);
    state.counters["p99_here_ms"] = milliseconds(result.routerWaitPercentile(TrafficClass::Interactive, 0.99));
    state.counters["p99_there_ms"] = milliseconds(result.endpointWaitPercentile(TrafficClass::Interactive, 0.99));
    state.counters["interactive_answered"] = result.answeredShare(TrafficClass::Interactive);
    state.counters["goodput"] = result.goodput();
    state.counters["attempts"] = result.amplification();
}

/// Half load; one of nine endpoints is ten times slower while another is down for five seconds.
void slowAndCrash(benchmark::State &state, const Policy &policy)
{
    for (auto _ : state) {
        SimulationOptions options = simulationOf(policy, 0.5, static_cast<std::uint64_t>(state.range(0)));
        const SimulationResult half = simulate(options);
        options.slowFactor = 10;
        options.crashAt = 10s;
        report(state, simulate(options), half);
    }
}

/// All endpoints of one of three domains crash; the load offered afterwards is 1.5 times the remaining capacity.
void domainLost(benchmark::State &state, const Policy &policy)
{
    constexpr double LeftShare = 2.0 / 3.0;
    for (auto _ : state) {
        SimulationOptions options = simulationOf(policy, 0.5, static_cast<std::uint64_t>(state.range(0)));
        options.domains = 3;
        const SimulationResult half = simulate(options);
        options.initialLoad = 0.5;
        options.load = 1.5 * LeftShare;
        options.domainLostAt = FaultAt;
        const SimulationResult result = simulate(options);
        report(state, result, half);
        state.counters["goodput"] = result.goodput() / LeftShare;
        state.counters["least_router_share"] = result.minRouterShare();
    }
}

/// The routers get no new views; then the load rises from half to twice the capacity of the endpoints.
void controlLost(benchmark::State &state, const Policy &policy)
{
    for (auto _ : state) {
        SimulationOptions options = simulationOf(policy, 0.5, static_cast<std::uint64_t>(state.range(0)));
        const SimulationResult half = simulate(options);
        options.initialLoad = 0.5;
        options.load = 2;
        options.controlLostAt = FaultAt;
        report(state, simulate(options), half);
    }
}

[[maybe_unused]] const bool Registered = [] {
    using Scenario = void (*)(benchmark::State &, const Policy &);
    const std::vector<std::pair<std::string, Scenario>> scenarios{{"overload", overload},
                                                                  {"slowEndpoint", slowEndpoint},
                                                                  {"failures", failures},
                                                                  {"outage", outage},
                                                                  {"slowAndCrash", slowAndCrash},
                                                                  {"domainGone", domainLost},
                                                                  {"controlGone", controlLost}};
    for (const auto &[name, scenario] : scenarios) {
        for (const Policy &policy : policies()) {
            benchmark::RegisterBenchmark((name + "/" + policy.name).c_str(),
                                         [scenario = scenario, &policy](benchmark::State &state) {
                                             scenario(state, policy);
                                         })
                ->DenseRange(FirstTuningSeed, LastTuningSeed)
                ->DenseRange(FirstCheckSeed, LastCheckSeed)
                ->Iterations(1)
                ->Unit(benchmark::kMillisecond);
        }
    }
    return true;
}();

} // namespace

} // namespace bergamot
