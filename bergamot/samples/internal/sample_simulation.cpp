#include "bergamot/samples/internal/sample_simulation.h"

#include "bergamot/standins/generated_text.h"

namespace bergamot
{

namespace
{

const ModelId Model("agent");
constexpr std::uint16_t FirstPort = 9000;
constexpr FencingNumber Fencing = 7;
constexpr std::chrono::milliseconds CallTimeout{2000};
constexpr std::chrono::milliseconds DrawWait{5000};
constexpr std::chrono::milliseconds DrawRetry{7000}; // a trainer repeats a draw that was not answered by then

} // namespace

SampleSimulation::SampleSimulation(SampleSimulationOptions options)
    : m_options(std::move(options))
    , m_time(m_clock)
    , m_store(m_time, {.concurrentFetches = m_options.concurrentFetches, .fetchTime = m_options.engine.fetchTime})
    , m_engines(m_time)
    , m_scoring(m_time, m_options.scoringTime)
    , m_disconnected(m_options.engines)
    , m_paused(m_options.trainers.size())
    , m_rollouts(m_options.domains, RolloutPlanner(m_options.rollout))
{
    static_cast<void>(m_store.publish(Model, m_published));
    for (std::uint16_t i = 0; i < m_options.engines; ++i) {
        EngineCoreOptions engine = m_options.engine;
        engine.name = "e" + std::to_string(i);
        engine.model = Model;
        m_engines.add(address(i), engine, &m_store);
        m_views.push_back({.engine = EndpointId(engine.name), .model = Model, .address = address(i)});
        readEngine(i);
    }
    for (TrainerModelOptions &trainer : m_options.trainers) {
        trainer.config.model = Model;
        m_trainers.emplace_back(trainer);
    }
    makeScheduler();
}

Address SampleSimulation::address(std::uint16_t engine)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(FirstPort + engine)};
}

void SampleSimulation::makeScheduler()
{
    SchedulerOptions options = m_options.scheduler;
    options.instance = "i" + std::to_string(++m_owner);
    m_scheduler = std::make_unique<SampleScheduler>(std::move(options));
    m_nextView = now();
    publishView();
}

void SampleSimulation::replaceOwner()
{
    m_draws.clear();
    m_inFlight = 0;
    makeScheduler();
}

void SampleSimulation::after(Duration delay, std::function<void()> task)
{
    m_time.at(now() + delay, std::move(task));
}

void SampleSimulation::run(Duration time)
{
    for (const TimePoint end = now() + time; now() < end;) {
        step();
        m_time.advance(m_options.tickPeriod);
    }
}

bool SampleSimulation::runUntilFinished(Duration limit)
{
    const auto finished = [](const TrainerModel &trainer) {
        return trainer.isFinished();
    };
    for (const TimePoint end = now() + limit; now() < end;) {
        if (std::all_of(m_trainers.begin(), m_trainers.end(), finished)) {
            return true;
        }
        run(m_options.tickPeriod);
    }
    return false;
}

void SampleSimulation::step()
{
    if (now() >= m_nextView) {
        m_nextView = now() + m_options.viewPeriod;
        for (std::uint16_t i = 0; i < m_options.engines; ++i) {
            readEngine(i);
        }
        publishView();
        setRolloutEngines();
    }
    planRollouts();
    m_scheduler->tick(now());
    perform();
    tickTrainers();
}

void SampleSimulation::readEngine(std::uint16_t index)
{
    const auto read = [this, index](const Result<EngineState> &state) {
        EngineView &view = m_views[index];
        view.reachable = state.has_value() && !m_disconnected[index];
        if (view.reachable) {
            view.version = state->version;
            view.loading = state->loading;
            view.running = state->running;
            view.waiting = state->waiting;
            view.slots = state->slots;
            view.leaving = state->leaving;
        }
    };
    m_engines.state(address(index), CallTimeout, read);
}

FleetState SampleSimulation::fleetState() const
{
    FleetState fleetState;
    fleetState.engines = m_views;
    for (const TrainerModel &trainer : m_trainers) {
        fleetState.trainers[trainer.options().config.trainer] = trainer.options().config;
    }
    for (std::size_t i = 0; i < m_trainers.size(); ++i) {
        fleetState.trainers[m_trainers[i].options().config.trainer] = m_options.trainers[i].config;
    }
    fleetState.published[Model] = m_published;
    fleetState.suspects = m_suspects;
    return fleetState;
}

void SampleSimulation::publishView()
{
    m_scheduler->setFleet(fleetState(), now());
    perform();
}

void SampleSimulation::setBound(std::size_t trainer, std::uint64_t bound)
{
    m_options.trainers[trainer].config.stalenessBound = bound;
    publishView();
}

void SampleSimulation::setSuspects(std::vector<SuspectReport> suspects)
{
    m_suspects = std::move(suspects);
    publishView();
}

void SampleSimulation::setDisconnected(std::uint16_t engine, bool disconnected)
{
    m_disconnected[engine] = disconnected;
    readEngine(engine);
    publishView();
}

void SampleSimulation::tickTrainers()
{
    for (std::size_t i = 0; i < m_trainers.size(); ++i) {
        TrainerModel &trainer = m_trainers[i];
        if (m_paused[i] || trainer.isFinished() || trainer.isTraining(now())) {
            continue;
        }
        const bool overdue = trainer.drawInFlight && now() >= trainer.drawSentAt + DrawRetry;
        if (!trainer.drawInFlight || overdue) {
            sendDraw(i);
        }
    }
}

