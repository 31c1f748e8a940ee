#include "bergamot/base/invariant.h"

#include <cstdlib>
#include <iostream>

namespace bergamot
{

void checkInvariant(bool holds, std::string_view message)
{
    if (holds) {
        return;
    }
    std::cerr << "bergamot: broken invariant: " << message << std::endl;
    std::abort();
}

} // namespace bergamot
