#include "bergamot/samples/sample_scheduler.h"

namespace bergamot
{

namespace
{

constexpr std::size_t BytesPerToken = 4; // estimate until the trainer's first sample has finished
constexpr std::chrono::seconds SubmitRetryDelay{2};

} // namespace

std::size_t SampleScheduler::heldBytes() const
{
    return m_stepTable.heldBytes();
}

Result<void> SampleScheduler::checkMemoryLimit(const StepKey &key, const StepSpec &spec) const
{
    if (spec.promptBytes <= m_heldBytesLimit.remaining(projectedHeldBytes(key.trainer))) {
        return {};
    }
    return failure(ErrorCode::Overloaded,
                   "step " + toText(key) + " was rejected: its " + std::to_string(spec.promptBytes)
                       + " prompt bytes exceed the remaining memory limit of this instance; submit it again later",
                   SubmitRetryDelay);
}

std::size_t SampleScheduler::expectedBytes(const Trainer &trainer, const Step &step)
{
    const std::size_t maxTextBytes = step.spec().groups.front().maxTokens * BytesPerToken;
    return (trainer.textBytes > 0 ? trainer.textBytes : maxTextBytes) + FinishedSampleBytes;
}

HeldBytes SampleScheduler::projectedHeldBytes(const TrainerId &trainer) const
{
    HeldBytes result{
        .total = m_stepTable.heldBytes(), .ofTrainer = m_stepTable.heldBytes(trainer), .trainers = m_trainers.size()};
    for (const auto &[id, other] : m_trainers) {
        const std::vector<const Step *> steps = m_stepTable.stepsOf(id);
        const std::size_t inFlightBytes = steps.empty() ? 0 : other.inFlight * expectedBytes(other, *steps.front());
        result.total += inFlightBytes;
        result.ofTrainer += id == trainer ? inFlightBytes : 0;
    }
    return result;
}

bool SampleScheduler::hasPendingDraw(const StepKey &step) const
{
    return std::any_of(m_draws.begin(), m_draws.end(), [&](const PendingDraw &draw) {
        return draw.request.step == step;
    });
}

std::uint32_t SampleScheduler::samplesWithinLimit(const Trainer &trainer, const Step &step, const HeldBytes &held) const
{
    const std::uint32_t samples = startableSamples(trainer, step);
    if (hasPendingDraw(step.key())) {
        return samples; // delivered as soon as they finish, so they are not held
    }
    const std::size_t remainingSamples = m_heldBytesLimit.remaining(held) / expectedBytes(trainer, step);
    return static_cast<std::uint32_t>(std::min<std::size_t>(samples, remainingSamples));
}

} // namespace bergamot
