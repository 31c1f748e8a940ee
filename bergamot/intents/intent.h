#pragma once

// What an operator wants changed, and its effect on a configuration.
//
//     const Result<Intent> intent = parseIntent(body);
//     const Result<Configuration> after = applyIntent(configuration, *intent);

#include <string>
#include <vector>

#include <cpprest/json.h>

#include "bergamot/base/error.h"
#include "bergamot/base/ids.h"
#include "bergamot/config/configuration.h"

namespace bergamot
{

/// Entries that are set replace the whole entry of that name; a field that is left out gets its default.
struct Intent
{
    IntentId id; // chosen by the operator; the same id is the same intent
    std::string operatorName;
    Configuration set; // without version and offset
    std::vector<ModelId> removedModels;
    std::vector<TrainerId> removedTrainers;
    std::vector<ServiceId> removedServices;

    bool operator==(const Intent &) const = default;
};

/// Reads {"id","operator","set":{..},"remove":{..}}; the error lists every bad field with its remedy.
Result<Intent> parseIntent(const web::json::value &json);

/// The inverse of `parseIntent`; equal intents give equal text.
web::json::value toJson(const Intent &intent);

/// The configuration after `intent`, with the version and offset of `base`. `Conflict` names what stands against it:
/// failure domains set before, a weight version below the present one, an entry to remove that is not there, or
/// entries that do not fit together.
Result<Configuration> applyIntent(const Configuration &base, const Intent &intent);

} // namespace bergamot
