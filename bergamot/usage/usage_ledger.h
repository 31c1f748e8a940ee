#pragma once

// Decides when the instance that reports usage puts a window into the log, and when it sends it to the platform.
//
//     UsageLedger ledger({.windowLength = 5s, .dueAfter = 10s}, time);
//     ledger.begin(time);                         // this instance reports from now on
//     ledger.addTotals("node-7", totals);         // all instances tell it what they counted
//     for (const UsageReport &report : ledger.takeRecords(reported, time)) { ... append it to the log ... }
//     for (const UsageReport &report : ledger.takeSends(reported, time)) { ... send it ... }
//
// Load pattern: hundreds of instances tell their totals about once a second; requests that began late in a window are
// known only when their first answer comes. Failures: the reporting instance dies between the record and the call, or
// between the call and its answer. What is sent is in the log first, so that its successor repeats exactly the same, or
// finds the window open and collects it anew: two different reports of one window are impossible.

#include <optional>
#include <set>
#include <vector>

#include "bergamot/usage/usage_report.h"

namespace bergamot::usage
{

struct UsageLedgerOptions
{
    Duration windowLength = std::chrono::seconds(5);
    Duration dueAfter = std::chrono::seconds(10); // the end of a window
    Duration settleTime = std::chrono::milliseconds(1500); // in which all instances tell a new collector their totals
    Duration retryPause = std::chrono::milliseconds(500);
    Duration answerTimeout = std::chrono::milliseconds(1000); // after which a call counts as failed
};

/// Not thread-safe.
class UsageLedger
{
public:
    /// `startedAt`: of this process. Of windows before it nothing is reported, unless an instance tells totals of them.
    UsageLedger(UsageLedgerOptions options, WallTime startedAt);

    /// This instance reports from now on.
    void begin(WallTime now);
    void end();
    bool active() const
    {
        return m_activeSince.has_value();
    }
    /// Replaces what `instance` has told of these windows. Ignored while this instance does not report.
    void addTotals(const std::string &instance, const WindowCounts &totals);
    /// Removes and returns the reports to append to the log now.
    std::vector<UsageReport> takeRecords(const ReportedUsage &reported, WallTime now);
    /// The report was not appended; it is returned again, with the counts of then.
    void recordFailed(Window window);
    /// The reports to send now: they are in the log, and the platform has not acknowledged them to this instance.
    std::vector<UsageReport> takeSends(const ReportedUsage &reported, WallTime now);
    /// The outcome of a call. A report is sent again until it is accepted or nobody waits for it any more.
    void sent(Window window, bool accepted, WallTime now);

private:
    /// When a window is put into the log: late enough that its requests are known, and with half of the time left for
    /// the call, its repetitions and a hand-over.
    WallTime recordAt(Window window) const;
    WallTime givenUpAt(Window window) const;
    TenantCounts totalsOf(Window window) const;

    UsageLedgerOptions m_options;
    WallTime m_startedAt{};
    std::optional<WallTime> m_activeSince;
    std::map<Window, std::map<std::string, TenantCounts>> m_totals; // by instance
    std::set<Window> m_recording; // the append is under way
    std::map<Window, WallTime> m_nextSends;
    std::set<Window> m_accepted;
};

} // namespace bergamot::usage
