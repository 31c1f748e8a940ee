#pragma once

// When each peer is sent its next digest, and which of this instance's reports it has.
//
//     if (schedule.isDue(peer, now)) {
//         schedule.sent(peer, poller.tick(), now);
//     }

#include <map>
#include <string>

#include "bergamot/base/clock.h"

namespace bergamot
{

struct DigestScheduleOptions
{
    Duration timeout = std::chrono::seconds(3); // a digest without an outcome is given up
    Duration reportRefresh = std::chrono::seconds(30); // all reports are sent again this often
};

/// Not thread-safe.
class DigestSchedule
{
public:
    explicit DigestSchedule(DigestScheduleOptions options = {});

    bool isDue(const std::string &peer, TimePoint now) const;
    /// The digest went out and carries the reports up to `reportTick`; the next one is due after `period`.
    void sent(const std::string &peer, std::uint64_t reportTick, Duration period, TimePoint now);
    void answered(const std::string &peer);
    void failed(const std::string &peer);
    /// A digest has been without an outcome for `patience`.
    bool isLate(const std::string &peer, Duration patience, TimePoint now) const;
    /// The next digest to `peer` is due at once.
    void hurry(const std::string &peer);
    /// The next digest to every peer is due at once.
    void hurryAll();
    /// The reports that `peer` has; 0 if it must get all again.
    std::uint64_t reportsKnownBy(const std::string &peer, TimePoint now);
    /// Forgets peers that have not been sent anything for `age`.
    void expire(Duration age, TimePoint now);

private:
    struct Entry
    {
        bool inFlight = false;
        TimePoint sentAt{};
        TimePoint next{};
        std::uint64_t reportsSent = 0;
        std::uint64_t reportsKnown = 0;
        TimePoint refreshedAt{};
    };

    DigestScheduleOptions m_options;
    std::map<std::string, Entry> m_entries;
};

} // namespace bergamot