void SampleSimulation::submit(TrainerModel &trainer)
{
    for (std::uint64_t step = trainer.step(); step <= trainer.lastSubmittedStep(); ++step) {
        const StepSpec spec = trainer.stepSpec(step);
        for (const GroupSpec &group : spec.groups) {
            m_stepOfPrompt[group.prompt] = trainer.stepKey(step);
        }
        const std::string cursor = step == trainer.step() ? trainer.cursor() : std::string();
        static_cast<void>(m_scheduler->submit(trainer.stepKey(step), spec, cursor, now()));
    }
}

void SampleSimulation::submit(std::size_t trainer)
{
    submit(m_trainers[trainer]);
    perform();
}

void SampleSimulation::sendDraw(std::size_t index)
{
    TrainerModel &trainer = m_trainers[index];
    trainer.drawInFlight = true;
    trainer.drawSentAt = now();
    DrawRequest request;
    request.step = trainer.stepKey(trainer.step());
    request.cursor = trainer.cursor();
    request.trainerVersion = trainer.version;
    request.max = trainer.options().drawMax;
    for (int copy = 0; copy < (m_duplicateDraws ? 2 : 1); ++copy) {
        after(m_options.trainerLatency, [this, index, request] {
            deliverDraw(index, request);
        });
    }
}

void SampleSimulation::deliverDraw(std::size_t index, const DrawRequest &request)
{
    DrawRequest delivered = request;
    delivered.drawId = m_nextDraw++;
    delivered.deadline = now() + DrawWait;
    m_draws[delivered.drawId] = {index, request.cursor};
    submit(m_trainers[index]);
    if (!m_scheduler->draw(delivered, now())) {
        m_draws.erase(delivered.drawId);
    }
    perform();
}

void SampleSimulation::endTraining(std::size_t index)
{
    TrainerModel &trainer = m_trainers[index];
    trainer.version = ++m_published;
    m_trace.published(m_published);
    static_cast<void>(m_store.publish(Model, m_published));
    trainer.beginNextStep(now());
    planRollouts();
    sendDraw(index);
}

void SampleSimulation::setRolloutEngines()
{
    for (std::size_t domain = 0; domain < m_rollouts.size(); ++domain) {
        std::vector<RolloutEngine> engines;
        for (std::size_t i = domain; i < m_views.size(); i += m_rollouts.size()) {
            const EngineView &view = m_views[i];
            engines.push_back({.engine = view.engine,
                               .address = view.address,
                               .version = view.version,
                               .loading = view.loading,
                               .load = view.running + view.waiting,
                               .leaving = view.leaving,
                               .reachable = view.reachable});
        }
        m_rollouts[domain].setEngines(engines);
    }
}

void SampleSimulation::planRollouts()
{
    if (m_options.drainBeforeSwap && m_inFlight > 0) {
        return;
    }
    RolloutGoal goal;
    goal.model = Model;
    goal.published = m_published;
    goal.capacityFloorPercent = m_options.capacityFloorPercent;
    goal.concurrentFetches = std::max<std::uint64_t>(m_options.concurrentFetches / m_options.domains, 1);
    for (std::size_t domain = 0; domain < m_rollouts.size(); ++domain) {
        m_rollouts[domain].setGoal(goal);
        for (const RolloutAction &action : m_rollouts[domain].plan(now(), Fencing)) {
            performRollout(domain, action);
        }
    }
}

void SampleSimulation::performRollout(std::size_t domain, const RolloutAction &action)
{
    if (action.kind == RolloutAction::Kind::Order) {
        m_engines.order(action.address, action.order, CallTimeout, [this, domain, action](const Result<void> &outcome) {
            after(m_options.engineLatency, [this, domain, action, outcome] {
                m_rollouts[domain].orderEnded(action.engine, outcome, now());
            });
        });
        return;
    }
    m_engines.state(action.address, CallTimeout, [this, domain, action](const Result<EngineState> &state) {
        after(m_options.engineLatency, [this, domain, action, state] {
            m_rollouts[domain].stateRead(action.engine, state, now());
        });
    });
}

GuaranteeViolations SampleSimulation::violations() const
{
    GuaranteeViolations sum;
    for (const TrainerModel &trainer : m_trainers) {
        sum.duplicates += trainer.violations().duplicates;
        sum.tooOld += trainer.violations().tooOld;
        sum.wrongLabels += trainer.violations().wrongLabels;
        sum.wrongSample += trainer.violations().wrongSample;
    }
    return sum;
}

TokenTotals SampleSimulation::tokens() const
{
    return m_tokens;
}

std::uint64_t SampleSimulation::received() const
{
    std::uint64_t sum = 0;
    for (const TrainerModel &trainer : m_trainers) {
        sum += trainer.received();
    }
    return sum;
}

std::vector<double> SampleSimulation::lastOverMedian() const
{
    std::vector<double> result;
    for (const auto &[key, times] : m_times) {
        std::vector<TimePoint> completions = times.completions;
        if (completions.empty()) {
            continue;
        }
        std::sort(completions.begin(), completions.end());
        const std::chrono::duration<double> median = completions[completions.size() / 2] - times.first;
        const std::chrono::duration<double> last = completions.back() - times.first;
        result.push_back(last / median);
    }
    return result;
}

} // namespace bergamot
