#pragma once

// Parses requests of the trainers' HTTP interface and formats the JSON of the answers.

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
        Submit,
        Draw,
        Drop,
        Status,
    };

    Kind kind = Kind::Status;
    StepKey key; // the step is 0 for `Status`
};

/// Returns `NotFound` for an unknown path or method.
Result<TrainerRoute> parseTrainerRoute(const HttpRequest &request);

/// Parses the body of a draw. A wait longer than `maxWait` is reduced to it.
Result<DrawRequest> parseDraw(std::string_view body, std::chrono::milliseconds maxWait, TimePoint now);

web::json::value statusJson(const StepKey &key, const StepStatus &status);
web::json::value sampleJson(const DeliveredSample &deliveredSample, const std::string &receipt);
/// The evidence record of one delivered sample.
web::json::value sampleEvidence(const DeliveredSample &deliveredSample, const std::string &textDigest);
web::json::value drawJson(const AnswerDraw &answer, std::vector<web::json::value> samples);

} // namespace bergamot
