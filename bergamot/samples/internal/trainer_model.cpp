#include "bergamot/samples/internal/trainer_model.h"

#include "bergamot/standins/generated_text.h"

namespace bergamot
{

TrainerModel::TrainerModel(TrainerModelOptions options)
    : m_options(std::move(options))
    , m_waitingSince(TimePoint(std::chrono::hours(1)))
{ }

std::string TrainerModel::prompt(std::uint64_t step, std::uint32_t group) const
{
    return m_options.config.trainer.value() + " step " + std::to_string(step) + " group " + std::to_string(group);
}

StepKey TrainerModel::stepKey(std::uint64_t step) const
{
    return {m_options.config.trainer, step};
}

StepSpec TrainerModel::stepSpec(std::uint64_t step) const
{
    std::vector<GroupSpec> groups;
    for (std::uint32_t group = 0; group < m_options.groups; ++group) {
        groups.push_back({prompt(step, group), m_options.samplesPerGroup, m_options.maxTokens});
    }
    return makeStepSpec(std::move(groups));
}

std::uint64_t TrainerModel::lastHandedIn() const
{
    return std::min(m_options.steps, m_step + m_options.stepsAhead);
}

bool TrainerModel::isTraining(TimePoint now) const
{
    return m_training && now < m_trainingEnds;
}

bool TrainerModel::isFinished() const
{
    return m_step > m_options.steps;
}

bool TrainerModel::receive(const AnswerDraw &answer, const std::string &drawnWith, TimePoint now)
{
    const bool current = answer.step == stepKey(m_step) && drawnWith == m_cursor && !m_training;
    if (!current) {
        return false;
    }
    for (const HandedSample &handed : answer.samples) {
        check(handed, answer);
        m_violations.twice += m_has.insert(toText(handed.id)).second ? 0 : 1;
        m_staleness.push_back(handed.staleness);
        m_scoreless += handed.sample.score ? 0 : 1;
        ++m_receivedInAll;
    }
    for (const FailedSample &failed : answer.failed) {
        m_violations.twice += m_has.insert(toText(failed.id)).second ? 0 : 1;
        m_failures[toText(failed.id)] = failed.reason;
    }
    m_cursor = answer.cursor;
    if (!answer.done) {
        return false;
    }
    const std::size_t expected = std::size_t{m_options.groups} * m_options.samplesPerGroup;
    m_violations.wrongSample += m_has.size() == expected ? 0 : 1;
    m_training = true;
    m_trainingEnds = now + m_options.trainTime;
    if (m_step > 1) {
        m_idle += now - m_waitingSince;
    } else {
        m_firstTrainingAt = now;
    }
    return true;
}

void TrainerModel::check(const HandedSample &handed, const AnswerDraw &answer)
{
    const std::vector<TokenSpan> &spans = handed.sample.spans;
    const bool known = handed.id.step == stepKey(m_step) && handed.id.group < m_options.groups
        && handed.id.index < m_options.samplesPerGroup;
    m_violations.wrongSample += known ? 0 : 1;
    const bool rightText = handed.sample.text == generatedText(prompt(m_step, handed.id.group), spans);
    m_violations.wrongLabels += rightText ? 0 : 1;
    const std::uint64_t age = stalenessOf(spans, std::max(version, answer.newest));
    m_violations.tooOld += age <= answer.stalenessBound ? 0 : 1;
}

void TrainerModel::beginNextStep(TimePoint now)
{
    ++m_step;
    m_training = false;
    m_cursor.clear();
    m_has.clear();
    checkpoint();
    m_waitingSince = now;
}

void TrainerModel::checkpoint()
{
    m_checkpointCursor = m_cursor;
    m_checkpointHas = m_has;
}

void TrainerModel::restart()
{
    m_cursor = m_checkpointCursor;
    m_has = m_checkpointHas;
    drawInFlight = false;
}

} // namespace bergamot
