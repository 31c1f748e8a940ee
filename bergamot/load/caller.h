#pragma once

// Callers of one tenant and class: open loop, so that waiting is not hidden. Each request goes to an instance chosen at
// random, and to the next one if the first refuses the connection, as the platform's balancer does it.
//
//     CallerGroup buyers(scenario, scenario.callers[0], 0, context);
//     buyers.start();
//     ...
//     buyers.stop();
//     buyers.waitUntilIdle(std::chrono::seconds(30));

#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>

#include "bergamot/base/event_loop.h"
#include "bergamot/base/json.h"
#include "bergamot/http/client.h"
#include "bergamot/load/measures.h"
#include "bergamot/load/promises.h"
#include "bergamot/load/published_versions.h"
#include "bergamot/load/scenario.h"

namespace bergamot
{

/// What the parts of a run share; all of it outlives them.
struct RunContext
{
    const Scenario &scenario;
    HttpClient &client;
    EventLoop &loop;
    PromiseLedger &ledger;
    Measures &measures;
    PublishedVersions &versions;
};

/// How often a piece of non-idempotent work may have run, by what callers were told.
struct WorkLimit
{
    std::uint64_t attempts = 0;
    std::uint64_t provedNotRun = 0;
};

/// `start` and `stop` are called from one thread; requests run on the loop and the client's threads.
class CallerGroup
{
public:
    CallerGroup(const RunContext &context, const CallerScenario &caller, std::size_t index);

    void start();
    /// No request begins after it returns; the group may be destroyed once those in flight have ended.
    void stop();
    /// False if requests were still unanswered after `limit`.
    bool waitUntilIdle(std::chrono::milliseconds limit);
    /// By the name under which an endpoint counts the work.
    std::map<std::string, WorkLimit> works() const;

private:
    struct Call
    {
        std::string name; // item, lot or prompt
        std::string key; // idempotency key, or empty
        std::size_t entry = 0;
        std::size_t tried = 0;
        int round = 1; // 2: the same key sent again
        TimePoint arrival;
        std::string firstAnswer;
    };

    /// Lets timers that outlive the group find that it has stopped.
    struct Gate
    {
        std::mutex mutex;
        bool isStopped = false;
    };

    void scheduleNext();
    void arrive();
    void send(Call call);
    HttpRequest requestFor(const Call &call) const;
    void addServiceCall(HttpRequest &request, const Call &call) const;
    void finish(Call call, const CallOutcome &outcome);
    void finishAnswered(Call call, const HttpResponse &response);
    void finishBroken(Call call, const CallFailure &failure);
    void checkAnswer(const Call &call, const HttpResponse &response);
    bool isOwnAnswer(const Call &call, const std::string &body) const;
    bool isOwnGeneration(const Call &call, FieldReader &reader) const;
    void noteAttempt(const Call &call);
    void noteNotRun(const Call &call);
    std::string workName(const Call &call) const;
    void repeatKey(Call call);
    void leave();

    RunContext m_context;
    CallerScenario m_caller;
    std::size_t m_index;
    LatencyKey m_key;
    std::mt19937_64 m_random;
    std::set<Address> m_terminated;
    mutable std::mutex m_mutex;
    std::condition_variable m_idle;
    std::shared_ptr<Gate> m_gate = std::make_shared<Gate>();
    std::uint64_t m_next = 0;
    std::size_t m_inFlight = 0;
    std::map<std::string, WorkLimit> m_works;
};

} // namespace bergamot
