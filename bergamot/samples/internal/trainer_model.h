#pragma once

// A trainer as the sample tests and benchmarks need it: it hands steps in ahead, draws them with its cursor, counts
// what it receives, trains for a while and publishes weights. It checks each promise on what it receives.
//
//     TrainerModel trainer(options);
//     std::optional<DrawRequest> draw = trainer.nextDraw(now);
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
    std::uint64_t stepsAhead = 1; // handed in before the trainer needs them
    Duration trainTime = std::chrono::seconds(10);
    std::uint32_t drawMax = 256;
};

/// Counts of broken promises; all of them must stay zero.
struct PromiseViolations
{
    std::uint64_t twice = 0; // an identity received again
    std::uint64_t tooOld = 0;
    std::uint64_t wrongLabels = 0; // the spans do not match the text that the engine made
    std::uint64_t wrongSample = 0; // an identity that the step does not have, or a text of another prompt

    std::uint64_t sum() const
    {
        return twice + tooOld + wrongLabels + wrongSample;
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
    /// The last step that is to be handed in by now.
    std::uint64_t lastHandedIn() const;

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

    WeightVersion version = 1; // the weights that the trainer has
    bool drawInFlight = false;
    TimePoint drawSentAt;

    /// Takes an answer to a draw that was made with `drawnWith`; an answer to an older cursor is ignored.
    /// True if the step is done now and new weights follow when the training ends.
    bool receive(const AnswerDraw &answer, const std::string &drawnWith, TimePoint now);
    /// The training of the last step ends; the next one begins.
    void beginNextStep(TimePoint now);
    TimePoint trainingEnds() const
    {
        return m_trainingEnds;
    }

    /// Loses what came after the last checkpoint, as a trainer that restarts in the middle of a step.
    void checkpoint();
    void restart();

    const PromiseViolations &violations() const
    {
        return m_violations;
    }

    std::uint64_t received() const
    {
        return m_receivedInAll;
    }

    const std::map<std::string, std::string> &failures() const // by sample
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

    /// Time in which it waited for samples, without its first step, which nothing could prepare.
    Duration idle() const
    {
        return m_idle;
    }

    /// From the end of its first wait to the end of its last training.
    Duration activeFor() const
    {
        return m_trainingEnds - m_firstTrainingAt;
    }

private:
    void check(const HandedSample &handed, const AnswerDraw &answer);
    std::string prompt(std::uint64_t step, std::uint32_t group) const;

    TrainerModelOptions m_options;
    std::uint64_t m_step = 1;
    std::string m_cursor;
    std::set<std::string> m_has; // identities of this step
    std::string m_checkpointCursor;
    std::set<std::string> m_checkpointHas;
    bool m_training = false;
    TimePoint m_trainingEnds;
    TimePoint m_waitingSince;
    TimePoint m_firstTrainingAt;
    Duration m_idle{0};
    PromiseViolations m_violations;
    std::uint64_t m_receivedInAll = 0;
    std::uint64_t m_scoreless = 0;
    std::map<std::string, std::string> m_failures;
    std::vector<std::uint64_t> m_staleness;
};

} // namespace bergamot
