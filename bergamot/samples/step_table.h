#pragma once

// The steps that trainers have handed in and what has become of each of their samples. What a trainer has received is
// never remembered here for good: its cursor says so, and `applyCursor` brings a step in line with it.
//
//     StepBook book(StepLimits {});
//     Result<Step *> step = book.handIn(key, spec);
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
    Waiting, // for a slot
    InFlight, // one or more attempts run
    Scoring,
    Ready, // whole; not known to have arrived
    Failed, // given up; the trainer has not been told for certain
    Received, // the trainer's cursor has it
};

/// A whole sample that waits for the trainer.
struct FinishedSample
{
    std::string text;
    std::vector<TokenSpan> spans;
    std::optional<double> score;
    std::string scoreReason; // why there is no score, if one was wanted
    EndpointId engine;
    std::string requestId; // of the attempt that made it
};

/// Bytes that a whole sample holds besides its text.
inline constexpr std::size_t FinishedSampleBytes = 512;

/// One step. Not thread-safe.
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

    /// The first waiting sample, in the order of dispatch, that `allowed` accepts; it stays in the queue.
    std::optional<std::uint32_t> nextWaiting(const std::function<bool(std::uint32_t offset)> &allowed) const;
    std::uint32_t count(SampleState state) const;
    /// Samples of one group that are not whole yet.
    std::uint32_t missingInGroup(std::uint32_t group) const;

    void start(std::uint32_t offset);
    /// Back to the front of the queue, because an attempt was lost, moved or too old. `resumeFrom` may be empty.
    void putBack(std::uint32_t offset, std::string resumeFrom);
    /// The handle to resume `offset` from, if it has one; it is handed out once.
    std::string takeResumeHandle(std::uint32_t offset);
    void beginScoring(std::uint32_t offset, FinishedSample finished);
    void makeReady(std::uint32_t offset);
    void fail(std::uint32_t offset, std::string reason);

    /// Bytes of the prompts, and of the texts that have not arrived yet, with what belongs to them.
    std::size_t heldBytes() const
    {
        return m_spec.promptBytes + m_textBytes;
    }

    /// For samples that are scored or ready.
    FinishedSample &finished(std::uint32_t offset);
    const std::string &failureReason(std::uint32_t offset) const;

    /// What the trainer has is Received; what it has not, and we no longer have either, waits again. Returns the
    /// samples whose attempts can be cancelled. `Conflict` if the cursor is of another step or other groups.
    Result<std::vector<std::uint32_t>> applyCursor(const Cursor &cursor);
    /// Whole or failed samples that the trainer has not, those with the oldest versions first.
    std::vector<std::uint32_t> deliverable() const;
    /// Every sample is received or in the last batch, so nothing is left to do unless a draw says otherwise.
    bool isHandedOver() const;

    /// Whether the trainer waits for this step: it has drawn from it.
    bool drawn = false;
    /// The last batch handed over, sorted, and the cursor it was drawn with: a repeated draw gets the same one.
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

    void change(std::uint32_t offset, SampleState state);
    void dropText(std::uint32_t offset);

    StepKey m_key;
    StepSpec m_spec;
    std::vector<Sample> m_samples;
    std::vector<std::uint32_t> m_missingInGroup;
    std::deque<std::uint32_t> m_queue; // may hold samples that no longer wait; they are skipped
    std::array<std::uint32_t, 6> m_counts{};
    std::size_t m_textBytes = 0;
    std::map<std::uint32_t, std::string> m_resumeHandles;
    std::map<std::uint32_t, std::string> m_failures;
};

/// The steps of all trainers of this owner. Not thread-safe.
class StepBook
{
public:
    explicit StepBook(StepLimits limits);

    /// The same step again is found; `Conflict` if it was handed in with other groups; `Overloaded` if the trainer
    /// has too many steps that are not handed over.
    Result<Step *> handIn(const StepKey &key, StepSpec spec);
    Step *find(const StepKey &key);
    const Step *find(const StepKey &key) const;
    void drop(const StepKey &key);
    /// Steps of `trainer`, the earliest first.
    std::vector<Step *> stepsOf(const TrainerId &trainer);
    std::vector<const Step *> stepsOf(const TrainerId &trainer) const;
    std::vector<TrainerId> trainers() const;
    /// Bytes held for one trainer and for all.
    std::size_t heldBytes(const TrainerId &trainer) const;
    std::size_t heldBytes() const;

private:
    StepLimits m_limits;
    std::map<StepKey, std::unique_ptr<Step>> m_steps;
};

} // namespace bergamot
