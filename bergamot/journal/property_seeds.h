#pragma once

// Runs a property test over seeds 1, 2, 3, ... For tests only.
//
//     TEST(KeyProperty, dispatchesNoKeyTwiceWhateverFails)
//     {
//         runSeeds<KeyWorld>(10);
//     }

#include <cstdlib>
#include <string>

#include <gtest/gtest.h>

namespace bergamot
{

/// `usual`, unless BERGAMOT_PROPERTY_SEEDS names another number.
inline int seedCount(int usual)
{
    const char *const given = std::getenv("BERGAMOT_PROPERTY_SEEDS");
    return given == nullptr ? usual : std::atoi(given);
}

/// A `World` is made of a seed, and has `run` and `checkEnd`. Stops at the first seed that fails and names it.
template<typename World>
void runSeeds(int usual)
{
    for (int seed = 1; seed <= seedCount(usual); ++seed) {
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
