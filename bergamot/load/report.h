#pragma once

// The outcome of a run: a table for people, JSON for programs.
//
//     std::cout << reportTable(ledger, measures);

#include <string>

#include <cpprest/json.h>

#include "bergamot/load/measures.h"
#include "bergamot/load/promises.h"

namespace bergamot
{

std::string reportTable(const PromiseLedger &ledger, const Measures &measures);

/// One line about a run that has gone on for `elapsed`.
std::string progressLine(const PromiseLedger &ledger, const Measures &measures, Duration elapsed);

web::json::value reportJson(const PromiseLedger &ledger, const Measures &measures);

} // namespace bergamot
