// bergamot-control: everything of the system that is not on the request path, on every instance.

#include <random>

#include "bergamot/base/logging.h"
#include "bergamot/base/settings.h"
#include "bergamot/base/shutdown_signals.h"
#include "bergamot/control/control_process.h"
#include "bergamot/http/threads.h"

namespace
{

using namespace bergamot;

constexpr std::size_t HttpThreads = 4;

std::string checkLogReaders(const std::string &value)
{
    return value == "relays" || value == "all" ? "" : "'" + value + "' is neither relays nor all";
}

SettingsParser settingsParser()
{
    SettingsParser parser("bergamot-control", "Agrees, follows and repairs, beside the entry process of one instance.");
    parser.require("instance", "Name of this instance; another one for each replacement.");
    parser.require("domain", "Failure domain of this instance.");
    parser.require("listen-address", "IP:PORT for frames of other instances and of the entry process.", checkAddress);
    parser.require("http-address", "IP:PORT for operators and trainers.", checkAddress);
    parser.require("entry-address", "IP:PORT where the entry process takes callers.", checkAddress);
    parser.require("log-address", "IP:PORT of the platform's log.", checkAddress);
    parser.require("list-address", "IP:PORT of the platform's list of instances.", checkAddress);
    parser.require("weight-store-address", "IP:PORT of the platform's weight store.", checkAddress);
    parser.optional(
        "seed-peers", "", "IP:PORT,... of other control processes, for a start without the list.", checkAddressList);
    parser.optional("log-readers", "relays", "Who reads the log: relays, or all for comparison.", checkLogReaders);
    parser.optional(
        "checkpoint-age-ms", "300000", "Age of a checkpoint, a third of the log's retention at most.", checkUnsigned);
    parser.optional(
        "drain-limit-ms", "30000", "How long a shutdown may take to finish what is in flight.", checkUnsigned);
    parser.optional("log-level", "info", "debug, info, warning or error.", checkLogLevel);
    return parser;
}

ControlOptions controlOptions(const SettingsParser &settings)
{
    std::random_device random;
    ControlOptions options;
    options.instance = InstanceId(settings.text("instance"));
    options.domain = FailureDomainId(settings.text("domain"));
    options.incarnation = random(); // 32 bits: exact in every JSON reader
    options.listenAddress = *parseAddress(settings.text("listen-address"));
    options.httpAddress = *parseAddress(settings.text("http-address"));
    options.entryAddress = *parseAddress(settings.text("entry-address"));
    options.logAddress = *parseAddress(settings.text("log-address"));
    options.listAddress = *parseAddress(settings.text("list-address"));
    options.weightStoreAddress = *parseAddress(settings.text("weight-store-address"));
    options.seedPeers = splitList(settings.text("seed-peers"));
    options.logReaders = settings.text("log-readers") == "all" ? LogReaders::EveryInstance : LogReaders::Relays;
    options.checkpointAge = settings.milliseconds("checkpoint-age-ms");
    return options;
}

int run(const SettingsParser &settings, const ShutdownSignals &signals)
{
    const ComponentLogger log("control");
    ControlProcess process(controlOptions(settings));
    if (const Result<void> started = process.start(); !started) {
        log.error("Cannot start: " + started.error().message);
        return 1;
    }
    log.info("Serving frames on " + settings.text("listen-address") + ", operators on " + settings.text("http-address")
             + ".");
    signals.wait();
    log.info("Shutting down: giving duties back.");
    process.shutDown(settings.milliseconds("drain-limit-ms"));
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
    initializeHttpThreads(HttpThreads);
    return run(settings, signals);
}
