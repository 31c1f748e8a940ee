#pragma once

// Serializes the messages in which an instance asks another one for tokens.
//
//     Result<TokenAsk> ask = parseAsk(askMessage(sent));

#include <string>

#include "bergamot/base/error.h"
#include "bergamot/quota/token_granter.h"

namespace bergamot::quota
{

std::string askMessage(const TokenAsk &ask);
std::string grantMessage(const TokenGrant &grant);
/// Fails with `InvalidArgument` if the bytes are no ask.
Result<TokenAsk> parseAsk(const std::string &bytes);
/// Fails with `InvalidArgument` if the bytes are no grant.
Result<TokenGrant> parseGrant(const std::string &bytes);

} // namespace bergamot::quota
