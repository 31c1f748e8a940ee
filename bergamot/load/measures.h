#pragma once

// What a run measures: latency by tenant and class, outcomes, the trainers' idle time and the samples' staleness.
//
//     measures.answered({"team-1", "interactive"}, elapsed);
//     const Distribution latency = distributionOf(measures.latencies().at(key));

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"

namespace bergamot
{

struct LatencyKey
{
    std::string tenant;
    std::string requestClass;

    auto operator<=>(const LatencyKey &) const = default;
};

struct Distribution
{
    std::size_t count = 0;
    double mean = 0;
    double p50 = 0;
    double p99 = 0;
    double max = 0;
};

/// The distribution of `values`, in their unit; all zero without values.
Distribution distributionOf(std::vector<double> values);

struct TrainerMeasures
{
    Duration idle{0}; // no sample left to train on
    Duration total{0};
    std::uint64_t samples = 0;
    std::uint64_t lostDraws = 0; // answers thrown away on purpose
    std::uint64_t failed = 0; // samples the service gave up and told of
    std::vector<double> staleness; // versions behind, one for each sample
    bool finished = false; // every step came whole
};

/// Thread-safe.
class Measures
{
public:
    void answered(const LatencyKey &key, Duration elapsed);
    /// Counts one final outcome of a request: "answered", "not-run", "maybe-ran" or "no-answer".
    void outcome(const LatencyKey &key, const std::string &outcome);
    /// Keeps the first few reasons why requests were not answered.
    void unanswered(const LatencyKey &key, const std::string &reason);
    void trainer(const std::string &trainer, TrainerMeasures measures);
    void configurationSpread(Duration elapsed);

    std::map<LatencyKey, std::vector<double>> latencies() const; // milliseconds
    std::map<LatencyKey, std::map<std::string, std::uint64_t>> outcomes() const;
    std::map<LatencyKey, std::vector<std::string>> unansweredReasons() const;
    std::map<std::string, TrainerMeasures> trainers() const;
    std::vector<double> configurationSpreads() const; // milliseconds until in force on every reachable instance

private:
    mutable std::mutex m_mutex;
    std::map<LatencyKey, std::vector<double>> m_latencies;
    std::map<LatencyKey, std::map<std::string, std::uint64_t>> m_outcomes;
    std::map<LatencyKey, std::vector<std::string>> m_reasons;
    std::map<std::string, TrainerMeasures> m_trainers;
    std::vector<double> m_spreads;
};

} // namespace bergamot
