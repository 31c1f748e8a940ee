#include "review/standins-3/review_fleet.h"

#include <csignal>
#include <cstdio>

#include <rapidjson/document.h>

#include "platform/json_fields.h"

namespace bergamot::review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t Seed = 3;
constexpr Duration StoreAnswerTime = 4ms; // as on the sheets of the small deployments
constexpr Duration StartTimeout = 15s;
constexpr Duration CallTimeout = 3s;
constexpr Duration RetryPause = 200ms;
constexpr Duration SupervisionPeriod = 20ms;
constexpr Duration RestartDelay = 500ms;
constexpr int Accepted = 202;
constexpr int Ok = 200;

} // namespace

std::string attemptId(const WatchedRequest &request)
{
    constexpr std::string_view Name = "Bergamotwinch-Attempt-Id: ";
    const std::size_t found = request.head.find(Name);
    if (found == std::string::npos) {
        return {};
    }
    const std::size_t begin = found + Name.size();
    return request.head.substr(begin, request.head.find('\r', begin) - begin);
}

ReviewFleet::ReviewFleet(const ReviewOptions &review, FleetOptions options)
    : m_review(review)
    , m_options(std::move(options))
    , m_startedAt(BootClock::now())
    , m_record(review.record)
    , m_store(m_loop, Seed)
    , m_client(m_loop, {})
    , m_supervision(m_loop)
{ }

ReviewFleet::~ReviewFleet()
{
    machines.clear();
    m_storeProxies.clear();
    m_endpoints.clear();
}

bool ReviewFleet::addEndpoint(platform::EndpointStandinOptions options)
{
    const std::string id = options.id;
    Endpoint &endpoint = m_endpoints[id];
    endpoint.standin =
        std::make_unique<platform::EndpointStandin>(m_loop, m_store, std::move(options), m_observations, Seed);
    if (!endpoint.standin->listen({"127.0.0.1", 0})) {
        return false;
    }
    endpoint.proxy =
        std::make_unique<WatchedProxy>(m_loop, endpoint.standin->address(), [this, id](const WatchedRequest &request) {
            observeEngineCall(id, request);
            return AnswerFate::Passed;
        });
    if (!endpoint.proxy->listen()) {
        return false;
    }
    endpoint.proxy->onEnd = [this](const WatchedRequest &request, bool whole) {
        observeEngineEnd(request, whole);
    };
    endpoint.standin->registerAs(endpoint.proxy->address());
    return true;
}

void ReviewFleet::drainEndpoint(const std::string &id)
{
    record(id + " is draining");
    m_endpoints.at(id).standin->drain();
}

void ReviewFleet::removeEndpoint(const std::string &id)
{
    record(id + " is gone");
    m_endpoints.at(id).standin->leaveWithoutReport();
    m_endpoints.at(id).proxy->shutDown();
}

void ReviewFleet::cutFromStore(std::size_t machine)
{
    record(machines[machine]->name() + " is cut off from the store");
    m_storeProxies[machine]->cut = true;
}

void ReviewFleet::observeEngineCall(const std::string &engine, const WatchedRequest &request)
{
    if (onEndpointCall) {
        onEndpointCall(engine, request);
    }
    if (request.line.starts_with("POST /samples/")) {
        ItemRun &run = itemRuns[attemptId(request)];
        ++run.running;
        run.begunAt = BootClock::now();
    }
}

void ReviewFleet::observeEngineEnd(const WatchedRequest &request, bool whole)
{
    if (!request.line.starts_with("POST /samples/")) {
        return;
    }
    ItemRun &run = itemRuns[attemptId(request)];
    --run.running;
    run.finished = run.finished || whole;
    run.endedAt = BootClock::now();
}

