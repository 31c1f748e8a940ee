#pragma once

// The nine promises of the service, counted as callers, trainers and endpoints see them.
//
//     ledger.check(Promise::OwnAnswer, answer == expected, "buyer 17 got the answer to another request");

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot
{

enum class Promise {
    Labels,
    Staleness,
    SampleOnce,
    OwnAnswer,
    NotRun,
    AtMostOnce,
    Leaving,
    GracefulShutdown,
    Configuration,
};

inline constexpr std::size_t PromiseCount = 9;

/// The promise in a few words, for reports.
std::string_view promiseName(Promise promise);

struct PromiseCounts
{
    std::uint64_t checks = 0;
    std::uint64_t violations = 0;
    std::vector<std::string> examples; // of the first violations
};

/// Thread-safe.
class PromiseLedger
{
public:
    /// Counts one check; `example` tells of it if the promise does not hold.
    void check(Promise promise, bool holds, const std::string &example);
    PromiseCounts counts(Promise promise) const;
    std::uint64_t violations() const;

private:
    mutable std::mutex m_mutex;
    std::array<PromiseCounts, PromiseCount> m_counts;
};

} // namespace bergamot
