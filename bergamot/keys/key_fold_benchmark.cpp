#include <benchmark/benchmark.h>

#include "bergamot/keys/key_fold.h"
#include "bergamot/membership/log_tail.h"

namespace bergamot
{
namespace
{

/// The payloads of the two records of a key whose answer has 200 bytes.
struct KeyRecords
{
    std::string claim;
    std::string outcome;
};

KeyRecords keyRecords(std::uint64_t number, std::chrono::milliseconds writerClock)
{
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
    return {keyClaimPayload(claim, writerClock), keyOutcomePayload(outcome, writerClock)};
}

void claimAndFinish(KeyFold &fold, std::uint64_t number)
{
    KeyRecords records = keyRecords(number, std::chrono::milliseconds(1000));
    const Offset next = fold.applied() + 1;
    fold.apply({next, {{"a", 1, next}, std::string(KeyClaimKind), std::move(records.claim)}});
    fold.apply({next + 1, {{"a", 1, next + 1}, std::string(KeyOutcomeKind), std::move(records.outcome)}});
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

/// A committer's stream for two hours of log time, of which the second is counted: what its checkpoints cost on the
/// log.
class CommitterStream
{
public:
    explicit CommitterStream(std::chrono::milliseconds checkpointAge)
        : m_tail(m_replica, {.checkpoints = {.maxAge = checkpointAge}}, Duration::zero())
    { }

    void run(std::uint64_t keysPerSecond)
    {
        constexpr std::chrono::seconds Counted{3600};
        for (std::chrono::seconds passed{0}; passed < 2 * Counted; passed += std::chrono::seconds(1)) {
            m_isCounted = passed >= Counted;
            for (std::uint64_t i = 0; i < keysPerSecond; ++i) {
                addKey();
            }
            read();
            while (std::optional<std::string> part = m_tail.dueCheckpointPart(m_now)) {
                m_largest = std::max(m_largest, part->size());
                m_checkpointBytes += m_isCounted ? part->size() : 0;
                add(std::string(CheckpointKind), std::move(*part));
            }
            m_now += std::chrono::seconds(1);
        }
    }

    void report(benchmark::State &state) const
    {
        state.counters["checkpoint_bytes_per_second"] = static_cast<double>(m_checkpointBytes) / 3600;
        state.counters["key_bytes_per_second"] = static_cast<double>(m_keyBytes) / 3600;
        state.counters["largest_record"] = static_cast<double>(m_largest);
    }

private:
    void add(std::string kind, std::string payload)
    {
        ++m_end;
        m_unread.push_back({m_end, {{"a", 1, m_end}, std::move(kind), std::move(payload)}});
    }

    void addKey()
    {
        const auto clock = std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch());
        KeyRecords records = keyRecords(m_end, clock);
        addCounted(KeyClaimKind, std::move(records.claim));
        addCounted(KeyOutcomeKind, std::move(records.outcome));
    }

    void addCounted(std::string_view kind, std::string payload)
    {
        m_keyBytes += m_isCounted ? payload.size() : 0;
        add(std::string(kind), std::move(payload));
    }

    void read()
    {
        m_tail.readSoon();
        m_tail.nextRead(m_now);
        m_tail.pageRead(LogPage{std::exchange(m_unread, {}), 1, m_end + 1}, m_now);
    }

    KeyFold m_fold;
    StreamReplica m_replica{"keys", m_fold, {.recentRecords = 0, .recentBytes = 0}};
    LogTail m_tail;
    TimePoint m_now{std::chrono::hours(1)};
    std::vector<StoredRecord> m_unread;
    Offset m_end = 0;
    bool m_isCounted = false;
    std::uint64_t m_checkpointBytes = 0;
    std::uint64_t m_keyBytes = 0;
    std::size_t m_largest = 0;
};

/// Arguments: keys a second, checkpoint age in minutes.
void checkpointsOnTheLog(benchmark::State &state)
{
    for (auto _ : state) {
        CommitterStream stream(std::chrono::minutes(state.range(1)));
        stream.run(static_cast<std::uint64_t>(state.range(0)));
        stream.report(state);
    }
}

BENCHMARK(key);
BENCHMARK(checkpointOfKeys)->Arg(1000)->Arg(20000);
BENCHMARK(checkpointsOnTheLog)->Args({1, 5})->Args({5, 5})->Args({5, 120})->Iterations(1)->Unit(benchmark::kSecond);

} // namespace
} // namespace bergamot
