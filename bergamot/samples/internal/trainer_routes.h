#pragma once

// The trainers' HTTP interface as values: which route a request takes, what a draw asks for, and the JSON of answers.

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include <cpprest/json.h>

#include "bergamot/base/error.h"
#include "bergamot/http/message.h"
#include "bergamot/samples/sample_scheduler.h"

namespace bergamot
{

struct TrainerRoute
{
    enum class Kind {
        HandIn,
        Draw,
        Drop,
        Status,
    };

    Kind kind = Kind::Status;
    StepKey key; // `step` is 0 for Status
};

/// `NotFound` for a path or method that is none of ours.
Result<TrainerRoute> parseTrainerRoute(const HttpRequest &request);

/// Reads the body of a draw; waits longer than `maxWait` are cut.
Result<DrawRequest> parseDraw(std::string_view body, std::chrono::milliseconds maxWait, TimePoint now);

web::json::value statusJson(const StepKey &key, const StepStatus &status);
web::json::value sampleJson(const HandedSample &handed, const std::string &receipt);
/// What the evidence says of one sample that was handed over.
web::json::value sampleEvidence(const HandedSample &handed, const std::string &textDigest);
web::json::value drawJson(const AnswerDraw &answer, std::vector<web::json::value> samples);

} // namespace bergamot
