#pragma once

// The shell around the router: takes callers' HTTP requests, runs the router's actions over HTTP towards endpoints and
// over the control link, and answers.
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
    Duration viewPeriod = std::chrono::milliseconds(250);
    Duration tickPeriod = std::chrono::milliseconds(5);
    std::uint64_t seed = 1;
};

/// Thread-safe.
class DataPath
{
public:
    DataPath(DataPathOptions options, const Clock &clock, std::shared_ptr<ControlLink> control, Metrics &metrics);
    /// Callers that still wait get no answer from here; wait for `drained` first.
    ~DataPath();
    DataPath(const DataPath &) = delete;
    DataPath &operator=(const DataPath &) = delete;

    void handle(HttpRequest request, ResponderPtr responder);
    /// A view has come and no shutdown has begun.
    bool ready() const;
    void beginShutdown();
    /// Ready once the shutdown sequence has closed.
    std::shared_future<void> drained() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace bergamot
