#include "bergamot/intents/intent_service.h"

#include "bergamot/base/json.h"

namespace bergamot
{

namespace
{

using web::json::value;

constexpr std::string_view IntentsPath = "/v1/intents";
constexpr std::string_view PlansPath = "/v1/plans/";
constexpr std::string_view ConfirmSuffix = "/confirm";
constexpr std::string_view StatusPath = "/v1/status";
constexpr std::string_view HistoryPath = "/v1/history";
constexpr std::string_view ExplainPath = "/v1/explain/plan/";

HttpResponse jsonResponse(int status, const value &body)
{
    HttpResponse response;
    response.status = status;
    response.body = body.serialize();
    return response;
}

Error unknownOutcome(const std::string &what)
{
    return {ErrorCode::Unknown,
            "unknown: the log did not say in time whether it took the " + what + "; ask again with the same id"};
}

Error noSuchPlan(const PlanId &plan)
{
    return {ErrorCode::NotFound,
            "there is no plan '" + plan.value()
                + "' here; post its intent again under the same id, which answers with the plan if the log has it"};
}

value toNames(const std::vector<IntentId> &ids)
{
    value json = value::array();
    for (const IntentId &id : ids) {
        json[json.size()] = value(id.value());
    }
    return json;
}

std::string operatorOf(const HttpRequest &request)
{
    const Result<value> body = parseJson(request.body);
    if (!body) {
        return "unnamed";
    }
    return FieldReader(*body, "confirmation").optionalString("operator", "unnamed");
}

} // namespace

IntentService::IntentService(IntentServiceOptions options,
                             EventLoop &loop,
                             Clock &clock,
                             Appender &appender,
                             const ConfigurationFold &fold,
                             FleetView view)
    : m_options(options)
    , m_loop(loop)
    , m_clock(clock)
    , m_appender(appender)
    , m_fold(fold)
    , m_view(std::move(view))
    , m_self(std::make_shared<IntentService *>(this))
{ }

IntentService::~IntentService()
{
    *m_self = nullptr;
}

bool IntentService::serves(std::string_view path)
{
    return path == IntentsPath || path.starts_with(PlansPath) || path == StatusPath || path == HistoryPath
        || path.starts_with(ExplainPath);
}

void IntentService::handle(const HttpRequest &request, ResponderPtr responder)
{
    const std::string_view path = request.path;
    const bool get = request.method == "GET";
    const bool post = request.method == "POST";
    if (post && path == IntentsPath) {
        postIntent(request, responder);
    } else if (post && path.starts_with(PlansPath) && path.ends_with(ConfirmSuffix)) {
        const std::string_view plan = path.substr(PlansPath.size());
        confirmPlan(PlanId(std::string(plan.substr(0, plan.size() - ConfirmSuffix.size()))), request, responder);
    } else if (get && path.starts_with(PlansPath)) {
        showPlan(PlanId(std::string(path.substr(PlansPath.size()))), responder);
    } else if (get && path == StatusPath) {
        status(responder);
    } else if (get && path == HistoryPath) {
        history(responder);
    } else if (get && path.starts_with(ExplainPath)) {
        explain(PlanId(std::string(path.substr(ExplainPath.size()))), responder);
    } else {
        responder->reply(errorResponse({ErrorCode::NotFound, "there is no " + request.method + " " + request.path}));
    }
}

void IntentService::postIntent(const HttpRequest &request, const ResponderPtr &responder)
{
    const Result<value> body = parseJson(request.body);
    const Result<Intent> intent = body ? parseIntent(*body) : Result<Intent>(tl::unexpected(body.error()));
    if (!intent) {
        responder->reply(errorResponse(intent.error()));
        return;
    }
    const std::string digest = intentDigest(*intent);
    const PlanEntry *known = m_fold.findIntent(intent->id);
    const auto pending = m_intents.find(intent->id);
    const bool sameId = known != nullptr || pending != m_intents.end();
    const bool sameBody = known != nullptr ? known->digest == digest : sameId && pending->second.digest == digest;
    if (sameId && !sameBody) {
        responder->reply(errorResponse(
            {ErrorCode::Conflict,
             "intent '" + intent->id.value() + "' was posted before with another content; choose a new id"}));
    } else if (known != nullptr) {
        responder->reply(planResponse(*known));
    } else if (sameId) {
        pending->second.waiting.push_back(responder);
    } else {
        startIntent(*intent, digest, responder);
    }
}

void IntentService::startIntent(const Intent &intent, const std::string &digest, const ResponderPtr &responder)
{
    if (!m_view.caughtUp()) {
        responder->reply(errorResponse(notAccepted("this instance does not have the newest configuration")));
        return;
    }
    const Configuration &before = m_fold.configuration();
    const Result<Configuration> after = applyIntent(before, intent);
    if (!after) {
        responder->reply(errorResponse(after.error()));
        return;
    }
    const PlanForecast forecast = planChange(before, *after, m_view.fleet(), m_options.planner);
    Ask ask{digest, {responder}, m_clock.now() + m_options.answerTimeout};
    start(m_intents,
          intent.id,
          std::move(ask),
          "intent",
          intentPayload(intent, before.version, toJson(forecast), forecast.warnings));
}

void IntentService::confirmPlan(const PlanId &plan, const HttpRequest &request, const ResponderPtr &responder)
{
    const PlanEntry *entry = m_fold.findPlan(plan);
    if (entry == nullptr) {
        m_lookups.push_back({plan, request, responder, m_clock.now() + m_options.lookupTimeout});
        return;
    }
    if (entry->state != PlanState::Planned) {
        responder->reply(confirmResponse(*entry));
        return;
    }
    const auto pending = m_confirmations.find(entry->intent);
    if (pending != m_confirmations.end()) {
        pending->second.waiting.push_back(responder);
        return;
    }
    Ask ask{"", {responder}, m_clock.now() + m_options.answerTimeout};
    start(m_confirmations, entry->intent, std::move(ask), "confirm", confirmPayload(plan, operatorOf(request)));
}

void IntentService::start(Asks &asks, const IntentId &intent, Ask ask, const std::string &kind, std::string payload)
{
    asks.emplace(intent, std::move(ask));
    const bool confirmation = &asks == &m_confirmations;
    const auto done = [self = m_self, poster = m_loop.poster(), confirmation, intent](Result<Offset> offset) {
        poster.post([self, confirmation, intent, offset = std::move(offset)] {
            if (*self != nullptr) {
                (*self)->appended(confirmation, intent, offset);
            }
        });
    };
    m_appender.append(std::string(ConfigurationStream), kind, std::move(payload), done);
}

void IntentService::appended(bool confirmation, const IntentId &intent, const Result<Offset> &offset)
{
    Asks &asks = confirmation ? m_confirmations : m_intents;
    const auto ask = asks.find(intent);
    if (offset || ask == asks.end()) {
        return; // the answer comes from the fold
    }
    const ErrorCode code = offset.error().code;
    const bool provedNotAppended = code != ErrorCode::Unknown && code != ErrorCode::DeadlineExceeded;
    const std::string what = confirmation ? "confirmation" : "intent";
    const Error error =
        provedNotAppended ? notAccepted("the log took no record: " + offset.error().message) : unknownOutcome(what);
    answer(asks, ask, errorResponse(error));
}

void IntentService::onApplied()
{
    retryLookups();
    for (auto ask = m_intents.begin(); ask != m_intents.end();) {
        const auto current = ask++;
        const PlanEntry *entry = m_fold.findIntent(current->first);
        if (entry == nullptr) {
            continue;
        }
        const bool same = entry->digest == current->second.digest;
        answer(m_intents,
               current,
               same ? planResponse(*entry)
                    : errorResponse({ErrorCode::Conflict,
                                     "intent '" + entry->intent.value()
                                         + "' was posted at the same time with another content; choose a new id"}));
    }
    for (auto ask = m_confirmations.begin(); ask != m_confirmations.end();) {
        const auto current = ask++;
        const PlanEntry *entry = m_fold.findIntent(current->first);
        if (entry != nullptr && entry->state != PlanState::Planned) {
            answer(m_confirmations, current, confirmResponse(*entry));
        }
    }
}

void IntentService::retryLookups()
{
    const TimePoint now = m_clock.now();
    for (const Lookup &lookup : std::exchange(m_lookups, {})) {
        if (m_fold.findPlan(lookup.plan) != nullptr) {
            confirmPlan(lookup.plan, lookup.request, lookup.responder);
        } else if (lookup.deadline <= now) {
            lookup.responder->reply(
                errorResponse(m_view.caughtUp() ? noSuchPlan(lookup.plan) : notAccepted("the plan is not here yet")));
        } else {
            m_lookups.push_back(lookup);
        }
    }
}

void IntentService::tick()
{
    retryLookups();
    failLate(m_intents);
    failLate(m_confirmations);
}

void IntentService::failLate(Asks &asks)
{
    const TimePoint now = m_clock.now();
    for (auto ask = asks.begin(); ask != asks.end();) {
        const auto current = ask++;
        if (current->second.deadline <= now) {
            answer(asks, current, errorResponse(unknownOutcome(&asks == &m_intents ? "intent" : "confirmation")));
        }
    }
}

void IntentService::answer(Asks &asks, Asks::iterator ask, const HttpResponse &response)
{
    for (const ResponderPtr &responder : ask->second.waiting) {
        responder->reply(response);
    }
    asks.erase(ask);
}

HttpResponse IntentService::planResponse(const PlanEntry &entry) const
{
    value json = value::object();
    json["plan"] = value(planIdOf(entry.intent).value());
    json["intent"] = value(entry.intent.value());
    json["base_version"] = value::number(entry.baseVersion);
    json["changes"] = entry.changes;
    json["cost"] = entry.cost;
    json["warnings"] = entry.warnings;
    json["state"] = value(std::string(planStateName(entry.state)));
    json["reason"] = value(entry.reason);
    json["superseded_by"] = value(entry.supersededBy.value());
    return jsonResponse(200, json);
}

HttpResponse IntentService::confirmResponse(const PlanEntry &entry) const
{
    value json = value::object();
    json["plan"] = value(planIdOf(entry.intent).value());
    json["state"] = value(std::string(planStateName(entry.state)));
    json["collisions"] = toNames(entry.collisions);
    if (entry.state != PlanState::Confirmed) {
        json["error"] = value(std::string(errorCodeName(ErrorCode::Conflict)));
        json["message"] = value("not confirmed: " + entry.reason);
        json["superseded_by"] = value(entry.supersededBy.value());
        return jsonResponse(409, json);
    }
    json["version"] = value::number(entry.version);
    std::vector<IntentId> superseded;
    for (const auto &[offset, other] : m_fold.plans()) {
        if (other.supersededBy == entry.intent) {
            superseded.push_back(other.intent);
        }
    }
    json["superseded"] = toNames(superseded);
    addInForce(json, entry.version);
    return jsonResponse(200, json);
}

void IntentService::addInForce(value &json, std::uint64_t version) const
{
    std::uint64_t inForce = 0;
    value missing = value::array();
    const std::vector<InstanceVersion> instances = m_view.instances();
    for (const InstanceVersion &instance : instances) {
        if (instance.version >= version) {
            ++inForce;
            continue;
        }
        value behind = value::object();
        behind["instance"] = value(instance.instance.value());
        behind["version"] = value::number(instance.version);
        missing[missing.size()] = behind;
    }
    json["in_force"] = value::number(inForce);
    json["of"] = value::number(static_cast<std::uint64_t>(instances.size()));
    json["missing"] = missing;
}

void IntentService::showPlan(const PlanId &plan, const ResponderPtr &responder) const
{
    const PlanEntry *entry = m_fold.findPlan(plan);
    responder->reply(entry != nullptr ? planResponse(*entry) : errorResponse(noSuchPlan(plan)));
}

void IntentService::explain(const PlanId &plan, const ResponderPtr &responder) const
{
    const PlanEntry *entry = m_fold.findPlan(plan);
    if (entry == nullptr) {
        responder->reply(errorResponse(noSuchPlan(plan)));
        return;
    }
    value json = toJson(*entry);
    json["explanation"] = value::array();
    for (const std::string &sentence : explainPlan(*entry)) {
        json["explanation"][json["explanation"].size()] = value(sentence);
    }
    responder->reply(jsonResponse(200, json));
}

void IntentService::status(const ResponderPtr &responder) const
{
    const Configuration &configuration = m_fold.configuration();
    value json = value::object();
    json["version"] = value::number(configuration.version);
    json["offset"] = value::number(configuration.offset);
    json["applied"] = value::number(m_fold.applied());
    json["confirmed"] = value::boolean(m_view.caughtUp());
    json["configuration"] = toJson(configuration);
    addInForce(json, configuration.version);
    responder->reply(jsonResponse(200, json));
}

void IntentService::history(const ResponderPtr &responder) const
{
    value json = value::object();
    json["plans"] = value::array();
    value &plans = json["plans"];
    for (const auto &[offset, entry] : m_fold.plans()) {
        plans[plans.size()] = toJson(entry);
    }
    responder->reply(jsonResponse(200, json));
}

Error IntentService::notAccepted(const std::string &why) const
{
    return {ErrorCode::Unavailable, "not accepted: " + why + "; ask again with the same id", m_options.retryAfter};
}

} // namespace bergamot
