#include "bergamot/membership/digest_schedule.h"

namespace bergamot
{

DigestSchedule::DigestSchedule(DigestScheduleOptions options)
    : m_options(options)
{ }

bool DigestSchedule::isDue(const std::string &peer, TimePoint now) const
{
    const auto entry = m_entries.find(peer);
    if (entry == m_entries.end()) {
        return true;
    }
    if (entry->second.inFlight && now - entry->second.sentAt < m_options.timeout) {
        return false;
    }
    return now >= entry->second.next;
}

void DigestSchedule::recordSent(const std::string &peer, std::uint64_t reportTick, Duration period, TimePoint now)
{
    Entry &entry = m_entries[peer];
    entry.inFlight = true;
    entry.sentAt = now;
    entry.next = now + period;
    entry.sentReportTick = reportTick;
}

void DigestSchedule::recordAnswer(const std::string &peer)
{
    Entry &entry = m_entries[peer];
    entry.inFlight = false;
    entry.lastAcknowledgedTick = entry.sentReportTick;
}

void DigestSchedule::recordFailure(const std::string &peer)
{
    Entry &entry = m_entries[peer];
    entry.inFlight = false;
    entry.lastAcknowledgedTick = 0;
}

bool DigestSchedule::isLate(const std::string &peer, Duration limit, TimePoint now) const
{
    const auto entry = m_entries.find(peer);
    return entry != m_entries.end() && entry->second.inFlight && now - entry->second.sentAt >= limit;
}

void DigestSchedule::makeDue(const std::string &peer)
{
    if (const auto entry = m_entries.find(peer); entry != m_entries.end()) {
        entry->second.next = TimePoint{};
    }
}

void DigestSchedule::makeAllDue()
{
    for (auto &[peer, entry] : m_entries) {
        entry.next = TimePoint{};
    }
}

std::uint64_t DigestSchedule::acknowledgedReportTick(const std::string &peer, TimePoint now)
{
    Entry &entry = m_entries[peer];
    if (now - entry.refreshedAt >= m_options.reportRefresh) {
        entry.refreshedAt = now;
        entry.lastAcknowledgedTick = 0;
    }
    return entry.lastAcknowledgedTick;
}

void DigestSchedule::expire(Duration age, TimePoint now)
{
    std::erase_if(m_entries, [age, now](const auto &entry) {
        return now - entry.second.sentAt > age;
    });
}

} // namespace bergamot
