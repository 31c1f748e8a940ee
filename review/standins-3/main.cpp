// review-3: runs one case of the third review against nodes as separate processes, with stand-ins for everything else.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

#include <array>
#include <cstdio>
#include <utility>

#include "bergamot/base/settings.h"
#include "review/standins-3/full_store_case.h"
#include "review/standins-3/open_batches_case.h"
#include "review/standins-3/stale_owner_case.h"

namespace bergamot::review
{

namespace
{

using RunCase = CaseOutcome (*)(const ReviewOptions &options);

constexpr std::array<std::pair<std::string_view, RunCase>, 3> Cases{{
    {"full-store", runFullStoreCase},
    {"open-batches", runOpenBatchesCase},
    {"stale-owner", runStaleOwnerCase},
}};

int run(int argc, char **argv)
{
    SettingsParser parser("review-3", "Runs one case of the third review.");
    parser.require("case", "Name of the case.");
    parser.require("program", "Path of bergamot-node.");
    parser.require("folder", "Folder for settings and logs of the nodes.");
    parser.require("record", "Path of the file that tells what was sent, answered and run.");
    parser.flag("trouble", "Whether the disturbance happens.");
    const SettingsOutcome outcome = parser.parse(argc, argv);
    if (outcome.exitCode) {
        return *outcome.exitCode;
    }
    for (const auto &[name, runCase] : Cases) {
        if (name == parser.text("case")) {
            return static_cast<int>(runCase({.program = parser.text("program"),
                                             .folder = parser.text("folder"),
                                             .record = parser.text("record"),
                                             .trouble = parser.isSet("trouble")}));
        }
    }
    std::fprintf(stderr, "no such case: %s\n", parser.text("case").c_str());
    return static_cast<int>(CaseOutcome::CouldNotRun);
}

} // namespace

} // namespace bergamot::review

int main(int argc, char **argv)
{
    return bergamot::review::run(argc, argv);
}
