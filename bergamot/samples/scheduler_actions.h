#pragma once

// What the sample scheduler asks its shell to do.

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

struct HandedSample
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

/// The answer to one draw. Everything in it is marked in `cursor`.
struct AnswerDraw
{
    std::uint64_t drawId = 0;
    StepKey step;
    std::uint64_t stalenessBound = 0; // in force at the hand-over
    WeightVersion newest = 0; // that staleness was counted from
    std::vector<HandedSample> samples = {};
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

/// Counts since the start. Tokens are those of whole generations.
struct SchedulerCounters
{
    std::uint64_t handedOver = 0;
    std::uint64_t discardedTooOld = 0;
    std::uint64_t cancelledTooOld = 0; // in flight, before they became whole
    std::uint64_t discardedUnproven = 0;
    std::uint64_t failed = 0;
    std::uint64_t spares = 0;
    std::uint64_t moved = 0;
    std::uint64_t givenBack = 0;
    std::uint64_t engineDeaths = 0;
    std::uint64_t scoreless = 0;
    std::uint64_t tokensDiscarded = 0;
};

} // namespace bergamot
