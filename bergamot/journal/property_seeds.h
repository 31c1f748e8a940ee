#pragma once

// Runs a property test with seeds 1, 2, 3, ... Used by tests only.
//
//     TEST(LeaseProperty, atMostOneHolderActsUnderRandomFaults)
//     {
//         runSeeds<LeaseSimulation>(20);
//     }

#include <cstdlib>
#include <string>

#include <gtest/gtest.h>

namespace bergamot
{

/// The number of seeds to run: BERGAMOT_PROPERTY_SEEDS if it is set, else `defaultCount`.
inline int seedCount(int defaultCount)
{
    const char *const setting = std::getenv("BERGAMOT_PROPERTY_SEEDS");
    return setting == nullptr ? defaultCount : std::atoi(setting);
}

/// Constructs a `World` from each seed and calls `run` and `checkEnd` on it. Stops at the first seed that fails and
/// reports that seed.
template<typename World>
void runSeeds(int defaultCount)
{
    for (int seed = 1; seed <= seedCount(defaultCount); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        World world(static_cast<std::uint64_t>(seed));
        world.run();
        world.checkEnd();
        if (testing::Test::HasFailure()) {
            return;
        }
    }
}

} // namespace bergamot
