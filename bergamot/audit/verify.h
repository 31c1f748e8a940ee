#pragma once

// Checks an export: whether a record of evidence was changed, dropped or reordered, and whether a trainer's receipt
// matches what the records say.
//
//     for (const Finding &finding : verifyExport(streams)) { std::cout << finding.text; }
//
// The chains alone cannot show that the very end of one was cut off or rewritten as a whole, because nothing later
// depends on it; receipts that trainers keep can.

#include <string>
#include <string_view>
#include <vector>

#include "bergamot/audit/export_file.h"

namespace bergamot
{

enum class FindingKind {
    Changed,
    Dropped,
    Reordered,
    Unreadable,
    Lost, // told by the instance itself: it could not keep these records
};

struct Finding
{
    FindingKind kind = FindingKind::Changed;
    std::string text; // in plain words
};

std::string_view findingName(FindingKind kind);

/// Everything that is wrong; empty if the export holds.
std::vector<Finding> verifyExport(const std::vector<ExportedStream> &streams);

/// Whether the records bear out `receipt` for the sample `identity` ("trainer/step/group/index"). The error says what
/// does not match.
Result<void>
verifyReceipt(const std::vector<ExportedStream> &streams, std::string_view identity, std::string_view receipt);

} // namespace bergamot
