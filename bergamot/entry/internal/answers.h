#pragma once

// Builds the HTTP answers to callers, each with the outcome header, and extracts from an endpoint's answer what the
// router needs.

#include "bergamot/http/client.h"
#include "bergamot/http/message.h"
#include "bergamot/protocol/generated/inner_generated.h"
#include "bergamot/routing/request.h"

namespace bergamot::entry_internal
{

/// The endpoint's answer without its connection headers, with `Bergamot-Outcome: answered`.
HttpResponse answerToCaller(HttpResponse answer);
HttpResponse answerToCaller(const RefuseAction &refusal);
/// The stored answer of the first run with the same idempotency key.
HttpResponse answerToCaller(const inner::KeyClaimReplyT &stored);
/// The answer to a request that was rejected before it ran.
HttpResponse answerToCaller(const Error &error);

AttemptAnswer extractFacts(const HttpResponse &answer);
AttemptFailure extractFacts(const CallFailure &failure);

} // namespace bergamot::entry_internal
