#include "review/standins-3/open_batches_case.h"

#include <algorithm>

#include "review/standins-3/batch_body.h"

namespace bergamot::review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t BodyLimit = std::uint64_t{32} * 1024 * 1024; // `max_body_bytes` of the small deployments
constexpr std::size_t Batches = 10; // that are open
constexpr std::size_t LargeItem = std::size_t{210} * 1024; // bytes of an item's body; a batch of 112 is about 31 MB
constexpr std::size_t SmallItem = 600;
constexpr Duration SubmitTimeout = 25s;
constexpr Duration SubmitTime = 75s; // for all batches
constexpr Duration WatchTime = 30s; // after the last one
constexpr std::size_t EndsForFault = 3; // ends of a process that count as a fault,
constexpr std::size_t MachinesForFault = 2; // on so many machines: a tenth of them, at least two

std::size_t faultyMachines(const ReviewFleet &fleet)
{
    return static_cast<std::size_t>(
        std::count_if(fleet.killedForMemory.begin(), fleet.killedForMemory.end(), [](std::size_t ends) {
            return ends >= EndsForFault;
        }));
}

void recordMemory(ReviewFleet &fleet)
{
    for (const std::unique_ptr<NodeMachine> &machine : fleet.machines) {
        fleet.record(machine->name() + " takes " + std::to_string(machine->residentMegabytes()) + " MB");
    }
}

} // namespace

CaseOutcome runOpenBatchesCase(const ReviewOptions &options)
{
    ReviewFleet fleet(options,
                      {.nodes = 4,
                       .engines = 9,
                       .watchesStore = false,
                       .bodyBytes = BodyLimit,
                       .engine = {.slots = 8, .eventInterval = 500ms, .eventsPerSample = 100}});
    if (!fleet.start()) {
        return CaseOutcome::CouldNotRun;
    }
    const TimePoint begin = BootClock::now();
    for (std::size_t batch = 0; batch < Batches && faultyMachines(fleet) < MachinesForFault; ++batch) {
        const std::string name = "step-" + std::to_string(batch);
        const bool accepted = fleet.submitUntilAccepted(
            name,
            batchBody({.name = name, .step = batch, .itemBytes = options.trouble ? LargeItem : SmallItem}),
            SubmitTimeout);
        recordMemory(fleet);
        if (!accepted || BootClock::now() - begin > SubmitTime) {
            return CaseOutcome::CouldNotRun;
        }
    }
    fleet.runUntil(
        [&fleet] {
            return faultyMachines(fleet) >= MachinesForFault;
        },
        WatchTime);
    recordMemory(fleet);
    for (std::size_t index = 0; index < fleet.machines.size(); ++index) {
        fleet.record(fleet.machines[index]->name() + " was killed for its memory "
                     + std::to_string(fleet.killedForMemory[index]) + " times");
    }
    const std::size_t faulty = faultyMachines(fleet);
    if (faulty >= MachinesForFault) {
        fleet.record("BROKEN: on " + std::to_string(faulty) + " machines the process ended three times by itself");
        return CaseOutcome::Broken;
    }
    return CaseOutcome::Held;
}

} // namespace bergamot::review
