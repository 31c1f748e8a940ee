#pragma once

// Actions that the sample scheduler requests from `SampleService`, which performs the I/O.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <cpprest/json.h>

#include "bergamot/base/address.h"
#include "bergamot/platform/engine.h"
#include "bergamot/samples/sample_id.h"
#include "bergamot/samples/step_table.h"

namespace bergamot
{

struct StartGeneration
{
    Address engine;
    GenerateRequest request;
    std::chrono::milliseconds timeout{0};
};

struct CancelGeneration
{
    Address engine;
    std::string requestId;
};

struct ExportGeneration
{
    Address engine;
    std::string requestId;
};

struct StartScoring
{
    std::uint64_t scoringId = 0;
    Address service;
    std::string prompt;
    std::string text;
};

struct DeliveredSample
{
    SampleId id;
    FinishedSample sample;
    std::uint64_t staleness = 0;
};

struct FailedSample
{
    SampleId id;
    std::string reason;
};

/// The answer to one draw. `cursor` marks all samples in it as received.
struct AnswerDraw
{
    std::uint64_t drawId = 0;
    StepKey step;
    std::uint64_t stalenessBound = 0; // the bound in force at delivery
    WeightVersion newest = 0; // version from which staleness is counted
    std::vector<DeliveredSample> samples = {};
    std::vector<FailedSample> failed = {};
    std::string cursor = {};
    bool done = false;
};

struct RecordEvidence
{
    std::string kind;
    web::json::value fields;
};

using SchedulerAction =
    std::variant<StartGeneration, CancelGeneration, ExportGeneration, StartScoring, AnswerDraw, RecordEvidence>;

/// Totals since the start of the process. Tokens are counted for finished generations only.
struct SchedulerCounters
{
    std::uint64_t deliveredSamples = 0;
    std::uint64_t discardedTooOld = 0;
    std::uint64_t cancelledTooOld = 0; // cancelled in flight, before they finished
    std::uint64_t discardedUnproven = 0;
    std::uint64_t failed = 0;
    std::uint64_t speculativeCopies = 0;
    std::uint64_t moved = 0;
    std::uint64_t releasedSlots = 0;
    std::uint64_t engineDeaths = 0;
    std::uint64_t scoreless = 0;
    std::uint64_t tokensDiscarded = 0;
};

} // namespace bergamot
