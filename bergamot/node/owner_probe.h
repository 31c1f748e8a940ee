#pragma once

// Asks the process that owns the engine pool whether it still runs. The answer of another process and a refused
// connection count as its end; silence does not, as the connection may be cut. A network that refuses connections can
// make the outcome wrong. That costs a hand-over and nothing else, because the store fences the earlier owner.
//
//     probeOwner(client, address, "node-1", [](ProbeOutcome outcome) { ... });
//
// Load pattern: the owner is killed, or all instances are, and start again within a second or two. Waiting for the
// ownership to expire would leave the engines idle for longer than that.

#include <functional>
#include <string>

#include "bergamot/net/http_client.h"
#include "bergamot/net/message.h"

namespace bergamot::node
{

enum class ProbeOutcome {
    Alive, // the process answered
    Gone, // nobody listens at its address, or another process does
    NoAnswer,
};

/// The answer of an instance to a probe.
net::Response probeResponse(const std::string &instance);

/// Probes the process `instance` at `address`; `done` runs once, on the loop of `client`.
void probeOwner(net::HttpClient &client,
                const Address &address,
                const std::string &instance,
                std::function<void(ProbeOutcome)> done);

} // namespace bergamot::node
