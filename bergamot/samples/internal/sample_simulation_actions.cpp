#include "bergamot/samples/internal/sample_simulation.h"

#include "bergamot/standins/generated_text.h"

namespace bergamot
{

namespace
{

constexpr std::chrono::milliseconds CallTimeout{2000};

} // namespace

void SampleSimulation::perform()
{
    for (SchedulerAction &action : m_scheduler->takeActions()) {
        std::visit(
            [this](auto &typed) {
                performOne(typed);
            },
            action);
    }
}

bool SampleSimulation::isAwaited(const StepKey &step) const
{
    return std::any_of(m_trainers.begin(), m_trainers.end(), [&](const TrainerModel &trainer) {
        return trainer.stepKey(trainer.step()) == step && !trainer.isTraining(now());
    });
}

void SampleSimulation::performOne(StartGeneration &action)
{
    ++m_inFlight;
    const auto engine = static_cast<std::size_t>(action.engine.port - address(0).port);
    const StepKey &key = m_stepOfPrompt.at(action.request.prompt);
    m_trace.recordStart(action.request, isAwaited(key), now());
    StepTimes &times = m_times[key];
    if (times.first == TimePoint()) {
        times.first = now();
    }
    const auto done = [this, owner = m_owner, engine, request = action.request](const Result<Generation> &outcome) {
        if (m_disconnected[engine]) {
            return; // no reply arrives; the timeout of the attempt ends it
        }
        after(m_options.engineLatency, [this, owner, request, outcome] {
            generationEnded(owner, request, outcome);
        });
    };
    after(m_options.engineLatency, [this, action, done] {
        m_engines.generate(action.engine, action.request, action.timeout, done);
    });
}

void SampleSimulation::generationEnded(std::uint64_t owner,
                                       const GenerateRequest &request,
                                       const Result<Generation> &outcome)
{
    if (outcome) {
        const Result<std::vector<TokenSpan>> resumedSpans = parseCacheHandle(request.resumeFrom, request.prompt);
        const Generation before{.text = {}, .spans = resumedSpans.value_or(std::vector<TokenSpan>()), .finish = {}};
        const std::uint64_t all = tokenCount(*outcome);
        m_tokens.made += all - std::min<std::uint64_t>(all, tokenCount(before));
    }
    if (owner != m_owner) {
        return;
    }
    --m_inFlight;
    m_completedAt[request.requestId] = now();
    m_trace.recordCompletion(request.requestId, now());
    m_scheduler->generationEnded(request.requestId, outcome, now());
    perform();
}

void SampleSimulation::performOne(CancelGeneration &action)
{
    after(m_options.engineLatency, [this, action] {
        m_engines.cancel(action.engine, action.requestId, CallTimeout);
    });
}

void SampleSimulation::performOne(ExportGeneration &action)
{
    const auto done = [this, owner = m_owner, requestId = action.requestId](const Result<std::string> &outcome) {
        after(m_options.engineLatency, [this, owner, requestId, outcome] {
            if (owner == m_owner) {
                m_scheduler->exportEnded(requestId, outcome, now());
                perform();
            }
        });
    };
    after(m_options.engineLatency, [this, action, done] {
        m_engines.exportCache(action.engine, action.requestId, CallTimeout, done);
    });
}

void SampleSimulation::performOne(StartScoring &action)
{
    const auto done = [this, owner = m_owner, id = action.scoringId](const Result<double> &outcome) {
        after(Duration::zero(), [this, owner, id, outcome] {
            if (owner == m_owner) {
                m_scheduler->scoringEnded(id, outcome, now());
                perform();
            }
        });
    };
    m_scoring.score(action.prompt, action.text, CallTimeout, done);
}

void SampleSimulation::performOne(AnswerDraw &action)
{
    const auto draw = m_draws.extract(action.drawId);
    if (!draw) {
        return;
    }
    if (m_repliesToDrop > 0) {
        --m_repliesToDrop;
        return;
    }
    const auto [index, cursor] = draw.mapped();
    after(m_options.trainerLatency, [this, index = index, cursor = cursor, action] {
        TrainerModel &trainer = m_trainers[index];
        const bool current = cursor == trainer.cursor() && action.step == trainer.stepKey(trainer.step());
        const bool done = trainer.receive(action, cursor, now());
        if (!current) {
            return;
        }
        trainer.drawInFlight = false;
        for (const DeliveredSample &deliveredSample : action.samples) {
            m_trace.recordDelivery(deliveredSample, action.newest, now());
            m_times[action.step].completions.push_back(m_completedAt[deliveredSample.sample.requestId]);
            for (const TokenSpan &span : deliveredSample.sample.spans) {
                m_tokens.delivered += span.tokenCount;
            }
        }
        if (done) {
            m_time.at(trainer.trainingEnds(), [this, index] {
                endTraining(index);
            });
            return;
        }
        sendDraw(index);
    });
}

void SampleSimulation::performOne(RecordEvidence &action)
{
    ++m_evidence[action.kind];
}

} // namespace bergamot
