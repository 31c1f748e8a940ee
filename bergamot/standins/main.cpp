// bergamot-standin: plays the platform, model engines and plain services for tests and demos.

#include "bergamot/base/logging.h"
#include "bergamot/base/settings.h"
#include "bergamot/base/shutdown_signals.h"
#include "bergamot/http/threads.h"
#include "bergamot/standins/standin.h"

namespace
{

using namespace bergamot;

constexpr std::size_t HttpThreads = 8;

std::string checkOptionalAddress(const std::string &value)
{
    return value.empty() ? std::string() : checkAddress(value);
}

/// A check that a list has one entry for each one in the setting `other`.
SettingsParser::Check matchesLength(const SettingsParser &parser, const std::string &other)
{
    return [&parser, other](const std::string &value) {
        const std::size_t expected = splitList(parser.text(other)).size();
        return splitList(value).size() == expected
            ? std::string()
            : "must have " + std::to_string(expected) + " entries, one for each of --" + other;
    };
}

void addPlaces(SettingsParser &parser)
{
    parser.optional("log", "", "IP:PORT of the log.", checkOptionalAddress);
    parser.optional("list", "", "IP:PORT of the instance list.", checkOptionalAddress);
    parser.optional("weight-store", "", "IP:PORT of the weight store.", checkOptionalAddress);
    parser.optional("scoring", "", "IP:PORT of the scoring service.", checkOptionalAddress);
    parser.optional("engines", "", "IP:PORT of each model engine, separated by commas.", checkAddressList);
    parser.optional(
        "engine-names", "", "Their names in the list, in the same order.", matchesLength(parser, "engines"));
    parser.optional(
        "engine-domains", "", "Their failure domains, in the same order.", matchesLength(parser, "engines"));
    parser.optional("model", "model", "Model that the engines serve.");
    parser.optional("services", "", "IP:PORT of each service endpoint, separated by commas.", checkAddressList);
    parser.optional(
        "service-names", "", "Their names in the list, in the same order.", matchesLength(parser, "services"));
    parser.optional(
        "service-domains", "", "Their failure domains, in the same order.", matchesLength(parser, "services"));
    parser.optional("service", "service", "Service that the endpoints serve.");
    parser.optional("register-at", "", "IP:PORT of a list in another process.", checkOptionalAddress);
}

void addBehaviour(SettingsParser &parser)
{
    parser.optional("log-level", "info", "debug, info, warning or error.", checkLogLevel);
    parser.optional("appends-per-second", "400", "Limit of the log.", checkUnsigned);
    parser.optional("retained-records", "1000000", "Records that the log keeps of each stream.", checkUnsigned);
    parser.optional("retained-ms", "86400000", "How long the log keeps a record.", checkUnsigned);
    parser.optional("list-lag-ms", "500", "How late the list shows a change.", checkUnsigned);
    parser.optional("concurrent-fetches", "4", "Engines that the weight store serves at once.", checkUnsigned);
    parser.optional("fetch-ms", "500", "How long an engine fetches weights.", checkUnsigned);
    parser.optional("swap-ms", "100", "How long an engine stops decoding to swap weights.", checkUnsigned);
    parser.optional("slots", "8", "Generations that an engine runs at once.", checkUnsigned);
    parser.optional("tokens-per-second", "100", "Rate of each slot of an engine.", checkUnsigned);
    parser.optional("prefill-tokens-per-second", "20000", "Rate at which an engine reads a prompt.", checkUnsigned);
    parser.optional("cache-tokens", "8192", "Prompt tokens that an engine's cache holds.", checkUnsigned);
    parser.optional("load-lag-ms", "500", "Time between two load reports of an endpoint.", checkUnsigned);
    parser.optional("boot-version", "1", "Weights that an engine starts with.", checkUnsigned);
    parser.optional("minimum-length-percent", "100", "Shortest generation, of the tokens asked for.", checkUnsigned);
    parser.optional("check-fencing", "1", "1: engines refuse an old fencing number; 0: they ignore it.", checkUnsigned);
    parser.optional("restart-ms", "1000", "How long a crashed engine or endpoint is away.", checkUnsigned);
    parser.optional("workers", "16", "Requests that a service endpoint works on at once.", checkUnsigned);
    parser.optional("service-ms", "5", "How long a service endpoint works on one.", checkUnsigned);
    parser.optional("scoring-ms", "2", "How long a score takes.", checkUnsigned);
}

std::optional<Address> placeOf(const SettingsParser &settings, const std::string &name)
{
    const std::string text = settings.text(name);
    return text.empty() ? std::nullopt : std::optional(*parseAddress(text));
}

/// Endpoints from three lists of equal length.
std::vector<EndpointPlace>
placesOf(const SettingsParser &settings, const std::string &addresses, const std::string &kind)
{
    const std::vector<std::string> places = splitList(settings.text(addresses));
    const std::vector<std::string> names = splitList(settings.text(kind + "-names"));
    const std::vector<std::string> domains = splitList(settings.text(kind + "-domains"));
    std::vector<EndpointPlace> result;
    for (std::size_t i = 0; i < places.size(); ++i) {
        result.push_back({*parseAddress(places[i]), names[i], FailureDomainId(domains[i])});
    }
    return result;
}

Duration timeOfOne(std::uint64_t perSecond)
{
    return Duration(std::chrono::seconds(1)) / std::max<std::uint64_t>(1, perSecond);
}

EngineCoreOptions engineOptions(const SettingsParser &settings)
{
    EngineCoreOptions options;
    options.model = ModelId(settings.text("model"));
    options.bootVersion = settings.number("boot-version");
    options.slots = static_cast<std::uint32_t>(std::max<std::uint64_t>(1, settings.number("slots")));
    options.tokenTime = timeOfOne(settings.number("tokens-per-second"));
    options.prefillTokenTime = timeOfOne(settings.number("prefill-tokens-per-second"));
    options.cacheTokens = settings.number("cache-tokens");
    options.fetchTime = settings.milliseconds("fetch-ms");
    options.swapTime = settings.milliseconds("swap-ms");
    options.restartTime = settings.milliseconds("restart-ms");
    options.loadLag = settings.milliseconds("load-lag-ms");
    options.minimumLengthPercent = static_cast<std::uint32_t>(settings.number("minimum-length-percent"));
    options.checksFencing = settings.number("check-fencing") != 0;
    return options;
}

StandinOptions standinOptions(const SettingsParser &settings)
{
    StandinOptions options;
    options.log = placeOf(settings, "log");
    options.logOptions.appendsPerSecond = static_cast<std::uint32_t>(settings.number("appends-per-second"));
    options.logOptions.retainedRecords = settings.number("retained-records");
    options.logOptions.retainedFor = settings.milliseconds("retained-ms");
    options.list = placeOf(settings, "list");
    options.listLag = settings.milliseconds("list-lag-ms");
    options.weightStore = placeOf(settings, "weight-store");
    options.weightStoreOptions.concurrentFetches = std::max<std::uint64_t>(1, settings.number("concurrent-fetches"));
    options.weightStoreOptions.fetchTime = settings.milliseconds("fetch-ms");
    options.scoring = placeOf(settings, "scoring");
    options.scoringTime = settings.milliseconds("scoring-ms");
    options.engines = placesOf(settings, "engines", "engine");
    options.engineOptions = engineOptions(settings);
    options.services = placesOf(settings, "services", "service");
    options.serviceOptions.workers = static_cast<std::uint32_t>(std::max<std::uint64_t>(1, settings.number("workers")));
    options.serviceOptions.serviceTime = settings.milliseconds("service-ms");
    options.serviceOptions.restartTime = settings.milliseconds("restart-ms");
    options.serviceOptions.loadLag = settings.milliseconds("load-lag-ms");
    options.service = settings.text("service");
    options.registerAt = placeOf(settings, "register-at");
    return options;
}

int serve(const StandinOptions &options, const ShutdownSignals &signals)
{
    const ComponentLogger log("standin");
    Standin standin(options);
    if (const Result<void> started = standin.start(); !started) {
        log.error("Cannot start: " + started.error().message);
        return 1;
    }
    log.info("Serving " + std::to_string(options.engines.size()) + " engines and "
             + std::to_string(options.services.size()) + " service endpoints.");
    signals.wait();
    log.info("Stopping.");
    standin.stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const ShutdownSignals signals;
    SettingsParser settings("bergamot-standin",
                            "Plays the platform, model engines and plain services for tests and demos. Each port "
                            "takes POST /faults {fault, call, count, duration_ms, text}.");
    addPlaces(settings);
    addBehaviour(settings);
    if (const SettingsOutcome outcome = settings.parse(argc, argv); outcome.exitCode) {
        return *outcome.exitCode;
    }
    initializeLogging(*parseLogLevel(settings.text("log-level")));
    initializeHttpThreads(HttpThreads);
    return serve(standinOptions(settings), signals);
}
