#pragma once

// Learns how long requests take at an endpoint that has nothing else to do, by what requests that look alike took.
//
//     LearnedWork work;
//     work.record({.route = "tiles", .tenant = "ferries", .bytes = 120}, 21ms);
//     work.of({.route = "tiles", .tenant = "ferries", .bytes = 90}).usual;
//
// Load pattern: requests of one service differ in cost by ten times and more (lookups of callers in 20 ms beside
// scoring calls in 200 ms), while single endpoints are slow or have a queue for seconds. A low quantile of many
// endpoints tells the cost of the request from the trouble of an endpoint; the tail tells how far requests of a kind
// differ.

#include <cstdint>
#include <map>
#include <string>

#include "bergamot/base/clock.h"
#include "bergamot/cost/latency_quantile.h"

namespace bergamot::cost
{

/// What is known of a request before it runs.
struct RequestKind
{
    std::string route;
    std::string tenant; // empty: none
    std::size_t bytes = 0; // of its body
};

struct WorkEstimate
{
    Duration usual{}; // zero: nothing is known
    Duration tail{}; // few requests of the kind take longer
};

struct LearnedWorkOptions
{
    std::size_t maxKinds = 512; // beyond them, the kind that was seen longest ago is forgotten
    std::uint32_t minSamples = 8; // of a tenant and size, before they count instead of those of the whole route
};

/// Not thread-safe.
class LearnedWork
{
public:
    explicit LearnedWork(LearnedWorkOptions options = {});

    /// A request of `kind` took `duration`, corrected by how slow its endpoint said to be.
    void record(const RequestKind &kind, Duration duration);
    /// The estimate for its route, tenant and size; that of its route while they have few samples; that of all routes
    /// for a new one.
    WorkEstimate of(const RequestKind &kind) const;
    /// The usual work of all requests; zero: nothing is known.
    Duration mean() const;
    std::size_t kinds() const
    {
        return m_kinds.size();
    }

private:
    struct Learned
    {
        LatencyQuantile usual;
        LatencyQuantile tail;
        std::uint32_t samples = 0;
        std::uint64_t seen = 0; // number of the newest sample

        Learned();
        void add(Duration duration, std::uint64_t number);
    };

    void forgetOldest();

    LearnedWorkOptions m_options;
    std::map<std::string, Learned> m_kinds; // by route, and by route, tenant and size
    Learned m_all;
    std::uint64_t m_samples = 0;
};

} // namespace bergamot::cost
