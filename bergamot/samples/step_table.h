#pragma once

// The steps that trainers have submitted and the state of each sample. The trainer's cursor is the authoritative record
// of the samples that it has received; `applyCursor` updates a step to match it.
//
//     StepTable table(StepLimits {});
//     Result<Step *> step = table.submit(key, spec);
//     (*step)->applyCursor(cursor);

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bergamot/base/error.h"
#include "bergamot/platform/engine.h"
#include "bergamot/samples/cursor.h"
#include "bergamot/samples/sample_id.h"
#include "bergamot/samples/step_spec.h"

namespace bergamot
{

enum class SampleState : std::uint8_t {
    Waiting, // waiting for a slot
    InFlight, // one or more attempts are running
    Scoring,
    Ready, // finished; not confirmed by the trainer's cursor
    Failed, // given up; not confirmed by the trainer's cursor
    Received, // marked in the trainer's cursor
};

/// A finished sample that has not been confirmed by the trainer.
struct FinishedSample
{
    std::string text;
    std::vector<TokenSpan> spans;
    std::optional<double> score;
    std::string scoreReason; // why a configured score is missing
    EndpointId engine;
    std::string requestId; // request id of the attempt that generated it
};

/// Estimated memory of a finished sample besides its text, in bytes.
inline constexpr std::size_t FinishedSampleBytes = 512;

/// A step and the states of its samples. Not thread-safe.
class Step
{
public:
    Step(StepKey key, StepSpec spec);

    const StepKey &key() const
    {
        return m_key;
    }

    const StepSpec &spec() const
    {
        return m_spec;
    }

    SampleState state(std::uint32_t offset) const
    {
        return m_samples[offset].state;
    }

    /// Returns the first waiting sample in dispatch order that `allowed` accepts, without removing it from the queue.
    std::optional<std::uint32_t> nextWaiting(const std::function<bool(std::uint32_t offset)> &allowed) const;
    std::uint32_t count(SampleState state) const;
    /// Number of waiting or running samples of a group.
    std::uint32_t missingInGroup(std::uint32_t group) const;

    void start(std::uint32_t offset);
    /// Puts a sample at the front of the queue, because its attempt was lost, moved or too old. `resumeFrom` may be
    /// empty.
    void requeue(std::uint32_t offset, std::string resumeFrom);
    /// Removes and returns the handle to resume the sample at `offset` from; empty if there is none.
    std::string takeResumeHandle(std::uint32_t offset);
    void beginScoring(std::uint32_t offset, FinishedSample finished);
    void makeReady(std::uint32_t offset);
    void fail(std::uint32_t offset, std::string reason);

    /// Bytes of the prompts and of the finished samples that the trainer has not confirmed.
    std::size_t heldBytes() const
    {
        return m_spec.promptBytes + m_textBytes;
    }

    /// Requires that the sample is in state `Scoring` or `Ready`.
    FinishedSample &finished(std::uint32_t offset);
    const std::string &failureReason(std::uint32_t offset) const;

    /// Sets samples that are marked in `cursor` to `Received`, and samples in `Received` that are not marked back to
    /// `Waiting`, because their texts are no longer held. Returns the samples whose attempts can be cancelled. Returns
    /// `Conflict` if the cursor belongs to another step or to other groups.
    Result<std::vector<std::uint32_t>> applyCursor(const Cursor &cursor);
    /// Ready and failed samples that the trainer has not confirmed: failed ones first, then by ascending oldest
    /// version.
    std::vector<std::uint32_t> deliverable() const;
    /// Whether every sample is received or in the last batch, so that no work is left unless a later cursor lacks some.
    bool isDelivered() const;

    /// Whether the trainer has drawn from this step and so waits for it.
    bool drawn = false;
    /// Offsets of the last delivered batch, sorted, and the cursor of its draw. A repeated draw gets the same batch.
    std::string batchCursor;
    std::vector<std::uint32_t> batch;

    bool inBatch(std::uint32_t offset) const
    {
        return std::binary_search(batch.begin(), batch.end(), offset);
    }

private:
    struct Sample
    {
        SampleState state = SampleState::Waiting;
        bool queued = false;
        std::unique_ptr<FinishedSample> finished;
    };

    void setState(std::uint32_t offset, SampleState state);
    void releaseText(std::uint32_t offset);

    StepKey m_key;
    StepSpec m_spec;
    std::vector<Sample> m_samples;
    std::vector<std::uint32_t> m_missingInGroup;
    std::deque<std::uint32_t> m_queue; // may contain samples that are no longer waiting; they are skipped
    std::array<std::uint32_t, 6> m_counts{};
    std::size_t m_textBytes = 0;
    std::map<std::uint32_t, std::string> m_resumeHandles;
    std::map<std::uint32_t, std::string> m_failures;
};

/// The steps of all trainers that this instance owns. Not thread-safe.
class StepTable
{
public:
    explicit StepTable(StepLimits limits);

    /// Adds a step, or returns the existing one if it was submitted with the same groups. Returns `Conflict` if it was
    /// submitted with other groups, and `Overloaded` if the trainer has too many steps that are not delivered.
    Result<Step *> submit(const StepKey &key, StepSpec spec);
    Step *find(const StepKey &key);
    const Step *find(const StepKey &key) const;
    void drop(const StepKey &key);
    /// Steps of `trainer` in ascending order of their numbers.
    std::vector<Step *> stepsOf(const TrainerId &trainer);
    std::vector<const Step *> stepsOf(const TrainerId &trainer) const;
    std::vector<TrainerId> trainers() const;
    /// Bytes held for one trainer, and for all trainers.
    std::size_t heldBytes(const TrainerId &trainer) const;
    std::size_t heldBytes() const;

private:
    StepLimits m_limits;
    std::map<StepKey, std::unique_ptr<Step>> m_steps;
};

} // namespace bergamot
