#pragma once

// The registered endpoints, built from the entries that they maintain in the store of the platform. Pure: entries and
// the time come in, the usable endpoints come out; it does no I/O.
//
//     EndpointDirectory directory;
//     directory.put(endpoint);
//     directory.remove("i-1", now);
//     directory.expire(confirmedAt); // true if the set of endpoints changed
//
// Load pattern: the store recovers from an outage during which every entry expired. Running endpoints register again
// within two seconds, so an endpoint whose entry disappears right after an outage stays in use for that time;
// otherwise the whole fleet would be lost at once.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bergamot/base/address.h"
#include "bergamot/base/clock.h"

namespace bergamot::fleet
{

/// The weight version of a model.
struct ModelVersion
{
    std::string model;
    std::uint64_t version = 0;

    bool operator==(const ModelVersion &) const = default;
};

/// An endpoint as its entry describes it.
struct Endpoint
{
    std::string id;
    std::string service;
    Address address;
    std::string zone;
    std::uint32_t slots = 0; // requests that it runs at once; 0: not known
    bool draining = false;
    Duration coldStartRemaining{}; // time until its cold start ends
    std::uint64_t incarnation = 0; // changes with each start, also if the id stays the same
    std::vector<ModelVersion> models; // for engines only

    bool operator==(const Endpoint &) const = default;
};

struct EndpointDirectoryOptions
{
    // Endpoints register again within about 2 s of the recovery of the store.
    Duration reregistrationTime = std::chrono::milliseconds(2300);
};

/// Not thread-safe.
class EndpointDirectory
{
public:
    explicit EndpointDirectory(EndpointDirectoryOptions options = {})
        : m_options(options)
    { }

    // The functions that return a bool return whether the set of endpoints changed.

    /// Adds or replaces an endpoint.
    bool put(Endpoint endpoint);
    /// The entry of the endpoint was removed or has expired.
    bool remove(const std::string &id, TimePoint now);
    /// Replaces all endpoints by those of a complete read of the store.
    bool replace(std::map<std::string, Endpoint> endpoints, TimePoint now);
    /// The store is available again after an outage.
    void storeRecovered(TimePoint now);
    /// Drops endpoints that did not register again in time after an outage. The entries that were put and removed so
    /// far are those that were in the store at `confirmedAt`.
    bool expire(TimePoint confirmedAt);

    const std::map<std::string, Endpoint> &endpoints() const
    {
        return m_endpoints;
    }

private:
    EndpointDirectoryOptions m_options;
    std::map<std::string, Endpoint> m_endpoints;
    std::map<std::string, TimePoint> m_missingUntil; // when to drop endpoints whose entry disappeared
    TimePoint m_keepMissingUntil{}; // end of the time to register again after an outage
};

} // namespace bergamot::fleet