bool ReviewFleet::start()
{
    m_store.faults.delay = StoreAnswerTime;
    if (!m_record || !m_store.listen({"127.0.0.1", 0})) {
        return false;
    }
    platform::ConfigurationParameters configuration{
        .version = 1, .engineSlots = m_options.engine.slots, .bodyBytes = m_options.bodyBytes};
    std::string json = platform::configurationJson(configuration);
    if (m_options.resultDeadlineMs != 0) {
        constexpr std::string_view Kind = R"("route_kind":"rollout")";
        json.insert(json.find(Kind), R"("result_deadline_ms":)" + std::to_string(m_options.resultDeadlineMs) + ",");
    }
    m_store.put("keyed.op", "config", json);
    for (std::size_t index = 1; index <= m_options.engines; ++index) {
        platform::EndpointStandinOptions engine = m_options.engine;
        engine.id = "e" + std::to_string(index);
        engine.service = "llm";
        engine.model = std::string(platform::StandinModel);
        if (!addEndpoint(std::move(engine))) {
            return false;
        }
    }
    for (std::size_t index = 1; index <= m_options.services; ++index) {
        if (!addEndpoint({.id = "d" + std::to_string(index), .service = "desk", .slots = 16})) {
            return false;
        }
    }
    for (std::size_t index = 0; index < m_options.nodes; ++index) {
        Address store{"127.0.0.1", m_store.port()};
        if (m_options.watchesStore) {
            m_storeProxies.push_back(
                std::make_unique<WatchedProxy>(m_loop, store, [this, index](const WatchedRequest &request) {
                    return onStoreCall ? onStoreCall(index, request) : AnswerFate::Passed;
                }));
            if (!m_storeProxies.back()->listen()) {
                return false;
            }
            store = m_storeProxies.back()->address();
        }
        machines.push_back(
            std::make_unique<NodeMachine>(NodeMachineOptions{.program = m_review.program,
                                                             .folder = m_review.folder,
                                                             .name = "node-" + std::to_string(index + 1),
                                                             .zone = "a",
                                                             .store = store,
                                                             .memoryMegabytes = m_options.memoryMegabytes}));
        if (!machines.back()->start()) {
            return false;
        }
    }
    const TimePoint deadline = BootClock::now() + StartTimeout;
    for (std::size_t index = 0; index < machines.size(); ++index) {
        while (!ready(index)) {
            if (BootClock::now() > deadline) {
                return false;
            }
            runFor(RetryPause);
        }
    }
    record(std::to_string(machines.size()) + " nodes are ready");
    killedForMemory.resize(machines.size());
    m_endedAt.resize(machines.size());
    supervise();
    return true;
}

void ReviewFleet::supervise()
{
    const TimePoint now = BootClock::now();
    for (std::size_t index = 0; index < machines.size(); ++index) {
        NodeMachine &machine = *machines[index];
        std::optional<TimePoint> &endedAt = m_endedAt[index];
        if (machine.running()) {
            const double megabytes = machine.residentMegabytes();
            if (megabytes > m_options.memoryMegabytes) {
                record("the platform kills " + machine.name() + ", which takes " + std::to_string(megabytes) + " MB");
                ++killedForMemory[index];
                machine.signal(SIGKILL);
            }
        } else if (!endedAt) {
            record("the process of " + machine.name() + " has ended");
            endedAt = now;
        } else if (now - *endedAt >= RestartDelay) {
            endedAt.reset();
            machine.start();
            startedAgainAt = now;
            record("the process of " + machine.name() + " is started again");
        }
    }
    m_supervision.expires_after(SupervisionPeriod);
    m_supervision.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            supervise();
        }
    });
}

void ReviewFleet::runFor(Duration duration)
{
    m_loop.restart();
    m_loop.run_for(duration);
}

bool ReviewFleet::runUntil(const std::function<bool()> &done, Duration timeout)
{
    const TimePoint deadline = BootClock::now() + timeout;
    while (!done()) {
        if (BootClock::now() > deadline) {
            return false;
        }
        m_loop.restart();
        m_loop.run_one_for(5ms);
    }
    return true;
}

void ReviewFleet::record(const std::string &text)
{
    const std::chrono::duration<double> elapsed = BootClock::now() - m_startedAt;
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", elapsed.count());
    m_record << time.data() << text << "\n" << std::flush;
}

