#pragma once

// What callers are told, as HTTP: the outcome header on every answer, and the facts that an endpoint's answer holds
// for the router.

#include "bergamot/http/client.h"
#include "bergamot/http/message.h"
#include "bergamot/protocol/generated/inner_generated.h"
#include "bergamot/routing/request.h"

namespace bergamot::entry_internal
{

/// The endpoint's answer without the headers of its connection, with `Bergamot-Outcome: answered`.
HttpResponse answerToCaller(HttpResponse answer);
HttpResponse answerToCaller(const RefuseAction &refusal);
/// The answer that the key's first run got.
HttpResponse answerToCaller(const inner::KeyClaimReplyT &stored);
/// A request that could not be read; it did not run.
HttpResponse answerToCaller(const Error &error);

AttemptAnswer factsOf(const HttpResponse &answer);
AttemptFailure factsOf(const CallFailure &failure);

} // namespace bergamot::entry_internal
