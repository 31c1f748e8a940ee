#pragma once

// The messages between an instance that is cut off from the endpoints and one that sends requests for it.
//
//     Result<RelayedRequest> request = parseRelayed(relayMessage(sent));
//
// The response to a message is the endpoint's own response, or the refusal of the relaying instance. `OutcomeHeader`
// tells which: a response without it proves nothing.

#include <memory>
#include <string>

#include "bergamot/base/error.h"
#include "bergamot/fleet/configuration.h"
#include "bergamot/net/message.h"
#include "bergamot/relay/request_basis.h"

namespace bergamot::relay
{

constexpr std::string_view RelayPath = "/relay";
constexpr std::string_view ReachPath = "/reach"; // whether the asked instance reaches endpoints
constexpr std::string_view ReachesAnswer = "reaches";
constexpr std::string_view ReachesWithoutLogAnswer = "reaches without the log"; // it cannot own the pool
constexpr std::string_view OutcomeHeader = "Bergamot-Relay-Outcome";
constexpr std::string_view ReasonHeader = "Bergamot-Relay-Reason"; // of a refusal
constexpr std::string_view OutdatedHeader = "Bergamot-Relay-Outdated"; // of a refusal, whoever is asked
constexpr std::string_view Answered = "answered"; // the response is that of the endpoint
constexpr std::string_view NotRun = "not-run"; // no endpoint accepted it
constexpr std::string_view Declined = "declined"; // not run: the instance sends no requests for others now
constexpr std::string_view MaybeRan = "maybe-ran";

struct RelayedRequest
{
    std::string instance; // that relays it
    std::string id; // for logs
    net::Request request;
    std::string service;
    fleet::Route route; // name, kind, `resumable` and `maxAttempts`, which counts the endpoints that are left
    Duration deadlineLeft{};
    std::string softwareVersion; // of the endpoints that may resume the stream; empty: it is not resumed
    bool owed = false;
    std::string streamName; // under which its caller may take up the stream; empty: `id`
    RequestBasis basis;
    std::shared_ptr<const std::string> body; // sent instead of the body of `request`; null: that one is sent
};

std::string relayMessage(const RelayedRequest &request);
/// Fails with `InvalidArgument` if the bytes are no relayed request.
Result<RelayedRequest> parseRelayed(const std::string &bytes);

} // namespace bergamot::relay
