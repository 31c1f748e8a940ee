#pragma once

// Decides which engine loads a newly named weight version, and when. Pure.
//
//     for (const PlannedLoad &load : nextLoads(engines, demand, homes, options)) { ... }
//
// Load pattern: a version is named every few seconds, and the next step needs the version before it or a newer one.
// Loads slow each other beyond a share of the engines. An engine too old for the open step does nothing useful, so it
// loads first; one that still fits loads when no sample waits for it (it is idle or, if its runs may go on under the
// new weights, has no free slot), but only until half of the engines are ready for the next step. The other half loads
// when that step comes, beside its first samples: each engine then loads every second version, and half of the samples
// are made by the newest one.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::dispatch
{

struct LoadCandidate
{
    std::string engine;
    std::map<std::string, std::uint64_t> versions;
    std::uint32_t runs = 0;
    std::uint32_t slots = 1;
    bool loading = false;
    bool usable = false;
    bool mayOrder = false; // no order of an earlier owner can cross
    bool draining = false;
};

/// What is asked of one model.
struct ModelDemand
{
    double work = 0; // slots x seconds of a usual batch; 0: not known
    double peakSamples = 0; // open at once, lately; 0: not known
    std::uint64_t named = 0; // newest version that was named
    std::uint64_t needed = 0; // oldest version that open batches allow
    std::size_t waiting = 0; // samples without an engine
    bool runsContinue = false; // its runs go on under new weights; otherwise an engine finishes them first
};

struct LoadPlannerOptions
{
    double shareAtOnce = 0.2; // of the engines that may load at the same time without slowing each other
    // Engines that are ready for the step after the open one; the others load when it comes, beside the first samples.
    double readyShare = 0.5;
    double spare = 1.5; // slots kept fresh for each sample: a third may be at engines that are lost, slow or loading
};

struct PlannedLoad
{
    std::string engine;
    std::string model;
    std::uint64_t version = 0;
};

/// Which model each engine keeps fresh. Loads of several models on every engine would take more time than there is
/// between two versions, so each model gets a share of the engines by its work, and no more than its samples fill:
/// with many engines the others are left alone.
///
///     EngineHomes homes;
///     homes.update(engines, demand, options);
///     homes.of("engine-1"); // a model, or empty
class EngineHomes
{
public:
    /// Keeps what is assigned as long as no model is short of more than one engine or has a quarter too many.
    void update(const std::vector<LoadCandidate> &engines,
                const std::map<std::string, ModelDemand> &demand,
                const LoadPlannerOptions &options);
    const std::string &of(const std::string &engine) const;

private:
    std::map<std::string, std::string> m_homes; // model by engine
};

/// The loads to begin now, the most urgent first.
std::vector<PlannedLoad> nextLoads(const std::vector<LoadCandidate> &engines,
                                   const std::map<std::string, ModelDemand> &demand,
                                   const EngineHomes &homes,
                                   const LoadPlannerOptions &options);

} // namespace bergamot::dispatch
