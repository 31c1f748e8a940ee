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

std::uint64_t TrainerModel::lastSubmittedStep() const
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
    for (const DeliveredSample &deliveredSample : answer.samples) {
        check(deliveredSample, answer);
        m_violations.duplicates += m_receivedSamples.insert(toText(deliveredSample.id)).second ? 0 : 1;
        m_staleness.push_back(deliveredSample.staleness);
        m_scoreless += deliveredSample.sample.score ? 0 : 1;
        ++m_totalReceived;
    }
    for (const FailedSample &failed : answer.failed) {
        m_violations.duplicates += m_receivedSamples.insert(toText(failed.id)).second ? 0 : 1;
        m_failures[toText(failed.id)] = failed.reason;
    }
    m_cursor = answer.cursor;
    if (!answer.done) {
        return false;
    }
    const std::size_t expected = std::size_t{m_options.groups} * m_options.samplesPerGroup;
    m_violations.wrongSample += m_receivedSamples.size() == expected ? 0 : 1;
    m_training = true;
    m_trainingEnds = now + m_options.trainTime;
    if (m_step > 1) {
        m_idle += now - m_waitingSince;
    } else {
        m_firstTrainingAt = now;
    }
    return true;
}

void TrainerModel::check(const DeliveredSample &deliveredSample, const AnswerDraw &answer)
{
    const std::vector<TokenSpan> &spans = deliveredSample.sample.spans;
    const bool known = deliveredSample.id.step == stepKey(m_step) && deliveredSample.id.group < m_options.groups
        && deliveredSample.id.index < m_options.samplesPerGroup;
    m_violations.wrongSample += known ? 0 : 1;
    const bool rightText =
        deliveredSample.sample.text == generatedText(prompt(m_step, deliveredSample.id.group), spans);
    m_violations.wrongLabels += rightText ? 0 : 1;
    const std::uint64_t age = stalenessOf(spans, std::max(version, answer.newest));
    m_violations.tooOld += age <= answer.stalenessBound ? 0 : 1;
}

void TrainerModel::beginNextStep(TimePoint now)
{
    ++m_step;
    m_training = false;
    m_cursor.clear();
    m_receivedSamples.clear();
    checkpoint();
    m_waitingSince = now;
}

void TrainerModel::checkpoint()
{
    m_checkpointCursor = m_cursor;
    m_checkpointSamples = m_receivedSamples;
}

void TrainerModel::restart()
{
    m_cursor = m_checkpointCursor;
    m_receivedSamples = m_checkpointSamples;
    drawInFlight = false;
}

} // namespace bergamot
