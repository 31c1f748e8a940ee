#pragma once

// Aborts the process on a bug in the program itself. Invalid input, failed calls and unreachable peers are reported as
// a `Result`, never checked as invariants.
//
//     checkInvariant(next > m_applied, "The applied offset never decreases.");

#include <string_view>

namespace bergamot
{

/// Prints `message` to standard error and aborts if `condition` is false.
void checkInvariant(bool condition, std::string_view message);

} // namespace bergamot
