#pragma once

// The requests under which endpoints crashed, built from the records of the batch log. Every instance has the same
// state at the same offset; a snapshot keeps it for instances that start later.
//
//     SuspectIndex suspects;
//     suspects.apply(toCrashReport(record), now);

#include <cstddef>
#include <deque>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/base/crash_report.h"

namespace bergamot::batch
{

struct SuspectIndexOptions
{
    std::size_t maxSuspects = 256; // the ones that were reported first are dropped beyond this
    std::size_t maxCrashes = 16; // of one suspect; further ones are not kept
    Duration retention = std::chrono::minutes(10); // from the last new crash
};

/// Not thread-safe.
class SuspectIndex
{
public:
    explicit SuspectIndex(SuspectIndexOptions options = {})
        : m_options(options)
    { }

    /// Applies the next report of the log; `now` is the time at which it is read.
    void apply(const CrashReport &report, TimePoint now);
    /// In the order of their first report.
    std::vector<CrashReport> suspects() const;
    /// Replaces the state by that of a snapshot.
    void restore(const std::vector<CrashReport> &suspects, TimePoint now);
    void expire(TimePoint now);

private:
    struct Entry
    {
        CrashReport suspect;
        TimePoint changedAt{};
    };

    SuspectIndexOptions m_options;
    std::deque<Entry> m_entries; // in the order of their first report
};

} // namespace bergamot::batch
