#pragma once

// Decides when an instance claims, renews and releases duties, and whether it may act on a duty now.
//
// The holder and a challenger each measure durations on their own clock; clock values are never compared between
// processes. The holder's lease term starts before it sends the record that becomes the duty's latest one. A challenger
// waits for the lease term, a margin and the longest delivery time of an order, starting when it has read that record.
// Log delays, network delays and process pauses can only lengthen the challenger's wait. The holder therefore stops
// acting before the challenger claims, and the claim is rejected if the holder has renewed its lease in the meantime.
//
//     decision.acquire(duty);
//     decision.observe(fold, now);                        // whenever the fold has advanced
//     if (auto request = decision.takeRequest(fold, now)) {
//         const RecordId id = append(*request);
//         decision.recordSent(id.sequence, now);          // `now` was read before the append
//     }
//     if (decision.holds(fold, duty, now)) { order(); }

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/leases/lease_fold.h"

namespace bergamot
{

struct LeaseOptions
{
    std::string holder; // writer name in the records of this process
    std::uint64_t incarnation = 0; // distinguishes restarts of the same holder
    std::chrono::milliseconds term{10'000}; // duration of a lease
    std::chrono::milliseconds margin{500}; // tolerance for clocks that run at different rates
    std::chrono::milliseconds deliveryTime{2000}; // maximum time from a lease check to the effect of the order
    std::chrono::milliseconds renewInterval{3000}; // from sending one renewal to the next
    std::chrono::milliseconds retryInterval{1000}; // minimum time between requests
};

/// A record to append, of kind `ClaimKind` or `ReleaseKind`; it covers every duty that is due.
struct LeaseRequest
{
    std::string_view kind;
    std::vector<DutyUpdate> updates;
};

/// Lease logic without I/O. Not thread-safe. Every call must pass the same fold.
class LeaseDecision
{
public:
    explicit LeaseDecision(LeaseOptions options);

    /// Claims the duty as soon as it is free and renews its lease until `relinquish`.
    void acquire(const DutyId &duty);
    /// Stops acting on the duty immediately and releases it after `deliveryTime`, when the last order has arrived.
    void relinquish(const DutyId &duty, TimePoint now);
    /// Calls `relinquish` for every acquired duty.
    void relinquishAll(TimePoint now);

    /// Call after the fold has applied records: records when each duty's latest record was first read.
    void observe(const LeaseFold &fold, TimePoint now);
    /// The next record to append, or nullopt if none is due. At most one request is outstanding; the next one follows
    /// when the fold has applied it or its append has failed.
    std::optional<LeaseRequest> takeRequest(const LeaseFold &fold, TimePoint now);
    /// Call after the request returned by `takeRequest` was appended under `sequence`; `sentAt` must have been read
    /// before the append.
    void recordSent(std::uint64_t sequence, TimePoint sentAt);
    /// Call with the result of appending the outstanding request.
    void recordAnswer(const Result<Offset> &offset, TimePoint now);

    /// True while this process may act on the duty. Check it before each action and again when the answer arrives.
    bool holds(const LeaseFold &fold, const DutyId &duty, TimePoint now) const;
    /// The duty's fencing number, or nullopt if `holds` is false.
    std::optional<FencingNumber> fencing(const LeaseFold &fold, const DutyId &duty, TimePoint now) const;
    /// True if no duty in the fold is held by this process.
    bool allReleased(const LeaseFold &fold) const;

private:
    struct Observed
    {
        Offset latest = 0;
        TimePoint at; // when this process first read that record
    };

    bool heldByThisProcess(const LeaseEntry &entry) const;
    bool renewalDue(const LeaseEntry &entry, TimePoint now) const;
    bool claimDue(const DutyId &duty, const LeaseEntry *entry, TimePoint now) const;
    std::vector<DutyUpdate> claimsDue(const LeaseFold &fold, TimePoint now) const;
    std::vector<DutyUpdate> releasesDue(const LeaseFold &fold, TimePoint now) const;
    void removeExpiredSends(TimePoint now);

    const LeaseOptions m_options;
    std::set<DutyId> m_wantedDuties;
    std::map<DutyId, TimePoint> m_releaseDue;
    std::map<DutyId, Observed> m_observed;
    std::map<std::uint64_t, TimePoint> m_sentAt; // send time by sequence number
    std::uint64_t m_lastSequence = 0;
    // Highest sequence number sent before the latest release of each duty. The release may be appended at any time, so
    // a lease based on a record up to this sequence number is no longer valid.
    std::map<DutyId, std::uint64_t> m_releasedUpTo;
    bool m_outstanding = false;
    std::optional<Offset> m_outstandingOffset; // set when the append has succeeded
    TimePoint m_nextRequestAt;
};

} // namespace bergamot
