#include "bergamot/samples/step_table.h"

#include "bergamot/base/invariant.h"
#include "bergamot/samples/staleness_rule.h"

namespace bergamot
{

namespace
{

bool isUnfinished(SampleState state)
{
    return state == SampleState::Waiting || state == SampleState::InFlight;
}

std::size_t index(SampleState state)
{
    return static_cast<std::size_t>(state);
}

} // namespace

Step::Step(StepKey key, StepSpec spec)
    : m_key(std::move(key))
    , m_spec(std::move(spec))
    , m_samples(m_spec.sampleCount)
{
    for (const GroupSpec &group : m_spec.groups) {
        m_missingInGroup.push_back(group.samples);
    }
    for (std::uint32_t offset = 0; offset < m_spec.sampleCount; ++offset) {
        m_queue.push_back(offset);
        m_samples[offset].queued = true;
    }
    m_counts[index(SampleState::Waiting)] = m_spec.sampleCount;
}

std::optional<std::uint32_t> Step::nextWaiting(const std::function<bool(std::uint32_t offset)> &allowed) const
{
    for (const std::uint32_t offset : m_queue) {
        if (m_samples[offset].state == SampleState::Waiting && allowed(offset)) {
            return offset;
        }
    }
    return std::nullopt;
}

std::uint32_t Step::count(SampleState state) const
{
    return m_counts[index(state)];
}

std::uint32_t Step::missingInGroup(std::uint32_t group) const
{
    return m_missingInGroup[group];
}

void Step::setState(std::uint32_t offset, SampleState state)
{
    Sample &sample = m_samples[offset];
    std::uint32_t &missing = m_missingInGroup[m_spec.position(offset).first];
    missing += isUnfinished(state) ? 1 : 0;
    missing -= isUnfinished(sample.state) ? 1 : 0;
    --m_counts[index(sample.state)];
    ++m_counts[index(state)];
    sample.state = state;
}

void Step::releaseText(std::uint32_t offset)
{
    const std::unique_ptr<FinishedSample> finished = std::move(m_samples[offset].finished);
    m_textBytes -= finished ? finished->text.size() + FinishedSampleBytes : 0;
}

void Step::start(std::uint32_t offset)
{
    setState(offset, SampleState::InFlight);
    m_samples[offset].queued = false;
    // Usually near the front, because the queue is scanned in order.
    m_queue.erase(std::find(m_queue.begin(), m_queue.end(), offset));
    while (!m_queue.empty() && m_samples[m_queue.front()].state != SampleState::Waiting) {
        m_samples[m_queue.front()].queued = false;
        m_queue.pop_front();
    }
}

void Step::requeue(std::uint32_t offset, std::string resumeFrom)
{
    Sample &sample = m_samples[offset];
    releaseText(offset);
    m_failures.erase(offset);
    setState(offset, SampleState::Waiting);
    if (!sample.queued) {
        m_queue.push_front(offset);
        sample.queued = true;
    }
    if (!resumeFrom.empty()) {
        m_resumeHandles[offset] = std::move(resumeFrom);
    }
}

std::string Step::takeResumeHandle(std::uint32_t offset)
{
    const auto node = m_resumeHandles.extract(offset);
    return node ? node.mapped() : std::string();
}

void Step::beginScoring(std::uint32_t offset, FinishedSample finished)
{
    releaseText(offset);
    m_textBytes += finished.text.size() + FinishedSampleBytes;
    m_samples[offset].finished = std::make_unique<FinishedSample>(std::move(finished));
    setState(offset, SampleState::Scoring);
}

void Step::makeReady(std::uint32_t offset)
{
    setState(offset, SampleState::Ready);
}

void Step::fail(std::uint32_t offset, std::string reason)
{
    releaseText(offset);
    setState(offset, SampleState::Failed);
    m_failures[offset] = std::move(reason);
}

FinishedSample &Step::finished(std::uint32_t offset)
{
    checkInvariant(m_samples[offset].finished != nullptr, "Only a sample in state Scoring or Ready has a text.");
    return *m_samples[offset].finished;
}

const std::string &Step::failureReason(std::uint32_t offset) const
{
    return m_failures.at(offset);
}

Result<std::vector<std::uint32_t>> Step::applyCursor(const Cursor &cursor)
{
    if (cursor.step() != m_key) {
        return failure(ErrorCode::Conflict,
                       "cursor belongs to step " + toText(cursor.step()) + "; draw from that step");
    }
    if (cursor.stepDigest() != m_spec.digest || cursor.sampleCount() != m_spec.sampleCount) {
        return failure(ErrorCode::Conflict, "cursor belongs to other groups than those submitted for this step");
    }
    std::vector<std::uint32_t> cancellable;
    for (std::uint32_t offset = 0; offset < m_spec.sampleCount; ++offset) {
        Sample &sample = m_samples[offset];
        const bool received = sample.state == SampleState::Received;
        if (cursor.has(offset) && !received) {
            if (sample.state == SampleState::InFlight) {
                cancellable.push_back(offset);
            }
            releaseText(offset);
            setState(offset, SampleState::Received);
        } else if (!cursor.has(offset) && received) {
            requeue(offset, {});
        }
    }
    return cancellable;
}

std::vector<std::uint32_t> Step::deliverable() const
{
    std::vector<std::uint32_t> result;
    for (std::uint32_t offset = 0; offset < m_spec.sampleCount; ++offset) {
        const SampleState state = m_samples[offset].state;
        if (state == SampleState::Ready || state == SampleState::Failed) {
            result.push_back(offset);
        }
    }
    const auto version = [this](std::uint32_t offset) {
        const Sample &sample = m_samples[offset];
        return sample.finished ? oldestVersion(sample.finished->spans) : 0;
    };
    std::stable_sort(result.begin(), result.end(), [&](std::uint32_t left, std::uint32_t right) {
        return version(left) < version(right);
    });
    return result;
}

bool Step::isDelivered() const
{
    const auto received = [this](std::uint32_t offset) {
        return m_samples[offset].state == SampleState::Received;
    };
    const auto open = static_cast<std::uint32_t>(batch.size())
        - static_cast<std::uint32_t>(std::count_if(batch.begin(), batch.end(), received));
    return count(SampleState::Received) + open == m_spec.sampleCount;
}

StepTable::StepTable(StepLimits limits)
    : m_limits(limits)
{ }

Result<Step *> StepTable::submit(const StepKey &key, StepSpec spec)
{
    if (Step *existing = find(key); existing != nullptr) {
        if (existing->spec().groups != spec.groups) {
            return failure(ErrorCode::Conflict,
                           "step " + toText(key) + " was submitted with other groups; use the next step number");
        }
        return existing;
    }
    std::size_t unfinished = 0;
    for (const Step *step : stepsOf(key.trainer)) {
        unfinished += step->isDelivered() ? 0 : 1;
    }
    if (unfinished >= m_limits.maxStepsPerTrainer) {
        return failure(ErrorCode::Overloaded,
                       "trainer " + key.trainer.value() + " has " + std::to_string(unfinished)
                           + " unfinished steps; draw or delete one first",
                       std::chrono::seconds(1));
    }
    std::unique_ptr<Step> &newStep = m_steps[key];
    newStep = std::make_unique<Step>(key, std::move(spec));
    return newStep.get();
}

Step *StepTable::find(const StepKey &key)
{
    const auto found = m_steps.find(key);
    return found == m_steps.end() ? nullptr : found->second.get();
}

const Step *StepTable::find(const StepKey &key) const
{
    const auto found = m_steps.find(key);
    return found == m_steps.end() ? nullptr : found->second.get();
}

void StepTable::drop(const StepKey &key)
{
    m_steps.erase(key);
}

std::vector<Step *> StepTable::stepsOf(const TrainerId &trainer)
{
    std::vector<Step *> result;
    for (auto entry = m_steps.lower_bound({trainer, 0}); entry != m_steps.end() && entry->first.trainer == trainer;
         ++entry) {
        result.push_back(entry->second.get());
    }
    return result;
}

std::vector<const Step *> StepTable::stepsOf(const TrainerId &trainer) const
{
    std::vector<const Step *> result;
    for (auto entry = m_steps.lower_bound({trainer, 0}); entry != m_steps.end() && entry->first.trainer == trainer;
         ++entry) {
        result.push_back(entry->second.get());
    }
    return result;
}

std::size_t StepTable::heldBytes(const TrainerId &trainer) const
{
    std::size_t bytes = 0;
    for (const Step *step : stepsOf(trainer)) {
        bytes += step->heldBytes();
    }
    return bytes;
}

std::size_t StepTable::heldBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[key, step] : m_steps) {
        bytes += step->heldBytes();
    }
    return bytes;
}

std::vector<TrainerId> StepTable::trainers() const
{
    std::vector<TrainerId> result;
    for (const auto &[key, step] : m_steps) {
        if (result.empty() || result.back() != key.trainer) {
            result.push_back(key.trainer);
        }
    }
    return result;
}

} // namespace bergamot
