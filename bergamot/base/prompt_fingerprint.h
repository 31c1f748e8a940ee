#pragma once

// By what instances name a prompt to each other without sending it: equal for equal prompts to one model, whoever sends
// them and however the request around them is written.
//
//     const std::uint64_t fingerprint = promptFingerprint("order-agent", prompt);

#include <cstdint>
#include <string_view>

namespace bergamot
{

/// Equal on every instance and program version.
std::uint64_t promptFingerprint(std::string_view model, std::string_view prompt);

} // namespace bergamot