ReviewFleet::Answer ReviewFleet::call(const Address &to, net::Request request, Duration timeout)
{
    std::optional<net::WholeAnswer> answer;
    net::ClientRequest outgoing{.to = to,
                                .method = request.method,
                                .target = request.target,
                                .headers = request.headers,
                                .body = std::move(request.body),
                                .newConnection = true,
                                .headTimeout = timeout,
                                .bodyGapTimeout = timeout,
                                .answerTimeout = timeout};
    outgoing.headers.set("Host", platform::StandinHost);
    net::startForWholeAnswer(m_client, std::move(outgoing), [&answer](net::WholeAnswer received) {
        answer = std::move(received);
    });
    runUntil(
        [&answer] {
            return answer.has_value();
        },
        2 * timeout);
    const bool whole = answer && answer->end.failure == net::CallFailure::None;
    return whole ? Answer{.status = answer->status, .body = answer->body} : Answer{};
}

bool ReviewFleet::ready(std::size_t machine)
{
    return call(machines[machine]->readiness(), {.method = "GET", .target = "/bergamotwinch/readiness"}, 1s).status
        == Ok;
}

ReviewFleet::Answer ReviewFleet::submit(std::size_t machine, const std::string &batch, const std::string &body)
{
    net::Request request{.method = "POST", .target = "/samples/" + batch, .body = body};
    request.headers.add("Bergamotwinch-Attempt-Id", batch);
    request.headers.add("Content-Type", "application/json");
    request.headers.add("Bergamotwinch-Deadline-Ms", "12000");
    constexpr Duration SubmitTimeout = 12s;
    Answer answer = call(machines[machine]->callers(), std::move(request), SubmitTimeout);
    record("batch " + batch + " of " + std::to_string(body.size()) + " bytes sent to " + machines[machine]->name()
           + ": " + std::to_string(answer.status));
    return answer;
}

std::optional<std::size_t> ReviewFleet::readResults(std::size_t machine, const std::string &batch)
{
    const Answer answer = call(machines[machine]->callers(),
                               {.method = "GET", .target = "/bergamotwinch/lots/" + batch + "?after=0"},
                               CallTimeout);
    if (answer.status != Ok) {
        return std::nullopt;
    }
    const rapidjson::Document json = platform::json::parse(answer.body);
    const rapidjson::Value *results = platform::json::arrayMember(json, "results");
    return results == nullptr ? 0 : results->Size();
}

bool ReviewFleet::submitUntilAccepted(const std::string &batch, const std::string &body, Duration timeout)
{
    const TimePoint deadline = BootClock::now() + timeout;
    for (std::size_t machine = 0; BootClock::now() < deadline; machine = (machine + 1) % machines.size()) {
        if (machines[machine]->running() && submit(machine, batch, body).status == Accepted) {
            return true;
        }
        runFor(RetryPause);
    }
    return false;
}

bool ReviewFleet::readUntilListed(const std::string &batch, std::size_t results, Duration timeout)
{
    const TimePoint deadline = BootClock::now() + timeout;
    for (std::size_t machine = 0; BootClock::now() < deadline; machine = (machine + 1) % machines.size()) {
        const std::optional<std::size_t> listed =
            machines[machine]->running() ? readResults(machine, batch) : std::nullopt;
        if (listed && *listed >= results) {
            record("batch " + batch + ": " + std::to_string(*listed) + " results read");
            return true;
        }
        runFor(RetryPause);
    }
    record("batch " + batch + ": " + std::to_string(results) + " results were not listed in time");
    return false;
}

bool ReviewFleet::end(const std::string &batch, std::size_t machine)
{
    const int status =
        call(machines[machine]->callers(), {.method = "DELETE", .target = "/bergamotwinch/lots/" + batch}, CallTimeout)
            .status;
    record("batch " + batch + " ended at " + machines[machine]->name() + ": " + std::to_string(status));
    return status == Ok;
}

void ReviewFleet::endAnywhere(const std::string &batch, std::size_t maxTries)
{
    for (std::size_t tries = 0; tries < maxTries; ++tries) {
        if (machines[tries]->running() && end(batch, tries)) {
            return;
        }
    }
}

void ReviewFleet::nameVersion(std::uint64_t version)
{
    record("the trainer names version " + std::to_string(version));
    m_store.put("keyed.op", "version/" + std::string(platform::StandinModel), platform::namedVersionJson(version));
}

logstore::MemoryLog &ReviewFleet::log()
{
    return m_store.log();
}

} // namespace bergamot::review
