#pragma once

// Stops the process when the program itself is wrong. Bad input, failed calls and lost peers are outcomes
// (`Result`), never invariants.
//
//     checkInvariant(next > m_applied, "The fold never goes back.");

#include <string_view>

namespace bergamot
{

/// Logs `message` and aborts if `holds` is false.
void checkInvariant(bool holds, std::string_view message);

} // namespace bergamot
