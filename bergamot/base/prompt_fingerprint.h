#pragma once

// Hash by which instances identify a prompt to each other without sending it. It depends only on the model and the
// prompt, not on the sender or the rest of the request.
//
//     const std::uint64_t fingerprint = promptFingerprint("order-agent", prompt);

#include <cstdint>
#include <string_view>

namespace bergamot
{

/// The hash of `prompt` for `model`; equal on every instance and program version.
std::uint64_t promptFingerprint(std::string_view model, std::string_view prompt);

} // namespace bergamot
