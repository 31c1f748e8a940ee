#pragma once

// The shared state of a failure domain: endpoints, members, suspects, summaries of the domains and published weights. A
// relay builds it and serves deltas; every other instance keeps a copy that it updates with them.
//
//     FleetTable copy;
//     if (!copy.apply(delta)) {
//         // request the whole state: seen_tick 0
//     }
//     const inner::ViewT view = copy.view();

#include <cstdint>
#include <string>

#include "bergamot/base/ids.h"
#include "bergamot/membership/delta_table.h"
#include "bergamot/protocol/generated/inner_generated.h"

namespace bergamot
{

/// Hash of the fields whose change makes the row part of the next delta. Loads are not among them.
std::uint64_t fingerprintOf(const inner::EndpointT &endpoint);
std::uint64_t fingerprintOf(const inner::MemberStatusT &member);
std::uint64_t fingerprintOf(const inner::SuspectT &suspect);
std::uint64_t fingerprintOf(const inner::DomainSummaryT &summary);
std::uint64_t fingerprintOf(const inner::PublishedVersionT &published);

/// Not thread-safe.
class FleetTable
{
public:
    explicit FleetTable(FailureDomainId domain);

    DeltaTable<inner::EndpointT> endpoints; // by id
    DeltaTable<inner::MemberStatusT> members; // by instance
    DeltaTable<inner::SuspectT> suspects; // by fingerprint
    DeltaTable<inner::DomainSummaryT> domains; // by domain
    DeltaTable<inner::PublishedVersionT> published; // by model

    /// All rows that changed after the tick `since` (0: all rows), and the current loads.
    inner::ViewDeltaT deltaSince(std::uint64_t since, std::uint64_t tick) const;

    /// Applies `delta` to this copy. Returns false if the copy then doesn't have the same row names as the sender: it
    /// is unusable until a delta with the whole state has been applied.
    bool apply(const inner::ViewDeltaT &delta);

    /// Endpoints, members, suspects and published weights. The caller adds the configuration.
    inner::ViewT view() const;

    /// Merges a report of a suspect request into its row. A cleared suspect stays cleared until a report names an
    /// endpoint that its row doesn't have yet.
    void mergeSuspect(const inner::SuspectT &suspect, std::uint64_t tick);
    /// Marks every row as changed at `tick`.
    void markAllChanged(std::uint64_t tick);
    /// Keeps the highest version of each model.
    void mergePublished(const inner::PublishedVersionT &version, std::uint64_t tick);

private:
    std::uint64_t namesHash() const;
    enum class Scope {
        OwnDomain,
        OtherDomains,
    };

    bool isIn(const inner::EndpointT &endpoint, Scope scope) const;
    std::vector<inner::EndpointLoad> loads(Scope scope) const;
    void applyLoads(const std::vector<inner::EndpointLoad> &loads, Scope scope);
    void applyRows(const inner::ViewDeltaT &delta);

    FailureDomainId m_domain;
};

} // namespace bergamot
