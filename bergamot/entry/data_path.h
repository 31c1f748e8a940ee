#pragma once

// The I/O layer around the router: receives callers' HTTP requests, executes the router's actions by HTTP calls to
// endpoints and through the control link, and answers the callers.
//
//     DataPath path(options, clock, std::make_shared<PeerControlLink>(identity, control), metrics);
//     HttpServer server(serverOptions, [&](HttpRequest request, ResponderPtr responder) {
//         path.handle(std::move(request), std::move(responder));
//     });
//     ...
//     path.beginShutdown();
//     path.drained().wait();

#include <future>
#include <memory>

#include "bergamot/base/clock.h"
#include "bergamot/base/metrics.h"
#include "bergamot/entry/control_link.h"
#include "bergamot/entry/shutdown_sequence.h"
#include "bergamot/http/message.h"
#include "bergamot/routing/router.h"

namespace bergamot
{

struct DataPathOptions
{
    InstanceId instance;
    RouterOptions router;
    ShutdownOptions shutdown;
    FailureDomainId domain;
    Duration viewPeriod = std::chrono::milliseconds(250); // between two requests for a view
    Duration tickPeriod = std::chrono::milliseconds(5); // between two calls of `Router::tick`
    std::uint64_t seed = 1;
};

/// Thread-safe.
class DataPath
{
public:
    DataPath(DataPathOptions options, const Clock &clock, std::shared_ptr<ControlLink> control, Metrics &metrics);
    /// Callers whose requests are pending get no answer; wait for `drained` first.
    ~DataPath();
    DataPath(const DataPath &) = delete;
    DataPath &operator=(const DataPath &) = delete;

    /// Handles a caller's request, or one for `/healthz`, `/readyz` or `/metrics`.
    void handle(HttpRequest request, ResponderPtr responder);
    /// Whether a view has been received and no shutdown has begun.
    bool ready() const;
    /// Starts the shutdown sequence and returns at once.
    void beginShutdown();
    /// Becomes ready when the shutdown sequence reaches `ShutdownPhase::Closed`.
    std::shared_future<void> drained() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace bergamot
