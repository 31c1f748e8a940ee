// bergamot-fuzz: feeds damaged input to every reader of input from outside and prints what broke a rule.

#include <iostream>

#include "bergamot/base/settings.h"
#include "bergamot/fuzz/targets.h"

namespace
{

using namespace bergamot;

constexpr std::size_t MostPrinted = 5; // broken inputs of each target

void print(const FuzzTarget &target, const FuzzReport &report)
{
    std::cout << target.name << ": " << report.refused << " refused, " << report.accepted << " accepted, "
              << report.broken.size() << " broken\n";
    for (std::size_t index = 0; index < std::min(report.broken.size(), MostPrinted); ++index) {
        std::cout << "  " << report.broken[index] << "\n";
    }
}

} // namespace

int main(int argc, char **argv)
{
    SettingsParser settings("bergamot-fuzz", "Feeds damaged input to every reader of input from outside.");
    settings.optional("seed", "1", "Start of the random generator.", checkUnsigned);
    settings.optional("count", "100000", "Damaged inputs for each reader.", checkUnsigned);
    settings.optional("target", "", "Only the reader of this name.");
    if (const SettingsOutcome outcome = settings.parse(argc, argv); outcome.exitCode) {
        return *outcome.exitCode;
    }
    const FuzzOptions options{.seed = settings.number("seed"), .count = settings.number("count")};
    const std::string only = settings.text("target");
    bool broken = false;
    for (const FuzzTarget &target : fuzzTargets()) {
        if (!only.empty() && target.name != only) {
            continue;
        }
        const FuzzReport report = fuzz(target, options);
        print(target, report);
        broken = broken || !report.broken.empty();
    }
    return broken ? 1 : 0;
}
