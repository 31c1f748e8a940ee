#pragma once

// What an engine stand-in generates: text that tells by itself which prompt and which weight version made each token,
// so that a check need not trust the labels; and the handles with which one engine resumes another's generation.
//
//     generatedToken("quote 40 kg of fettuccine", 7); // "5c1e0a92:7 "

#include <string>
#include <string_view>

#include "bergamot/base/error.h"
#include "bergamot/base/ids.h"
#include "bergamot/platform/engine.h"

namespace bergamot
{

/// One token: a digest of the prompt in 8 hexadecimal digits, the version, a space.
std::string generatedToken(std::string_view prompt, WeightVersion version);

/// The whole text of `spans`.
std::string generatedText(std::string_view prompt, const std::vector<TokenSpan> &spans);

/// Adds one token to `generation`, to its last span if that has the same version.
void appendToken(Generation &generation, std::string_view prompt, WeightVersion version);

std::uint32_t tokenCount(const Generation &generation);

/// The handle of a generation that was stopped after `spans`.
std::string cacheHandle(std::string_view prompt, const std::vector<TokenSpan> &spans);

/// The inverse. `InvalidArgument` if it is no handle, `Conflict` if it belongs to another prompt.
Result<std::vector<TokenSpan>> parseCacheHandle(std::string_view handle, std::string_view prompt);

} // namespace bergamot
