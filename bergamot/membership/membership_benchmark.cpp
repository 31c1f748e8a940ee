#include <benchmark/benchmark.h>

#include "bergamot/membership/internal/simulated_fleet.h"
#include "bergamot/membership/relay_choice.h"
#include "bergamot/protocol/frame.h"

// Time of the decisions and size of the frames, for the current fleet size and for the one that docs/CAPACITY.md plans
// for.

namespace bergamot
{
namespace
{

using internal::SimulatedFleet;
using namespace std::chrono_literals;

struct Size
{
    std::size_t domains;
    std::size_t instances;
    std::size_t engines;
};

constexpr Size CurrentSize{3, 6, 4};
constexpr Size PlannedSize{14, 44, 179};

std::unique_ptr<SimulatedFleet> newFleet(const benchmark::State &state)
{
    const Size size = state.range(0) == 0 ? CurrentSize : PlannedSize;
    auto fleet = std::make_unique<SimulatedFleet>(internal::SimulatedFleetOptions{
        .domains = size.domains, .instancesPerDomain = size.instances, .enginesPerDomain = size.engines});
    fleet->publishChange();
    fleet->run(10s);
    return fleet;
}

/// A fleet shared by the benchmarks that use a single node. Its nodes may have been ticked with times later than the
/// fleet's clock.
SimulatedFleet &fleetOf(const benchmark::State &state)
{
    static std::map<std::int64_t, std::unique_ptr<SimulatedFleet>> fleets;
    std::unique_ptr<SimulatedFleet> &fleet = fleets[state.range(0)];
    if (!fleet) {
        fleet = newFleet(state);
    }
    return *fleet;
}

std::string nonRelayInstance(SimulatedFleet &fleet)
{
    const std::vector<std::string> instances = fleet.instances();
    return *std::find_if(instances.begin(), instances.end(), [&fleet](const std::string &instance) {
        return !fleet.node(instance).isRelay();
    });
}

std::size_t frameBytes(inner::BodyUnion body)
{
    return encodeFrame(makeFrame({"d0-i0", "d0"}, 1, std::move(body))).size();
}

/// The next digest of `instance` that requests a delta.
SendDigest nextDigest(SimulatedFleet &fleet, const std::string &instance)
{
    for (Duration elapsed = 0s;; elapsed += 100ms) {
        for (Action &action : fleet.node(instance).tick(fleet.now() + 60s + elapsed)) {
            if (auto *digest = std::get_if<SendDigest>(&action); digest != nullptr && digest->digest.want_delta) {
                return std::move(*digest);
            }
        }
    }
}

void tickOfARelay(benchmark::State &state)
{
    SimulatedFleet &fleet = fleetOf(state);
    Dissemination &relay = fleet.node(fleet.relays("d0").front());
    TimePoint now = fleet.now();
    for (auto step : state) {
        now += 100ms;
        benchmark::DoNotOptimize(relay.tick(now));
    }
}

void tickOfAnOrdinaryInstance(benchmark::State &state)
{
    SimulatedFleet &fleet = fleetOf(state);
    Dissemination &node = fleet.node(nonRelayInstance(fleet));
    TimePoint now = fleet.now();
    for (auto step : state) {
        now += 100ms;
        benchmark::DoNotOptimize(node.tick(now));
    }
}

void answerToADigest(benchmark::State &state)
{
    SimulatedFleet &fleet = fleetOf(state);
    const std::string requester = nonRelayInstance(fleet);
    Dissemination &relay = fleet.node(fleet.relays("d0").front());
    SendDigest action = nextDigest(fleet, requester);
    const TimePoint now = fleet.now();
    const inner::DigestReplyT whole = relay.digestReceived(requester, "d0", action.digest, now);
    action.digest.seen_tick = whole.delta ? whole.delta->tick : 0;
    for (auto step : state) {
        benchmark::DoNotOptimize(relay.digestReceived(requester, "d0", action.digest, now));
    }
    inner::BodyUnion digestBody;
    digestBody.Set(inner::DigestT(action.digest));
    state.counters["digest_bytes"] = static_cast<double>(frameBytes(std::move(digestBody)));
    inner::BodyUnion replyBody;
    replyBody.Set(relay.digestReceived(requester, "d0", action.digest, now));
    state.counters["reply_bytes"] = static_cast<double>(frameBytes(std::move(replyBody)));
    inner::BodyUnion wholeBody;
    wholeBody.Set(inner::DigestReplyT(whole));
    state.counters["whole_reply_bytes"] = static_cast<double>(frameBytes(std::move(wholeBody)));
}

void viewForAnEntry(benchmark::State &state)
{
    SimulatedFleet &fleet = fleetOf(state);
    Dissemination &node = fleet.node(nonRelayInstance(fleet));
    inner::ViewReplyT reply;
    for (auto step : state) {
        reply.view = std::make_unique<inner::ViewT>(node.view(fleet.now()));
        benchmark::DoNotOptimize(reply);
    }
    inner::BodyUnion body;
    body.Set(std::move(reply));
    state.counters["view_bytes"] = static_cast<double>(frameBytes(std::move(body)));
}

void fleetStatusOfAll(benchmark::State &state)
{
    SimulatedFleet &fleet = fleetOf(state);
    Dissemination &node = fleet.node(nonRelayInstance(fleet));
    for (auto step : state) {
        benchmark::DoNotOptimize(node.status());
    }
}

void secondsUntilInForceEverywhere(benchmark::State &state)
{
    const std::unique_ptr<SimulatedFleet> fleet = newFleet(state);
    double slowestSeconds = 0;
    for (auto step : state) {
        const std::optional<Duration> took = fleet->timeUntilEverywhere(fleet->publishChange(), 60s);
        slowestSeconds = std::max(slowestSeconds, std::chrono::duration<double>(took.value_or(60s)).count());
    }
    state.counters["worst_simulated_seconds"] = slowestSeconds;
}

BENCHMARK(tickOfARelay)->Arg(0)->Arg(1)->Unit(benchmark::kMicrosecond);
BENCHMARK(tickOfAnOrdinaryInstance)->Arg(0)->Arg(1)->Unit(benchmark::kMicrosecond);
BENCHMARK(answerToADigest)->Arg(0)->Arg(1)->Unit(benchmark::kMicrosecond);
BENCHMARK(viewForAnEntry)->Arg(0)->Arg(1)->Unit(benchmark::kMicrosecond);
BENCHMARK(fleetStatusOfAll)->Arg(0)->Arg(1)->Unit(benchmark::kMicrosecond);
BENCHMARK(secondsUntilInForceEverywhere)->Arg(0)->Arg(1)->Iterations(5)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace bergamot
