#pragma once

// A small deployment on loopback: the platform's store, engines, a plain service and a trainer as stand-ins, and nodes
// as processes of their own. What is sent, answered and run goes to the record.
//
//     ReviewFleet fleet(options);
//     if (!fleet.start()) { return CaseOutcome::CouldNotRun; }

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bergamot/net/http_client.h"
#include "bergamot/net/whole_answer.h"
#include "platform/standins/endpoint_standin.h"
#include "platform/standins/messages.h"
#include "platform/standins/store_standin.h"
#include "review/standins-3/node_machine.h"
#include "review/standins-3/watched_proxy.h"

namespace bergamot::review
{

/// The exit codes of a case.
enum class CaseOutcome {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

struct ReviewOptions
{
    std::string program; // of the nodes
    std::string folder; // for settings and logs
    std::string record; // path
    bool trouble = true;
};

struct FleetOptions
{
    std::size_t nodes = 4;
    std::size_t engines = 3;
    std::size_t services = 1; // plain endpoints of the service "desk"
    double memoryMegabytes = 270; // of a machine
    bool watchesStore = true; // the calls of the nodes to the store go through proxies
    std::uint64_t resultDeadlineMs = 0; // of the route of batches; 0: not named
    std::uint64_t bodyBytes = 0; // limit of callers' bodies in the configuration; 0: not named
    platform::EndpointStandinOptions engine; // id, service and model are set by the fleet
};

/// What the engines have seen of an item.
struct ItemRun
{
    std::size_t running = 0; // runs
    bool finished = false; // a run went on to its end
    TimePoint begunAt{}; // the last run
    TimePoint endedAt{}; // the last run
};

/// Returns the id that a request bears; empty if it bears none.
std::string attemptId(const WatchedRequest &request);

/// Not thread-safe.
class ReviewFleet
{
public:
    ReviewFleet(const ReviewOptions &review, FleetOptions options);
    ~ReviewFleet();
    ReviewFleet(const ReviewFleet &) = delete;
    ReviewFleet &operator=(const ReviewFleet &) = delete;

    /// Starts everything and waits until each node is ready. Returns false if that fails.
    bool start();
    void runFor(Duration duration);
    /// Returns false if `done` has not become true within `timeout`.
    bool runUntil(const std::function<bool()> &done, Duration timeout);
    void record(const std::string &text);

    struct Answer
    {
        int status = 0; // 0: none that is complete
        std::string body;
    };
    Answer call(const Address &to, net::Request request, Duration timeout);
    bool ready(std::size_t machine);
    Answer submit(std::size_t machine, const std::string &batch, const std::string &body);
    /// Number of results that are listed; nothing if the call was not answered with 200.
    std::optional<std::size_t> readResults(std::size_t machine, const std::string &batch);
    /// Submits the batch, again at the next machine after a failure, and returns whether it was accepted.
    bool submitUntilAccepted(const std::string &batch, const std::string &body, Duration timeout);
    bool readUntilListed(const std::string &batch, std::size_t results, Duration timeout);
    /// Ends the batch at this machine; returns whether that was answered with 200.
    bool end(const std::string &batch, std::size_t machine);
    /// Ends the batch, at the next machine after a failure.
    void endAnywhere(const std::string &batch, std::size_t maxTries);
    void nameVersion(std::uint64_t version);
    /// Starts one more engine or plain service, which registers itself.
    bool addEndpoint(platform::EndpointStandinOptions options);
    /// The endpoint says that it is draining, and goes on serving.
    void drainEndpoint(const std::string &id);
    /// The entry of the endpoint is removed, and nobody listens at its address any more.
    void removeEndpoint(const std::string &id);
    /// Cuts a machine off from the store: nothing passes in either direction.
    void cutFromStore(std::size_t machine);
    logstore::MemoryLog &log();

    /// The observer of the nodes' calls to the store.
    std::function<AnswerFate(std::size_t machine, const WatchedRequest &request)> onStoreCall;
    /// The observer of the calls that reach engines and plain services.
    std::function<void(const std::string &endpoint, const WatchedRequest &request)> onEndpointCall;

    std::vector<std::unique_ptr<NodeMachine>> machines;
    std::map<std::string, ItemRun> itemRuns; // by item
    TimePoint startedAgainAt{}; // the last process of a machine
    std::vector<std::size_t> killedForMemory; // how often the platform has killed each machine's process for it

private:
    /// Does what the platform does: kills a process that exceeds its memory, and restarts one that has ended.
    void supervise();
    void observeEngineCall(const std::string &engine, const WatchedRequest &request);
    void observeEngineEnd(const WatchedRequest &request, bool whole);

    ReviewOptions m_review;
    FleetOptions m_options;
    TimePoint m_startedAt;
    std::ofstream m_record;
    boost::asio::io_context m_loop;
    platform::StoreStandin m_store;
    platform::EndpointObservations m_observations;
    net::HttpClient m_client;
    struct Endpoint
    {
        std::unique_ptr<platform::EndpointStandin> standin;
        std::unique_ptr<WatchedProxy> proxy;
    };

    std::map<std::string, Endpoint> m_endpoints; // by id
    std::vector<std::unique_ptr<WatchedProxy>> m_storeProxies; // by machine
    boost::asio::steady_timer m_supervision;
    std::vector<std::optional<TimePoint>> m_endedAt; // of processes that have not been restarted yet
};

} // namespace bergamot::review
