#pragma once

// The rules of a plain service's endpoint, without I/O: stock reads and lot confirmations, worked off by a fixed
// number of workers, with every run counted.
//
//     ServiceCore service({.workers = 8});
//     service.submit({.id = "1", .method = "GET", .path = "/stock/fettuccine"}, now);
//     service.advance(now + std::chrono::milliseconds(5));
//     for (const ServiceEvent &event : service.takeEvents()) { ... }

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bergamot/platform/service.h"
#include "bergamot/standins/faults.h"
#include "bergamot/standins/lagged_load.h"
#include "bergamot/standins/run_counter.h"

namespace bergamot
{

struct ServiceCoreOptions
{
    std::uint32_t workers = 16;
    std::size_t maxWaiting = 1024;
    Duration serviceTime = std::chrono::milliseconds(5);
    Duration restartTime = std::chrono::seconds(1);
    Duration loadLag = std::chrono::milliseconds(500); // between two reports of load figures
};

struct ServiceRequest
{
    std::string id = {}; // unique among those in flight
    std::string method = {};
    std::string path = {};
    std::string body = {};
};

/// How a request ended.
struct ServiceEvent
{
    std::string id = {};
    bool lost = false; // the endpoint crashed under it; the rest is empty
    int status = 0;
    std::string body = {};
    AnswerFate fate = AnswerFate::Whole;
    Duration delay{0};
};

/// Deterministic, single-threaded; times passed in never fall. Routes: GET /stock/{item}, POST /confirm {lot},
/// GET /status/{application}, POST /pull {record}; the POSTs change something each time they run. Calls for faults:
/// "run". Faults of its own: "crash" (`duration` until it is back), "leave" (`count` 0: no longer; `text`
/// "list": its answers do not say so), "poison" (a path or
/// body that contains `text` crashes it), "slow" (each request takes `duration`; 0: as set up).
class ServiceCore
{
public:
    explicit ServiceCore(ServiceCoreOptions options = {});

    /// Takes a request in; an event follows. `Unavailable` and `Overloaded` are proof that it did not run.
    Result<void> submit(ServiceRequest request, TimePoint now);
    Result<void> apply(const FaultCommand &command, TimePoint now);

    void advance(TimePoint now);
    std::optional<TimePoint> nextDue() const;
    std::vector<ServiceEvent> takeEvents();

    /// What it says of itself; the load figures are up to `loadLag` old.
    ServiceState state(TimePoint now);
    bool down() const;
    /// Whether its answers say that it is leaving.
    bool tellsOfLeaving() const;
    /// By method and path; for POSTs also by what the body names, for example "POST /confirm lot-7".
    const RunCounter &runs() const;
    std::uint64_t crashes() const;

private:
    struct Effect
    {
        int status = 200;
        std::string body;
    };

    struct Running
    {
        ServiceRequest request;
        Effect effect; // takes place at the start
        TimePoint done;
    };

    void admitWaiting(TimePoint now);
    void step(TimePoint now);
    Effect run(const ServiceRequest &request);
    Effect read(const std::string &path, const std::string &prefix);
    Effect change(const ServiceRequest &request, const std::string &field);
    void crash(Duration restartTime, TimePoint now);
    bool poisoned(const ServiceRequest &request) const;

    ServiceCoreOptions m_options;
    FaultTable m_faults;
    LaggedLoad m_load;
    RunCounter m_runs;
    std::vector<Running> m_running;
    std::deque<ServiceRequest> m_waiting;
    std::vector<ServiceEvent> m_events;
    std::optional<TimePoint> m_downUntil;
    Duration m_slowTime{0};
    std::set<std::string> m_poison;
    std::uint64_t m_crashes = 0;
    bool m_tellsOfLeaving = true;
};

/// What a read of `name` answers, so that a caller can check that it got its own answer.
std::uint64_t servedQuantity(const std::string &name);

} // namespace bergamot
