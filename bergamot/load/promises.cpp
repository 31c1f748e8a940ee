#include "bergamot/load/promises.h"

namespace bergamot
{

std::string_view promiseName(Promise promise)
{
    static constexpr std::array<std::string_view, PromiseCount> Names = {
        "every sample names the versions that made it",
        "no sample is older than the bound",
        "every sample arrives exactly once",
        "every caller gets its own whole answer",
        "refused as not run: did not run",
        "non-idempotent requests run at most once",
        "a leaving endpoint gets no new work",
        "graceful shutdown cuts off nothing",
        "configuration is in force everywhere, never reverts",
    };
    return Names[static_cast<std::size_t>(promise)];
}

void PromiseLedger::check(Promise promise, bool holds, const std::string &example)
{
    constexpr std::size_t MaxExamples = 5;
    const std::lock_guard lock(m_mutex);
    PromiseCounts &counts = m_counts[static_cast<std::size_t>(promise)];
    ++counts.checks;
    if (holds) {
        return;
    }
    ++counts.violations;
    if (counts.examples.size() < MaxExamples) {
        counts.examples.push_back(example);
    }
}

PromiseCounts PromiseLedger::counts(Promise promise) const
{
    const std::lock_guard lock(m_mutex);
    return m_counts[static_cast<std::size_t>(promise)];
}

std::uint64_t PromiseLedger::violations() const
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t violations = 0;
    for (const PromiseCounts &counts : m_counts) {
        violations += counts.violations;
    }
    return violations;
}

} // namespace bergamot
