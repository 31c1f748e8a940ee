#pragma once

// The registered endpoints, built from the entries that they maintain in the store of the platform. Pure: entries and
// the time come in, the usable endpoints come out; it does no I/O.
//
//     EndpointDirectory directory;
//     directory.put({.endpoint = endpoint, .sequence = 7});
//     directory.markLeaving("i-1", incarnation, now); // an answer of the endpoint said so
//     directory.remove("i-1", now);
//     for (const std::string &id : directory.expire(confirmedAt)) { ... } // was not registered again
//
// Load pattern: the store recovers from an outage during which every entry expired. Running endpoints register again
// within two seconds, so endpoints whose entries disappear right after an outage stay in use for that time; otherwise
// the whole fleet would be lost at once.
//
// Load pattern: only this instance loses the store, and meanwhile an endpoint leaves and removes its entry. After the
// return, a service that has kept at least half of its entries did not lose the others by an outage of the store.
//
// Load pattern: an endpoint says in an answer that it is leaving while its entry is ready and keeps being written, or
// while the store is unreachable and the entry stays as it is. Nothing that the store says of this incarnation brings
// it back.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bergamot/base/address.h"
#include "bergamot/base/clock.h"
#include "bergamot/fleet/entry_order.h"

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
    std::string softwareVersion; // what different versions generate must not be joined; empty: not known
    bool saidLeaving = false; // an answer of this incarnation said so

    /// Whether the endpoint takes no new requests.
    bool leaving() const
    {
        return draining || saidLeaving;
    }

    bool operator==(const Endpoint &) const = default;
};

/// An entry as it was read from the store.
struct EndpointEntry
{
    Endpoint endpoint;
    std::optional<std::uint64_t> sequence; // number of the heartbeat that wrote it, counted from the start
};

/// What an entry, or its removal, changes.
enum class EntryOutcome {
    Unchanged,
    Listed, // a new endpoint
    Restarted, // another incarnation of a known endpoint
    Draining, // takes no new requests from now on
    ReadyAgain, // the same incarnation takes requests again
    Updated, // anything else
    Outdated, // the entry is older than what is known, and is ignored
    Removed,
    Kept, // the entry is gone, but the endpoint stays in use, since it may register again
};

/// Whether the set of endpoints, or what is known of one, has changed.
constexpr bool changesEndpoints(EntryOutcome outcome)
{
    return outcome != EntryOutcome::Unchanged && outcome != EntryOutcome::Outdated && outcome != EntryOutcome::Kept;
}

/// An endpoint whose entry has changed.
struct EntryChange
{
    std::string id;
    EntryOutcome outcome = EntryOutcome::Unchanged;
};

struct EndpointDirectoryOptions
{
    // Endpoints register again within about 2 s of the recovery of the store.
    Duration reregistrationTime = std::chrono::milliseconds(2300);
    // How long it is kept after the entry of an endpoint disappeared that the endpoint is leaving, and which entry was
    // its newest. A leaving endpoint serves for seconds; its entry may reappear after an outage of the store.
    Duration leavingMemory = std::chrono::minutes(30);
};

/// Not thread-safe.
class EndpointDirectory
{
public:
    explicit EndpointDirectory(EndpointDirectoryOptions options = {})
        : m_options(options)
    { }

    /// Adds or replaces an endpoint, unless the entry is older than what is known of it.
    EntryOutcome put(EndpointEntry entry);
    /// The entry of the endpoint was removed or has expired.
    EntryOutcome remove(const std::string &id, TimePoint now);
    /// Replaces all endpoints by those of a complete read of the store, but for those in `except`, of which newer
    /// entries or removals are known. Returns the changes.
    std::vector<EntryChange>
    replace(std::map<std::string, EndpointEntry> entries, const std::set<std::string> &except, TimePoint now);
    /// An answer of this incarnation of the endpoint said that it is leaving; 0: not known. This holds until another
    /// incarnation registers, whatever the entries of this one say. Returns false if nothing changes: it is known
    /// already, another incarnation is registered by now, or neither entry nor incarnation is known.
    bool markLeaving(const std::string &id, std::uint64_t incarnation, TimePoint now);
    /// The store is available again after an outage.
    void storeRecovered(TimePoint now);
    /// The entries that were put and removed so far are all that are in the store. Drops the endpoints whose entries
    /// are gone although their service had kept at least half of its entries then, and returns their ids.
    std::vector<std::string> confirmRemovals(TimePoint now);
    /// Drops endpoints that did not register again in time after an outage, and returns their ids. The entries that
    /// were put and removed so far are those that were in the store at `confirmedAt`.
    std::vector<std::string> expire(TimePoint confirmedAt);

    const std::map<std::string, Endpoint> &endpoints() const
    {
        return m_endpoints;
    }

private:
    /// An endpoint in use whose entry has disappeared.
    struct Missing
    {
        TimePoint until{}; // when to drop it
        bool lostWithOthers = false; // its service lost most of its entries
    };

    struct LeavingMark
    {
        std::uint64_t incarnation = 0; // 0: not known
        std::optional<TimePoint> unregisteredSince;
    };

    /// Whether the incarnation said that it is leaving; drops the mark of another one.
    bool saidLeaving(const std::string &id, std::uint64_t incarnation);
    void entryGone(const std::string &id, TimePoint now);
    /// Drops the endpoints whose entries are gone and for which `drops` returns true, and returns their ids.
    std::vector<std::string> dropMissing(const std::function<bool(const Missing &missing)> &drops, TimePoint now);

    EndpointDirectoryOptions m_options;
    std::map<std::string, Endpoint> m_endpoints;
    std::map<std::string, Missing> m_missing;
    std::map<std::string, LeavingMark> m_leaving;
    std::map<std::string, EntryOrder> m_order; // by id, also of endpoints that were dropped
    TimePoint m_keepMissingUntil{}; // end of the time to register again after an outage
};

} // namespace bergamot::fleet
