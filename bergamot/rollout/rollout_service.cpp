#include "bergamot/rollout/rollout_service.h"

#include "bergamot/base/json.h"

namespace bergamot
{

namespace
{

using web::json::value;

std::optional<RolloutEngine> readEngine(const inner::EndpointT &endpoint, const FailureDomainId &domain)
{
    const Result<Address> address = parseAddress(endpoint.address);
    if (endpoint.kind != inner::EndpointKind::Engine || endpoint.domain != domain.value() || !address) {
        return std::nullopt;
    }
    RolloutEngine engine;
    engine.engine = EndpointId(endpoint.id);
    engine.address = *address;
    engine.version = endpoint.version;
    engine.loading = endpoint.loading;
    engine.load = endpoint.running + endpoint.waiting;
    engine.leaving = endpoint.leaving;
    engine.reachable = endpoint.reachable;
    return engine;
}

Result<Configuration> readConfiguration(const std::string &text)
{
    if (text.empty()) {
        return Configuration();
    }
    const Result<value> json = parseJson(text);
    return json ? parseConfiguration(*json) : tl::unexpected(json.error());
}

std::string describeOutcome(const Result<void> &outcome)
{
    return outcome ? "taken" : std::string(errorCodeName(outcome.error().code)) + ": " + outcome.error().message;
}

} // namespace

DutyId rolloutDuty(const ModelId &model, const FailureDomainId &domain)
{
    return DutyId("rollout/" + model.value() + "/" + domain.value());
}

RolloutService::RolloutService(RolloutServiceOptions options,
                               EventLoop &loop,
                               Clock &clock,
                               EngineClient &engines,
                               WeightStore &store,
                               DutyGuard &guard,
                               EvidenceSink &evidence)
    : m_options(std::move(options))
    , m_loop(loop)
    , m_clock(clock)
    , m_engines(engines)
    , m_store(store)
    , m_guard(guard)
    , m_evidence(evidence)
{ }

RolloutService::~RolloutService()
{
    *m_alive = false;
}

std::function<void(std::function<void()> task)> RolloutService::poster()
{
    return [poster = m_loop.poster(), alive = m_alive](std::function<void()> task) {
        poster.post([alive, task = std::move(task)] {
            if (*alive) {
                task();
            }
        });
    };
}

void RolloutService::onView(const inner::ViewT &view)
{
    const Result<Configuration> configuration = readConfiguration(view.configuration);
    if (!configuration) {
        m_log.error("Cannot read the configuration: " + configuration.error().message + ".");
        return;
    }
    setModels(configuration->models, configuration->domains);
    for (const auto &published : view.published) {
        if (const auto model = m_models.find(ModelId(published->model)); model != m_models.end()) {
            model->second.published = std::max(model->second.published, published->version);
        }
    }
    for (auto &[id, model] : m_models) {
        std::vector<RolloutEngine> engines;
        for (const auto &endpoint : view.endpoints) {
            std::optional<RolloutEngine> engine = readEngine(*endpoint, m_options.domain);
            if (engine && endpoint->serves == id.value()) {
                engines.push_back(std::move(*engine));
            }
        }
        setGoal(model);
        model.planner.setEngines(engines);
    }
}

void RolloutService::setModels(const std::map<ModelId, ModelConfig> &configured,
                               const std::vector<FailureDomainId> &domains)
{
    m_domainCount = std::max<std::size_t>(domains.size(), 1);
    std::erase_if(m_models, [&](const auto &entry) {
        return !configured.contains(entry.first);
    });
    for (const auto &[id, config] : configured) {
        const auto [entry, added] = m_models.try_emplace(id);
        if (added) {
            entry->second.planner = RolloutPlanner(m_options.planner);
        }
        entry->second.config = config;
    }
}

void RolloutService::setGoal(Model &model)
{
    RolloutGoal goal;
    goal.model = model.config.model;
    goal.configured = model.config.version;
    goal.published = model.published;
    goal.capacityFloorPercent = model.config.capacityFloorPercent;
    // Each domain uses an equal part of the store's limit, at least 1, so that holders need no coordination.
    goal.concurrentFetches = std::max<std::uint64_t>(model.concurrentFetches / m_domainCount, 1);
    goal.enginesCheckFencing = model.config.enginesCheckFencing;
    model.planner.setGoal(goal);
}

void RolloutService::tick()
{
    for (auto &[id, model] : m_models) {
        m_guard.acquire(rolloutDuty(id, m_options.domain));
        plan(id, model);
    }
}

void RolloutService::plan(const ModelId &id, Model &model)
{
    const TimePoint now = m_clock.now();
    const std::optional<FencingNumber> fencing = m_guard.fencing(rolloutDuty(id, m_options.domain), now);
    if (fencing) {
        queryStore(id, model);
    }
    for (const RolloutAction &action : model.planner.plan(now, fencing)) {
        perform(id, action);
    }
}

void RolloutService::queryStore(const ModelId &id, Model &model)
{
    if (model.storeQueryPending || m_clock.now() < model.nextStoreQuery) {
        return;
    }
    model.storeQueryPending = true;
    const auto done = [this, id, post = poster()](const Result<PublishedWeights> &answer) {
        post([this, id, answer] {
            const auto found = m_models.find(id);
            if (found == m_models.end()) {
                return;
            }
            found->second.storeQueryPending = false;
            found->second.nextStoreQuery = m_clock.now() + m_options.storePeriod;
            if (answer) {
                found->second.published = std::max(found->second.published, answer->newest);
                found->second.concurrentFetches = answer->concurrentFetches;
                setGoal(found->second);
            }
        });
    };
    m_store.published(id, m_options.storeTimeout, done);
}

void RolloutService::perform(const ModelId &id, const RolloutAction &action)
{
    if (action.kind == RolloutAction::Kind::Order) {
        sendOrder(id, action);
    } else {
        readState(id, action);
    }
}

void RolloutService::sendOrder(const ModelId &id, const RolloutAction &action)
{
    // The lease is checked before each order, because sending the previous ones of the same plan took time.
    if (!m_guard.holds(rolloutDuty(id, m_options.domain), m_clock.now())) {
        m_models.at(id).planner.orderEnded(
            action.engine, failure(ErrorCode::Unavailable, "the lease has expired"), m_clock.now());
        return;
    }
    record("order-sent", action, std::string(reasonName(action.reason)));
    const auto done = [this, id, action, post = poster()](const Result<void> &outcome) {
        post([this, id, action, outcome] {
            orderEnded(id, action, outcome);
        });
    };
    m_engines.order(action.address, action.order, m_options.orderTimeout, done);
}

void RolloutService::orderEnded(const ModelId &id, const RolloutAction &action, const Result<void> &outcome)
{
    const auto found = m_models.find(id);
    if (found == m_models.end()) {
        return;
    }
    const TimePoint now = m_clock.now();
    const std::optional<FencingNumber> fencing = m_guard.fencing(rolloutDuty(id, m_options.domain), now);
    record("order-answered", action, describeOutcome(outcome));
    if (fencing != action.order.fencing) {
        // Another holder may have sent orders since, so the answer is ignored and the next plan starts from the state
        // that engines report.
        record("order-after-lease", action, "ignored");
        found->second.planner.plan(now, fencing);
        return;
    }
    found->second.planner.orderEnded(action.engine, outcome, now);
    plan(id, found->second);
}

void RolloutService::readState(const ModelId &id, const RolloutAction &action)
{
    const auto done = [this, id, engine = action.engine, post = poster()](const Result<EngineState> &state) {
        post([this, id, engine, state] {
            if (const auto found = m_models.find(id); found != m_models.end()) {
                found->second.planner.stateRead(engine, state, m_clock.now());
                plan(id, found->second);
            }
        });
    };
    m_engines.state(action.address, m_options.stateTimeout, done);
}

void RolloutService::record(const char *kind, const RolloutAction &action, const std::string &outcome)
{
    value fields = value::object();
    fields["duty"] = value::string(rolloutDuty(action.order.model, m_options.domain).value());
    fields["engine"] = value::string(action.engine.value());
    fields["model"] = value::string(action.order.model.value());
    fields["version"] = value::number(action.order.version);
    fields["role"] = value::string(action.order.role == EngineRole::Serving ? "serving" : "idle");
    fields["fencing"] = value::number(action.order.fencing);
    fields["reason"] = value::string(outcome);
    m_evidence.record(kind, std::move(fields));
}

WeightVersion RolloutService::published(const ModelId &model) const
{
    const auto found = m_models.find(model);
    return found == m_models.end() ? 0 : found->second.published;
}

} // namespace bergamot
