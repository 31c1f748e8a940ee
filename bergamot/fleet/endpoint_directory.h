#pragma once

// The endpoints that are listed, folded from the entries that they keep in the platform's store. Pure: entries and the
// time come in, the usable endpoints come out.
//
//     EndpointDirectory directory;
//     directory.put(endpoint, now);
//     directory.remove("i-1", now);
//     directory.expire(now); // true if the list changed
//
// Load pattern: the store comes back after an outage in which every entry lapsed. Living endpoints list themselves
// again within two seconds, so an entry that vanished around an outage is used until then instead of at once losing
// the whole fleet.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bergamot/base/address.h"
#include "bergamot/base/clock.h"

namespace bergamot::fleet
{

struct ModelVersion
{
    std::string model;
    std::uint64_t version = 0;

    bool operator==(const ModelVersion &) const = default;
};

struct Endpoint
{
    std::string id;
    std::string service;
    Address address;
    std::string zone;
    std::uint32_t slots = 0; // requests that it runs at once; 0: not known
    bool draining = false;
    Duration coldRemaining{};
    std::uint64_t incarnation = 0; // changes with each start, also under the same id
    std::vector<ModelVersion> models; // of an engine

    bool operator==(const Endpoint &) const = default;
};

struct EndpointDirectoryOptions
{
    Duration relistTime = std::chrono::milliseconds(2300); // entries are back within about 2 s of the store's return
};

class EndpointDirectory
{
public:
    explicit EndpointDirectory(EndpointDirectoryOptions options = {})
        : m_options(options)
    { }

    /// True if the list changed.
    bool put(Endpoint endpoint);
    bool remove(const std::string &id, TimePoint now);
    /// Replaces the list by a full read of the store.
    bool replace(std::map<std::string, Endpoint> listed, TimePoint now);
    /// The store answers again after it had not for some time.
    void storeReturned(TimePoint now);
    /// Drops entries whose time to come back has passed.
    bool expire(TimePoint now);

    const std::map<std::string, Endpoint> &listed() const
    {
        return m_listed;
    }

private:
    EndpointDirectoryOptions m_options;
    std::map<std::string, Endpoint> m_listed;
    std::map<std::string, TimePoint> m_missing; // lapsed around an outage: when to drop them
    TimePoint m_forgiveUntil{};
};

} // namespace bergamot::fleet
