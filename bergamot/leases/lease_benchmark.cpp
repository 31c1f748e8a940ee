#include <benchmark/benchmark.h>

#include "bergamot/leases/lease_decision.h"

namespace bergamot
{
namespace
{

std::vector<DutyUpdate> makeUpdates(const std::vector<DutyId> &duties, Offset supersedes)
{
    std::vector<DutyUpdate> dutyUpdates;
    dutyUpdates.reserve(duties.size());
    for (const DutyId &duty : duties) {
        dutyUpdates.push_back({duty, supersedes});
    }
    return dutyUpdates;
}

/// One holder renews all its duties: the fold applies the renewal record and the decision creates the next one.
void renewal(benchmark::State &state)
{
    std::vector<DutyId> duties;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        duties.emplace_back("rollout/model/domain-" + std::to_string(i));
    }
    ManualClock clock;
    LeaseFold fold;
    LeaseDecision decision({.holder = "a", .incarnation = 1});
    for (const DutyId &duty : duties) {
        decision.acquire(duty);
    }
    std::uint64_t sequence = 0;
    for (auto _ : state) {
        clock.advance(std::chrono::seconds(3));
        const std::optional<LeaseRequest> request = decision.takeRequest(fold, clock.now());
        decision.recordSent(++sequence, clock.now());
        fold.apply({sequence, {{"a", 1, sequence}, std::string(request->kind), dutiesPayload(request->updates)}});
        decision.recordAnswer(Offset{sequence}, clock.now());
        decision.observe(fold, clock.now());
    }
    state.counters["record_bytes"] = static_cast<double>(dutiesPayload(makeUpdates(duties, sequence)).size());
    state.counters["checkpoint_bytes"] = static_cast<double>(fold.checkpoint().size());
}

BENCHMARK(renewal)->Arg(6)->Arg(42)->Arg(238);

} // namespace
} // namespace bergamot
