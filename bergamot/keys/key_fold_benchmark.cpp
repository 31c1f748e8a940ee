#include <benchmark/benchmark.h>

#include "bergamot/keys/key_fold.h"

namespace bergamot
{
namespace
{

void claimAndFinish(KeyFold &fold, std::uint64_t number)
{
    const std::chrono::milliseconds writerClock(1000);
    inner::KeyClaimT claim;
    claim.key = "lot-confirmation-" + std::to_string(number);
    claim.claim_id = "entry-3/" + std::to_string(number);
    claim.body_digest = std::string(64, 'd');
    inner::KeyOutcomeT outcome;
    outcome.key = claim.key;
    outcome.claim_id = claim.claim_id;
    outcome.ran = true;
    outcome.known = true;
    outcome.status = 200;
    outcome.body = std::string(200, 'b');
    const Offset next = fold.applied() + 1;
    fold.apply({next, {{"a", 1, next}, std::string(KeyClaimKind), keyClaimPayload(claim, writerClock)}});
    fold.apply({next + 1, {{"a", 1, next + 1}, std::string(KeyOutcomeKind), keyOutcomePayload(outcome, writerClock)}});
}

/// The records of one key, written and read.
void key(benchmark::State &state)
{
    KeyFold fold({.maxKeys = 10'000'000});
    std::uint64_t number = 0;
    for (auto _ : state) {
        claimAndFinish(fold, ++number);
    }
}

void checkpointOfKeys(benchmark::State &state)
{
    KeyFold fold;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        claimAndFinish(fold, static_cast<std::uint64_t>(i));
    }
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = fold.checkpoint().size();
    }
    state.counters["bytes_per_key"] = static_cast<double>(bytes) / static_cast<double>(state.range(0));
}

BENCHMARK(key);
BENCHMARK(checkpointOfKeys)->Arg(1000)->Arg(20000);

} // namespace
} // namespace bergamot
