#include "bergamot/samples/sample_scheduler.h"

namespace bergamot
{

namespace
{

constexpr std::size_t BytesPerToken = 4; // until texts of the trainer are known
constexpr std::chrono::seconds RoomRetry{2};

} // namespace

std::size_t SampleScheduler::heldBytes() const
{
    return m_book.heldBytes();
}

Result<void> SampleScheduler::checkRoom(const StepKey &key, const StepSpec &spec) const
{
    if (spec.promptBytes <= m_holdingLimit.room(holding(key.trainer))) {
        return {};
    }
    return failure(ErrorCode::Overloaded,
                   "step " + toText(key) + " was not taken: its " + std::to_string(spec.promptBytes)
                       + " prompt bytes have no room on this instance; hand it in again later",
                   RoomRetry);
}

std::size_t SampleScheduler::expectedBytes(const Trainer &trainer, const Step &step)
{
    const std::size_t most = step.spec().groups.front().maxTokens * BytesPerToken;
    return (trainer.textBytes > 0 ? trainer.textBytes : most) + FinishedSampleBytes;
}

Holding SampleScheduler::holding(const TrainerId &trainer) const
{
    Holding result{.all = m_book.heldBytes(), .own = m_book.heldBytes(trainer), .trainers = m_trainers.size()};
    for (const auto &[id, other] : m_trainers) {
        const std::vector<const Step *> steps = m_book.stepsOf(id);
        const std::size_t underWay = steps.empty() ? 0 : other.inFlight * expectedBytes(other, *steps.front());
        result.all += underWay;
        result.own += id == trainer ? underWay : 0;
    }
    return result;
}

bool SampleScheduler::isDrawnNow(const StepKey &step) const
{
    return std::any_of(m_draws.begin(), m_draws.end(), [&](const PendingDraw &draw) {
        return draw.request.step == step;
    });
}

std::uint32_t SampleScheduler::holdable(const Trainer &trainer, const Step &step, const Holding &holding) const
{
    const std::uint32_t samples = startable(trainer, step);
    if (isDrawnNow(step.key())) {
        return samples; // handed over as soon as they are whole
    }
    const std::size_t room = m_holdingLimit.room(holding) / expectedBytes(trainer, step);
    return static_cast<std::uint32_t>(std::min<std::size_t>(samples, room));
}

} // namespace bergamot
