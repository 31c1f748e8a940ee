#pragma once

// Decides when the next digest to each peer is due, and tracks which of this instance's endpoint reports each peer has
// acknowledged.
//
//     if (schedule.isDue(peer, now)) {
//         schedule.recordSent(peer, poller.tick(), period, now);
//     }

#include <map>
#include <string>

#include "bergamot/base/clock.h"

namespace bergamot
{

struct DigestScheduleOptions
{
    Duration timeout = std::chrono::seconds(3); // after which a digest without an answer no longer blocks the next one
    Duration reportRefresh = std::chrono::seconds(30); // how often all reports are sent again
};

/// Not thread-safe.
class DigestSchedule
{
public:
    explicit DigestSchedule(DigestScheduleOptions options = {});

    bool isDue(const std::string &peer, TimePoint now) const;
    /// Records that a digest with the reports up to `reportTick` was sent; the next one is due after `period`.
    void recordSent(const std::string &peer, std::uint64_t reportTick, Duration period, TimePoint now);
    /// The peer answered its last digest and so has the reports sent with it.
    void recordAnswer(const std::string &peer);
    /// The last digest to `peer` failed, so it gets all reports again.
    void recordFailure(const std::string &peer);
    /// True if a digest to `peer` has been in flight for at least `limit`.
    bool isLate(const std::string &peer, Duration limit, TimePoint now) const;
    /// Makes the next digest to `peer` due at once, if it is known.
    void makeDue(const std::string &peer);
    /// Makes the next digest to every known peer due at once.
    void makeAllDue();
    /// The report tick up to which `peer` has acknowledged the reports; 0 if it must get all of them again.
    std::uint64_t acknowledgedReportTick(const std::string &peer, TimePoint now);
    /// Removes peers to which nothing has been sent for `age`.
    void expire(Duration age, TimePoint now);

private:
    struct Entry
    {
        bool inFlight = false;
        TimePoint sentAt{};
        TimePoint next{};
        std::uint64_t sentReportTick = 0;
        std::uint64_t lastAcknowledgedTick = 0;
        TimePoint refreshedAt{};
    };

    DigestScheduleOptions m_options;
    std::map<std::string, Entry> m_entries;
};

} // namespace bergamot
