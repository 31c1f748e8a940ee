#include "bergamot/load/promises.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

TEST(PromiseLedger, countsChecksAndKeepsTheFirstExamples)
{
    PromiseLedger ledger;
    for (int i = 0; i < 20; ++i) {
        ledger.check(Promise::NotRun, i % 2 == 0, "example " + std::to_string(i));
    }
    const PromiseCounts counts = ledger.counts(Promise::NotRun);
    EXPECT_EQ(counts.checks, 20U);
    EXPECT_EQ(counts.violations, 10U);
    EXPECT_EQ(counts.examples.front(), "example 1");
    EXPECT_LT(counts.examples.size(), 10U);
    EXPECT_EQ(ledger.counts(Promise::Labels).checks, 0U);
    EXPECT_EQ(ledger.violations(), 10U);
}

} // namespace
} // namespace bergamot
