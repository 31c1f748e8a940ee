#include "bergamot/base/invariant.h"

#include <cstdlib>
#include <iostream>

namespace bergamot
{

void checkInvariant(bool condition, std::string_view message)
{
    if (condition) {
        return;
    }
    std::cerr << "bergamot: invariant violated: " << message << std::endl;
    std::abort();
}

} // namespace bergamot
