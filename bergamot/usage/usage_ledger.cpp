#include "bergamot/usage/usage_ledger.h"

#include <algorithm>

namespace bergamot::usage
{

UsageLedger::UsageLedger(UsageLedgerOptions options, WallTime startedAt)
    : m_options(options)
    , m_startedAt(startedAt)
{ }

void UsageLedger::begin(WallTime now)
{
    end();
    m_activeSince = now;
}

void UsageLedger::end()
{
    m_activeSince.reset();
    m_totals.clear();
    m_recording.clear();
    m_nextSends.clear();
    m_accepted.clear();
}

void UsageLedger::addTotals(const std::string &instance, const WindowCounts &totals)
{
    if (!active()) {
        return;
    }
    for (const auto &[window, counts] : totals) {
        m_totals[window].insert_or_assign(instance, counts);
    }
}

WallTime UsageLedger::recordAt(Window window) const
{
    return endOf(window, m_options.windowLength) + m_options.dueAfter / 2;
}

WallTime UsageLedger::givenUpAt(Window window) const
{
    return endOf(window, m_options.windowLength) + m_options.dueAfter + m_options.windowLength;
}

TenantCounts UsageLedger::totalsOf(Window window) const
{
    TenantCounts sum;
    const auto found = m_totals.find(window);
    if (found != m_totals.end()) {
        for (const auto &[instance, counts] : found->second) {
            for (const auto &[tenant, count] : counts) {
                sum[tenant] += count;
            }
        }
    }
    return sum;
}

std::vector<UsageReport> UsageLedger::takeRecords(const ReportedUsage &reported, WallTime now)
{
    std::vector<UsageReport> due;
    if (!active() || now - *m_activeSince < m_options.settleTime) {
        return due;
    }
    const Window current = windowOf(now, m_options.windowLength);
    const auto reach = static_cast<Window>((m_options.dueAfter + m_options.windowLength) / m_options.windowLength) + 1;
    for (Window window = current - std::min(current, reach); window < current; ++window) {
        const bool known = endOf(window, m_options.windowLength) > m_startedAt || m_totals.contains(window);
        if (known && now >= recordAt(window) && now < givenUpAt(window) && reported.find(window) == nullptr
            && m_recording.insert(window).second) {
            due.push_back({.window = window, .counts = totalsOf(window)});
        }
    }
    std::erase_if(m_totals, [this, now](const auto &entry) {
        return now >= givenUpAt(entry.first);
    });
    return due;
}

void UsageLedger::recordFailed(Window window)
{
    m_recording.erase(window);
}

std::vector<UsageReport> UsageLedger::takeSends(const ReportedUsage &reported, WallTime now)
{
    std::vector<UsageReport> due;
    if (!active()) {
        return due;
    }
    for (const auto &[window, counts] : reported.all()) {
        WallTime &nextSend = m_nextSends[window];
        if (now < givenUpAt(window) && !m_accepted.contains(window) && now >= nextSend) {
            nextSend = now + m_options.answerTimeout + m_options.retryPause;
            due.push_back({.window = window, .counts = counts});
        }
    }
    return due;
}

void UsageLedger::sent(Window window, bool accepted, WallTime now)
{
    if (accepted) {
        m_accepted.insert(window);
    } else {
        m_nextSends[window] = now + m_options.retryPause;
    }
}

} // namespace bergamot::usage
