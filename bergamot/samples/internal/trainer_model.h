#pragma once

// Simulated trainer for tests and benchmarks: submits steps ahead, draws them with its cursor, counts the received
// samples, trains for a given time and publishes weights. It checks the service's guarantees on every received sample.
//
//     TrainerModel trainer(options);
//     trainer.receive(answer, cursorOfTheDraw, now);

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bergamot/samples/sample_scheduler.h"

namespace bergamot
{

struct TrainerModelOptions
{
    TrainerConfig config;
    std::uint32_t groups = 8;
    std::uint32_t samplesPerGroup = 4;
    std::uint32_t maxTokens = 20;
    std::uint64_t steps = 3;
    std::uint64_t stepsAhead = 1; // steps submitted in advance
    Duration trainTime = std::chrono::seconds(10);
    std::uint32_t drawMax = 256;
};

/// Numbers of violated guarantees; all of them must be zero.
struct GuaranteeViolations
{
    std::uint64_t duplicates = 0; // a sample that was received before
    std::uint64_t tooOld = 0;
    std::uint64_t wrongLabels = 0; // the spans do not match the generated text
    std::uint64_t wrongSample = 0; // a sample that is not in the step, or a wrong number of samples

    std::uint64_t sum() const
    {
        return duplicates + tooOld + wrongLabels + wrongSample;
    }
};

/// Deterministic; not thread-safe.
class TrainerModel
{
public:
    explicit TrainerModel(TrainerModelOptions options);

    const TrainerModelOptions &options() const
    {
        return m_options;
    }

    StepKey stepKey(std::uint64_t step) const;
    StepSpec stepSpec(std::uint64_t step) const;
    /// The last step that should be submitted by now.
    std::uint64_t lastSubmittedStep() const;

    bool isTraining(TimePoint now) const;
    bool isFinished() const;
    std::uint64_t step() const
    {
        return m_step;
    }

    const std::string &cursor() const
    {
        return m_cursor;
    }

    WeightVersion version = 1; // weight version of the trainer
    bool drawInFlight = false;
    TimePoint drawSentAt;

    /// Processes the answer to a draw with cursor `drawnWith`; an answer to an older cursor is ignored. Returns true if
    /// the step is complete, so that training starts and new weights are published at its end.
    bool receive(const AnswerDraw &answer, const std::string &drawnWith, TimePoint now);
    /// Ends the training of the current step and starts the next step.
    void beginNextStep(TimePoint now);
    TimePoint trainingEnds() const
    {
        return m_trainingEnds;
    }

    /// `restart` returns to the state of the last `checkpoint`, like a trainer that restarts in the middle of a step.
    void checkpoint();
    void restart();

    const GuaranteeViolations &violations() const
    {
        return m_violations;
    }

    std::uint64_t received() const
    {
        return m_totalReceived;
    }

    const std::map<std::string, std::string> &failures() const // reasons by sample id
    {
        return m_failures;
    }

    const std::vector<std::uint64_t> &staleness() const
    {
        return m_staleness;
    }

    std::uint64_t scoreless() const
    {
        return m_scoreless;
    }

    /// Time spent waiting for samples, except for the first step, which cannot be generated ahead.
    Duration idle() const
    {
        return m_idle;
    }

    /// Time from the end of the first wait to the end of the last training.
    Duration activeFor() const
    {
        return m_trainingEnds - m_firstTrainingAt;
    }

private:
    void check(const DeliveredSample &deliveredSample, const AnswerDraw &answer);
    std::string prompt(std::uint64_t step, std::uint32_t group) const;

    TrainerModelOptions m_options;
    std::uint64_t m_step = 1;
    std::string m_cursor;
    std::set<std::string> m_receivedSamples; // ids of received samples of this step
    std::string m_checkpointCursor;
    std::set<std::string> m_checkpointSamples;
    bool m_training = false;
    TimePoint m_trainingEnds;
    TimePoint m_waitingSince;
    TimePoint m_firstTrainingAt;
    Duration m_idle{0};
    GuaranteeViolations m_violations;
    std::uint64_t m_totalReceived = 0;
    std::uint64_t m_scoreless = 0;
    std::map<std::string, std::string> m_failures;
    std::vector<std::uint64_t> m_staleness;
};

} // namespace bergamot
