#pragma once

// Decides whether an instance sends a request for another one, and by which route. The other one may be cut off from
// the platform's store, so what this instance has read itself decides, unless the other one has read more.
//
//     const RelayDecision decision = decideRelay(request, tenant, {.configuration = ..., .route = ...});
//     if (decision.verdict == RelayVerdict::Send) { ... send it along decision.route ... }
//
// Load pattern: the owner of the pool loses the store but not the other instances, and goes on with its batches while
// their trainers end them elsewhere; callers of an instance that is cut off use routes and keys that are gone.

#include <optional>
#include <string>
#include <string_view>

#include "bergamot/relay/relay_messages.h"

namespace bergamot::relay
{

/// What the instance that is asked has read itself.
struct LocalView
{
    std::uint64_t configuration = 0; // version; 0: none was read
    const fleet::Route *route = nullptr; // of the request in that configuration; null: it has none
    const tenants::TenantIndex *tenants = nullptr; // of that configuration; null: callers need no keys
    std::optional<bool> batchOpen; // the batch of the scored item; nothing: it is not known
    std::uint64_t ownerEpoch = 0; // of the newest owner of the pool
};

enum class RelayVerdict {
    Send,
    Outdated, // the other instance acts on what is not so any more: nobody who knows better sends it
    NotReadYet, // this instance may know less than the other one
};

struct RelayDecision
{
    RelayVerdict verdict = RelayVerdict::Send;
    std::string_view reason; // of a refusal
    fleet::Route route; // by which to send it
    std::string service; // empty: one of the route's has to be chosen
};

/// `tenant` is the one that the request names; empty: none.
RelayDecision decideRelay(const RelayedRequest &request, std::string_view tenant, const LocalView &view);

/// The part of the decision that may change while the request waits or runs: whether its item still needs the score.
/// `Send` for a caller's request.
RelayDecision decideScoring(const RequestBasis &basis, const LocalView &view);

std::string_view relayVerdictName(RelayVerdict verdict);

} // namespace bergamot::relay
