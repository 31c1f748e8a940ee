#pragma once

// Decides when an instance claims, renews and hands back duties, and whether it may act on one now.
//
// Safety rests on two clocks that never compare their values. The holder counts its lease from before it SENT the
// record that is the duty's latest one. A challenger waits the whole lease, a margin and the longest delivery time of
// an order, counted from when it READ that record. Whatever the log, the network or a pause does in between, the holder
// has stopped before the challenger claims, and the challenger's claim fails if the holder has renewed meanwhile.
//
//     decision.want(duty);
//     decision.observe(fold, now);                        // whenever the fold has advanced
//     if (auto request = decision.takeRequest(fold, now)) {
//         const RecordId id = append(*request);
//         decision.sent(id.sequence, now);                // `now` from before the append
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
    std::string holder; // the writer of this process's records
    std::uint64_t incarnation = 0; // of this process
    std::chrono::milliseconds term{10'000};
    std::chrono::milliseconds margin{500}; // for clocks that run at different rates
    std::chrono::milliseconds deliveryTime{2000}; // longest from a check of the lease to an order's effect
    std::chrono::milliseconds renewInterval{3000};
    std::chrono::milliseconds retryInterval{1000}; // between requests that did not succeed
};

/// A record to append: kind `ClaimKind` or `ReleaseKind`, all duties in one.
struct LeaseRequest
{
    std::string_view kind;
    std::vector<DutyStep> steps;
};

/// A pure decision; not thread-safe. All calls pass the same fold.
class LeaseDecision
{
public:
    explicit LeaseDecision(LeaseOptions options);

    void want(const DutyId &duty);
    /// Stops acting on the duty at once and releases it after the longest delivery time.
    void handBack(const DutyId &duty, TimePoint now);
    void handBackAll(TimePoint now);

    /// The fold has advanced.
    void observe(const LeaseFold &fold, TimePoint now);
    /// At most one request is outstanding; the next comes after it is settled.
    std::optional<LeaseRequest> takeRequest(const LeaseFold &fold, TimePoint now);
    /// The request just taken goes out under `sequence`; `sentAt` is from before it was handed to the appender.
    void sent(std::uint64_t sequence, TimePoint sentAt);
    /// The append of the outstanding request ended.
    void answered(const Result<Offset> &offset, TimePoint now);

    /// True while this process may act on the duty: check it before each action and again when its answer returns.
    bool holds(const LeaseFold &fold, const DutyId &duty, TimePoint now) const;
    /// The duty's fencing number, if `holds`.
    std::optional<FencingNumber> fencing(const LeaseFold &fold, const DutyId &duty, TimePoint now) const;
    /// True if the fold shows no duty as this process's.
    bool allHandedBack(const LeaseFold &fold) const;

private:
    struct Observed
    {
        Offset latest = 0;
        TimePoint at;
    };

    bool mine(const LeaseEntry &entry) const;
    bool renewalDue(const LeaseEntry &entry, TimePoint now) const;
    bool claimDue(const DutyId &duty, const LeaseEntry *entry, TimePoint now) const;
    std::vector<DutyStep> dueClaims(const LeaseFold &fold, TimePoint now) const;
    std::vector<DutyStep> dueReleases(const LeaseFold &fold, TimePoint now) const;
    void forgetOldSends(TimePoint now);

    const LeaseOptions m_options;
    std::set<DutyId> m_wanted;
    std::map<DutyId, TimePoint> m_releaseAt;
    std::map<DutyId, Observed> m_observed;
    std::map<std::uint64_t, TimePoint> m_sentAt; // by sequence
    std::uint64_t m_lastSequence = 0;
    // A release that was sent may land at any time, so records up to here give no right to act any more.
    std::map<DutyId, std::uint64_t> m_releasedUpTo;
    bool m_outstanding = false;
    std::optional<Offset> m_landed; // of the outstanding request
    TimePoint m_notBefore;
};

} // namespace bergamot
