#pragma once

// Answers of bergamot-control as text for people. Fields that are missing or of another type are left empty, so that an
// older tool reads a newer program.

#include <string>

#include <cpprest/json.h>

namespace bergamot
{

std::string renderPlan(const web::json::value &body);
std::string renderConfirmation(const web::json::value &body);
std::string renderStatus(const web::json::value &body);
std::string renderHistory(const web::json::value &body);
std::string renderExplanation(const web::json::value &body);
/// The "message" of an error, and whom the plan lost to.
std::string renderError(const web::json::value &body);

} // namespace bergamot
