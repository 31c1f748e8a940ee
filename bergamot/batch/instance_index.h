#pragma once

// The running instances and whether they reach endpoints, built from the records of the batch log.
//
//     InstanceIndex instances;
//     instances.apply({.name = "node-1", .zone = "a", .address = "10.0.0.1:7720", .reaches = true}, now);
//
// Load pattern: most of a failure domain loses its links to the endpoints at once; its instances need to know which
// others can send requests for them, before they have tried any.

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"

namespace bergamot::batch
{

struct Instance
{
    std::string name;
    std::string zone;
    std::string address; // IP:PORT for other instances
    bool reaches = true; // endpoints
    bool stopping = false; // it takes no requests of others any more

    bool operator==(const Instance &) const = default;
};

struct KnownInstance
{
    Instance instance;
    Duration age{}; // since its newest record
};

struct InstanceIndexOptions
{
    Duration retention = std::chrono::minutes(2); // after the newest record of an instance
};

/// Not thread-safe.
class InstanceIndex
{
public:
    explicit InstanceIndex(InstanceIndexOptions options = {})
        : m_options(options)
    { }

    /// The newest instance at an address replaces earlier ones there, which must have ended.
    void apply(const Instance &instance, TimePoint now);
    void expire(TimePoint now);
    /// The log was not available for this long; nobody could write meanwhile.
    void logRecovered(Duration outage);
    const std::map<std::string, Instance> &instances() const
    {
        return m_instances;
    }
    std::vector<KnownInstance> state(TimePoint now) const;
    void restore(const std::vector<KnownInstance> &instances, TimePoint now);

private:
    InstanceIndexOptions m_options;
    std::map<std::string, Instance> m_instances; // by name
    std::map<std::string, TimePoint> m_seenAt; // by name
};

} // namespace bergamot::batch
