// bergamot-entry: runs the data path of one instance. It serves callers, and gets views and claims of idempotency keys
// from the control process of its instance.

#include <iostream>
#include <random>

#include "bergamot/base/logging.h"
#include "bergamot/base/settings.h"
#include "bergamot/base/shutdown_signals.h"
#include "bergamot/entry/data_path.h"
#include "bergamot/entry/peer_control_link.h"
#include "bergamot/http/server.h"

namespace
{

using namespace bergamot;

constexpr std::chrono::seconds ServerDrainTimeout{30};

SettingsParser settingsParser()
{
    SettingsParser parser("bergamot-entry", "Routes callers' requests on one instance.");
    parser.require("instance", "Name of this instance.");
    parser.require("domain", "Failure domain of this instance.");
    parser.require("listen-address", "IP:PORT where callers connect.", checkAddress);
    parser.require("control-address", "IP:PORT of the control process of this instance.", checkAddress);
    parser.optional("log-level", "info", "debug, info, warning or error.", checkLogLevel);
    parser.optional("balancer-grace-ms",
                    "5000",
                    "How long to keep serving after SIGTERM while reporting not ready.",
                    checkUnsigned);
    parser.optional(
        "drain-limit-ms", "600000", "How long requests in flight may take after the grace period.", checkUnsigned);
    parser.optional("max-requests", "4096", "Maximum number of concurrent caller requests.", checkUnsigned);
    parser.optional("max-body-bytes", "16777216", "Maximum size of a request's body.", checkUnsigned);
    parser.optional("max-head-bytes", "65536", "Maximum size of a request's line and headers.", checkUnsigned);
    parser.optional("max-stream-backlog-bytes",
                    "262144",
                    "Unread bytes of one stream above which the stream is closed.",
                    checkUnsigned);
    parser.optional(
        "max-connections", "8192", "Number of caller connections above which idle ones are closed.", checkUnsigned);
    parser.optional("idle-connection-ms", "120000", "How long a connection may be idle.", checkUnsigned);
    parser.optional("max-queued", "512", "Maximum number of queued requests for one service or model.", checkUnsigned);
    return parser;
}

DataPathOptions dataPathOptions(const SettingsParser &settings)
{
    DataPathOptions options;
    options.instance = InstanceId(settings.text("instance"));
    options.domain = FailureDomainId(settings.text("domain"));
    options.router.target.pool.instance = settings.text("instance");
    options.router.target.pool.domain = options.domain;
    options.router.target.queue.most = settings.number("max-queued");
    options.shutdown.balancerGrace = settings.milliseconds("balancer-grace-ms");
    options.shutdown.limit = settings.milliseconds("drain-limit-ms");
    options.seed = std::random_device()();
    return options;
}

HttpServerOptions serverOptions(const SettingsParser &settings)
{
    HttpServerOptions options;
    options.address = *parseAddress(settings.text("listen-address"));
    options.maxHeadBytes = settings.number("max-head-bytes");
    options.maxBodyBytes = settings.number("max-body-bytes");
    options.maxRequestsAtOnce = settings.number("max-requests");
    options.maxStreamBacklogBytes = settings.number("max-stream-backlog-bytes");
    options.connections.most = settings.number("max-connections");
    options.connections.idle = settings.milliseconds("idle-connection-ms");
    options.refusalHeaders["Bergamot-Outcome"] = "not-run";
    return options;
}

int serve(const SettingsParser &settings, const ShutdownSignals &signals)
{
    const ComponentLogger log("entry");
    const SystemClock clock;
    Metrics metrics;
    const PeerIdentity identity{.sender = settings.text("instance"), .domain = settings.text("domain")};
    const auto control = std::make_shared<PeerControlLink>(identity, *parseAddress(settings.text("control-address")));
    DataPath path(dataPathOptions(settings), clock, control, metrics);
    HttpServer server(serverOptions(settings), [&path](HttpRequest request, ResponderPtr responder) {
        path.handle(std::move(request), std::move(responder));
    });
    if (const Result<void> started = server.start(); !started) {
        log.error("Cannot start the HTTP server: " + started.error().message);
        return 1;
    }
    log.info("Serving callers on " + toString(server.address()) + ".");
    signals.wait();
    log.info("Shutting down: reporting not ready.");
    path.beginShutdown();
    path.drained().wait();
    server.drain(ServerDrainTimeout);
    server.stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const ShutdownSignals signals;
    SettingsParser settings = settingsParser();
    if (const SettingsOutcome outcome = settings.parse(argc, argv); outcome.exitCode) {
        return *outcome.exitCode;
    }
    initializeLogging(*parseLogLevel(settings.text("log-level")));
    return serve(settings, signals);
}
