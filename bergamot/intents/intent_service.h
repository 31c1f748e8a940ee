#pragma once

// Takes intents and confirmations from operators over HTTP, brings them to the log and answers from the fold.
//
//     IntentService service({}, loop, clock, appender, fold, {.instances = ..., .fleet = ..., .caughtUp = ...});
//     service.handle(request, responder);
//     service.onApplied(); // whenever the fold has advanced
//     service.tick();      // about every 100 ms
//
// Routes: POST /v1/intents, POST /v1/plans/{id}/confirm, GET /v1/plans/{id}, GET /v1/status, GET /v1/history,
// GET /v1/explain/plan/{id}.

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/base/event_loop.h"
#include "bergamot/http/message.h"
#include "bergamot/intents/configuration_fold.h"
#include "bergamot/intents/planner.h"
#include "bergamot/journal/appender.h"

namespace bergamot
{

/// Which version is in force on one instance.
struct InstanceVersion
{
    InstanceId instance;
    std::uint64_t version = 0;
};

/// What the service asks of the process around it; called on the loop.
struct FleetView
{
    std::function<std::vector<InstanceVersion>()> instances; // live ones, with the versions they reported
    std::function<FleetSnapshot()> fleet;
    std::function<bool()> caughtUp; // the fold has all of its stream, by a read of the log or of a relay
};

struct IntentServiceOptions
{
    std::chrono::milliseconds answerTimeout{5000}; // until an ask whose record is not seen is answered "unknown"
    std::chrono::milliseconds lookupTimeout{2000}; // until a confirmation of a plan that is not here is refused
    std::chrono::milliseconds retryAfter{2000}; // told to operators when the log is out
    PlannerOptions planner;
};

/// Confined to the thread of the loop.
class IntentService
{
public:
    IntentService(IntentServiceOptions options,
                  EventLoop &loop,
                  Clock &clock,
                  Appender &appender,
                  const ConfigurationFold &fold,
                  FleetView view);
    ~IntentService();
    IntentService(const IntentService &) = delete;
    IntentService &operator=(const IntentService &) = delete;

    /// True if `path` belongs to this service.
    static bool serves(std::string_view path);

    void handle(const HttpRequest &request, ResponderPtr responder);
    void onApplied();
    void tick();

private:
    /// A record on its way to the log, and who waits for its effect.
    struct Ask
    {
        std::string digest; // of the intent; empty for a confirmation
        std::vector<ResponderPtr> waiting;
        TimePoint deadline;
    };

    using Asks = std::map<IntentId, Ask>;

    /// A confirmation of a plan that is not here; it may have been made through another instance a moment ago.
    struct Lookup
    {
        PlanId plan;
        HttpRequest request;
        ResponderPtr responder;
        TimePoint deadline;
    };

    void postIntent(const HttpRequest &request, const ResponderPtr &responder);
    void startIntent(const Intent &intent, const std::string &digest, const ResponderPtr &responder);
    void confirmPlan(const PlanId &plan, const HttpRequest &request, const ResponderPtr &responder);
    void showPlan(const PlanId &plan, const ResponderPtr &responder) const;
    void explain(const PlanId &plan, const ResponderPtr &responder) const;
    void status(const ResponderPtr &responder) const;
    void history(const ResponderPtr &responder) const;

    void start(Asks &asks, const IntentId &intent, Ask ask, const std::string &kind, std::string payload);
    void appended(bool confirmation, const IntentId &intent, const Result<Offset> &offset);
    static void answer(Asks &asks, Asks::iterator ask, const HttpResponse &response);
    void failLate(Asks &asks);
    void retryLookups();

    HttpResponse planResponse(const PlanEntry &entry) const;
    HttpResponse confirmResponse(const PlanEntry &entry) const;
    void addInForce(web::json::value &json, std::uint64_t version) const;
    Error notAccepted(const std::string &why) const;

    const IntentServiceOptions m_options;
    EventLoop &m_loop;
    Clock &m_clock;
    Appender &m_appender;
    const ConfigurationFold &m_fold;
    const FleetView m_view;
    Asks m_intents;
    Asks m_confirmations;
    std::vector<Lookup> m_lookups;
    std::shared_ptr<IntentService *> m_self; // callbacks that outlive the service find it empty
};

} // namespace bergamot
