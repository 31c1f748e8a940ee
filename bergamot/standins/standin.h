#pragma once

// One process's worth of stand-ins: any set of log, instance list, weight store, scoring service, engines and service
// endpoints, each on its own port. Engines and endpoints register themselves in the list.
//
//     StandinOptions options;
//     options.log = Address {"127.0.0.1", 0};
//     Standin standin(options);
//     Result<void> started = standin.start();
//     use(standin.logAddress());

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bergamot/http/client.h"
#include "bergamot/standins/endpoint_servers.h"
#include "bergamot/standins/platform_servers.h"

namespace bergamot
{

/// Where one engine or service endpoint listens, and what the list says of it.
struct EndpointPlace
{
    Address address;
    std::string name;
    FailureDomainId domain;
};

struct StandinOptions
{
    std::optional<Address> log = std::nullopt;
    LogCoreOptions logOptions = {};
    std::optional<Address> list = std::nullopt;
    Duration listLag = std::chrono::milliseconds(500);
    std::optional<Address> weightStore = std::nullopt;
    WeightStoreOptions weightStoreOptions = {};
    std::optional<Address> scoring = std::nullopt;
    Duration scoringTime = std::chrono::milliseconds(2);
    std::vector<EndpointPlace> engines = {};
    EngineCoreOptions engineOptions = {}; // the name is taken from the place
    std::vector<EndpointPlace> services = {};
    ServiceCoreOptions serviceOptions = {};
    std::string service = {}; // what the service endpoints serve
    std::optional<Address> registerAt = std::nullopt; // a list in another process; not needed beside `list`
};

/// `start`, `stop` and the destructor are called from one thread; addresses may be read from any after `start`.
class Standin
{
public:
    explicit Standin(StandinOptions options);
    ~Standin();
    Standin(const Standin &) = delete;
    Standin &operator=(const Standin &) = delete;

    /// Opens every port; port 0 takes a free one. On an error none stays open.
    Result<void> start();
    /// Closes every port at once; answers not yet sent are lost.
    void stop();

    Address logAddress() const;
    Address listAddress() const;
    Address weightStoreAddress() const;
    Address scoringAddress() const;
    Address engineAddress(std::size_t index) const;
    Address serviceAddress(std::size_t index) const;

private:
    std::vector<StandinPort *> ports() const;
    std::vector<ListedMember> members() const;
    void registerMember(const ListedMember &member);

    StandinOptions m_options;
    SystemClock m_clock;
    Metrics m_metrics;
    HttpClient m_client;
    EventLoop m_loop;
    IoThreads m_threads;
    StandinContext m_context;
    std::unique_ptr<LogServer> m_log;
    std::unique_ptr<ListServer> m_list;
    std::unique_ptr<WeightStoreServer> m_weightStore;
    std::unique_ptr<ScoringServer> m_scoring;
    std::vector<std::unique_ptr<EngineServer>> m_engines;
    std::vector<std::unique_ptr<ServiceServer>> m_services;
    std::shared_ptr<Gate> m_gate = std::make_shared<Gate>();
};

} // namespace bergamot
