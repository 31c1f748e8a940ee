#include "bergamot/membership/endpoint_poller.h"

#include <algorithm>
#include <limits>
#include <set>

#include "bergamot/membership/view_builder.h"

namespace bergamot
{

namespace
{

bool sameReport(const inner::EndpointReportT &left, const inner::EndpointReportT &right)
{
    return left.reachable == right.reachable && left.leaving == right.leaving && left.version == right.version
        && left.loading == right.loading && left.slots == right.slots;
}

template<typename Small, typename Number>
Small saturate(Number number)
{
    return static_cast<Small>(std::clamp<std::int64_t>(number, 0, std::numeric_limits<Small>::max()));
}

} // namespace

EndpointPoller::EndpointPoller(EndpointPollerOptions options)
    : m_options(options)
{ }

void EndpointPoller::assign(const std::vector<EndpointPoll> &endpoints)
{
    std::set<EndpointId> names;
    for (const EndpointPoll &endpoint : endpoints) {
        names.insert(endpoint.endpoint);
        m_entries[endpoint.endpoint].poll = endpoint;
    }
    std::erase_if(m_entries, [&names](const auto &entry) {
        return !names.contains(entry.first);
    });
}

std::vector<EndpointPoll> EndpointPoller::due(TimePoint now)
{
    std::vector<EndpointPoll> polls;
    for (auto &[id, entry] : m_entries) {
        if (entry.inFlight && now - entry.sentAt >= m_options.timeout) {
            polled(id, failure(ErrorCode::DeadlineExceeded, "no answer to the poll before its timeout"), now);
        }
        if (entry.inFlight || now < entry.next) {
            continue;
        }
        entry.inFlight = true;
        entry.sentAt = now;
        entry.next = now + m_options.period;
        polls.push_back(entry.poll);
    }
    return polls;
}

inner::EndpointReportT EndpointPoller::makeReport(Entry &entry, const Result<EngineState> &state) const
{
    inner::EndpointReportT report = entry.report;
    report.endpoint = entry.poll.endpoint.value();
    if (state) {
        entry.timeouts = 0;
        entry.state = *state;
        report.reachable = true;
        report.leaving = state->leaving;
        report.version = state->version;
        report.loading = state->loading;
        report.slots = state->slots;
        return report;
    }
    const bool isRefused = state.error().code == ErrorCode::Unavailable;
    entry.timeouts = isRefused ? m_options.toleratedTimeouts + 1 : entry.timeouts + 1;
    report.reachable = entry.timeouts <= m_options.toleratedTimeouts;
    return report;
}

bool EndpointPoller::polled(const EndpointId &endpoint, const Result<EngineState> &state, TimePoint now)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end() || !found->second.inFlight) {
        return false;
    }
    Entry &entry = found->second;
    entry.inFlight = false;
    entry.next = std::max(entry.next, now);
    const inner::EndpointReportT report = makeReport(entry, state);
    const bool isUrgent = entry.isKnown
        ? report.reachable != entry.report.reachable || report.leaving != entry.report.leaving
        : report.leaving || !report.reachable;
    if (!entry.isKnown || !sameReport(report, entry.report)) {
        entry.changedAt = ++m_tick;
    }
    entry.isKnown = true;
    entry.report = report;
    return isUrgent;
}

std::vector<inner::EndpointReportT> EndpointPoller::reports() const
{
    return reportsSince(0);
}

std::vector<inner::EndpointReportT> EndpointPoller::reportsSince(std::uint64_t tick) const
{
    std::vector<inner::EndpointReportT> reports;
    for (const auto &[id, entry] : m_entries) {
        if (entry.isKnown && entry.changedAt > tick) {
            reports.push_back(entry.report);
        }
    }
    return reports;
}

std::uint64_t EndpointPoller::tick() const
{
    return m_tick;
}

std::vector<inner::PolledLoad> EndpointPoller::loads() const
{
    std::vector<inner::PolledLoad> loads;
    for (const auto &[id, entry] : m_entries) {
        if (entry.isKnown && entry.report.reachable && entry.report.slots > 0) {
            loads.emplace_back(endpointHash(id.value()),
                               saturate<std::uint16_t>(entry.state.running),
                               saturate<std::uint8_t>(entry.state.waiting),
                               saturate<std::uint8_t>(entry.state.loadAge / LoadAgeUnit));
        }
    }
    return loads;
}

} // namespace bergamot
