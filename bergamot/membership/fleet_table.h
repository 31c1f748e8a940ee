#pragma once

// What the instances of a failure domain know together: endpoints, members, suspects, summaries of the domains and
// published weights. A relay builds it and hands out deltas; every other instance keeps a copy that it brings up to
// date by them.
//
//     FleetTable copy;
//     if (!copy.apply(delta)) {
//         // ask again with seen_tick 0
//     }
//     const inner::ViewT view = copy.view();

#include <cstdint>
#include <string>

#include "bergamot/base/ids.h"
#include "bergamot/membership/delta_table.h"
#include "bergamot/protocol/generated/inner_generated.h"

namespace bergamot
{

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

    /// Everything that changed after `since` (0: everything), and the present loads.
    inner::ViewDeltaT deltaSince(std::uint64_t since, std::uint64_t tick) const;

    /// Brings this copy up to date. False if it then does not have the sender's names: the copy is unusable until a
    /// whole delta has been applied.
    bool apply(const inner::ViewDeltaT &delta);

    /// Endpoints, members, suspects and published weights; the configuration is left to the caller.
    inner::ViewT view() const;

    /// Merges what is known of a suspect. A clearance holds until another endpoint dies under it.
    void mergeSuspect(const inner::SuspectT &suspect, std::uint64_t tick);
    /// Stamps every row as changed at `tick`.
    void restamp(std::uint64_t tick);
    /// Keeps the highest version of each model.
    void mergePublished(const inner::PublishedVersionT &version, std::uint64_t tick);

private:
    std::uint64_t namesHash() const;
    enum class Where {
        Here, // in this domain
        Elsewhere,
    };

    bool isAt(const inner::EndpointT &endpoint, Where where) const;
    std::vector<inner::EndpointLoad> loads(Where where) const;
    void applyLoads(const std::vector<inner::EndpointLoad> &loads, Where where);
    void applyRows(const inner::ViewDeltaT &delta);

    FailureDomainId m_domain;
};

} // namespace bergamot
