#include "bergamot/node/usage_reporter.h"

#include "bergamot/net/status.h"
#include "bergamot/usage/usage_messages.h"

namespace bergamot::node
{

using namespace net::status;

namespace
{

constexpr Duration SampleInterval = std::chrono::seconds(1);
constexpr std::size_t MaxAnswerBytes = 4096;

usage::WallTime systemTime()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

std::uint64_t sum(const usage::TenantCounts &counts)
{
    std::uint64_t total = 0;
    for (const auto &[tenant, count] : counts) {
        total += count;
    }
    return total;
}

std::string outcomeOf(const net::WholeAnswer &answer)
{
    return answer.end.failure == net::CallFailure::None ? "status " + std::to_string(answer.status) : answer.end.detail;
}

} // namespace

UsageReporter::UsageReporter(net::HttpClient &client,
                             BatchLog &log,
                             const PlatformCodec &codec,
                             EventLog &eventLog,
                             UsageReporterOptions options)
    : m_client(client)
    , m_log(log)
    , m_codec(codec)
    , m_eventLog(eventLog)
    , m_options(std::move(options))
    , m_counter({.windowLength = m_options.windowLength})
    , m_ledger({.windowLength = m_options.windowLength, .dueAfter = m_options.dueAfter}, systemTime())
    , m_startedAt(BootClock::now())
    , m_sampledAt(m_startedAt)
{
    m_time.sample(m_startedAt, systemTime());
}

bool UsageReporter::reports() const
{
    return m_options.platform.has_value();
}

void UsageReporter::record(const std::string &tenant, TimePoint begunAt)
{
    if (reports()) {
        m_counter.record(tenant, m_time.at(begunAt));
    }
}

void UsageReporter::setOwner(bool owns)
{
    if (!reports()) {
        return;
    }
    owns ? m_ledger.begin(m_time.at(BootClock::now())) : m_ledger.end();
}

net::Response UsageReporter::answer(const std::string &body)
{
    if (!m_ledger.active()) {
        return {.status = Unavailable, .body = "another instance reports usage"};
    }
    const Result<usage::ToldTotals> told = usage::parseTotals(body);
    if (!told) {
        m_eventLog.write(EventKind::State, "usage-totals-unreadable", {{"reason", told.error().message}});
        return {.status = BadRequest, .body = told.error().message};
    }
    m_ledger.addTotals(told->instance, told->windows);
    return {.status = Ok};
}

void UsageReporter::stop()
{
    m_stopping = true;
}

bool UsageReporter::told() const
{
    return !reports() || m_counter.untold(m_log.ownership().owner()).empty();
}

void UsageReporter::tick(TimePoint now)
{
    if (!reports()) {
        return;
    }
    if (now - m_sampledAt >= SampleInterval) {
        m_sampledAt = now;
        m_time.sample(now, systemTime());
    }
    if (now - m_toldAt >= (m_stopping ? m_options.lastTellInterval : m_options.tellInterval)) {
        tellOwner();
    }
    if (m_ledger.active()) {
        appendRecords();
        sendReports(now);
    }
}

void UsageReporter::tellOwner()
{
    const std::string &owner = m_log.ownership().owner();
    const usage::WindowCounts totals = m_counter.untold(owner);
    if (totals.empty() || owner.empty() || m_telling) {
        return;
    }
    m_toldAt = BootClock::now();
    if (m_ledger.active()) {
        m_ledger.addTotals(m_options.instance, totals);
        m_counter.told(owner, totals);
        return;
    }
    const Result<Address> address = parseAddress(m_log.ownerAddress());
    if (!address) {
        return; // the owner cannot be told until its address is known; the totals are kept
    }
    m_telling = true;
    net::ClientRequest request{
        .to = *address,
        .method = "POST",
        .target = std::string(usage::TotalsPath),
        .body = usage::totalsMessage({.instance = m_options.instance, .windows = totals}),
        .connectTimeout = m_options.tellTimeout,
        .headTimeout = m_options.tellTimeout,
        .bodyGapTimeout = m_options.tellTimeout,
        .answerTimeout = m_options.tellTimeout,
        .maxBodyBytes = MaxAnswerBytes,
    };
    request.headers.add("Host", m_log.ownerAddress());
    net::startForWholeAnswer(
        m_client, std::move(request), [this, owner, totals, to = *address](const net::WholeAnswer &answer) {
            if (answer.end.failure != net::CallFailure::None) {
                m_client.dropIdle(to); // the connection may have gone silent
            }
            handleTold(owner, totals, answer);
        });
}

void UsageReporter::handleTold(const std::string &owner,
                               const usage::WindowCounts &totals,
                               const net::WholeAnswer &answer)
{
    m_telling = false;
    if (answer.end.failure == net::CallFailure::None && answer.status == Ok) {
        m_counter.told(owner, totals);
        return;
    }
    m_eventLog.write(EventKind::State, "usage-not-told", {{"owner", owner}, {"reason", outcomeOf(answer)}});
}

void UsageReporter::appendRecords()
{
    const usage::WallTime time = m_time.at(BootClock::now());
    for (const usage::UsageReport &report : m_ledger.takeRecords(m_log.reportedUsage(), time)) {
        m_eventLog.write(EventKind::State,
                         "usage-recorded",
                         {{"window", std::to_string(report.window)},
                          {"tenants", std::to_string(report.counts.size())},
                          {"requests", std::to_string(sum(report.counts))}});
        m_log.writer().write(batch::usageRecord(report), [this, window = report.window](bool written) {
            if (!written) {
                m_eventLog.write(
                    EventKind::State, "usage-not-recorded", {{"window", std::to_string(window)}, {"reason", "fenced"}});
                m_ledger.recordFailed(window);
            }
        });
    }
}

bool UsageReporter::mayCall(TimePoint now) const
{
    // The process before this one on the machine may have called until this one started.
    const bool sameOwnership = m_calledEpoch == m_log.ownership().epoch();
    const TimePoint last = m_calledEpoch == 0 ? m_startedAt : m_calledAt;
    return m_log.ownershipIsCertain(now) && (sameOwnership || now - last >= m_options.holderLease);
}

void UsageReporter::sendReports(TimePoint now)
{
    if (!mayCall(now)) {
        return;
    }
    for (const usage::UsageReport &report : m_ledger.takeSends(m_log.reportedUsage(), m_time.at(now))) {
        m_calledAt = now;
        m_calledEpoch = m_log.ownership().epoch();
        send(report);
    }
}

void UsageReporter::send(const usage::UsageReport &report)
{
    const net::Request call = m_codec.usageRequest(
        {.holder = m_options.instance, .fencingToken = m_log.ownership().epoch(), .report = report});
    const Duration timeout = usage::UsageLedgerOptions().answerTimeout;
    net::ClientRequest request{.to = *m_options.platform,
                               .method = call.method,
                               .target = call.target,
                               .headers = call.headers,
                               .body = call.body,
                               .newConnection = true, // a kept one may have gone silent between two windows
                               .connectTimeout = timeout,
                               .headTimeout = timeout,
                               .bodyGapTimeout = timeout,
                               .answerTimeout = timeout,
                               .maxBodyBytes = MaxAnswerBytes};
    request.headers.set("Host", toString(*m_options.platform));
    net::startForWholeAnswer(
        m_client, std::move(request), [this, window = report.window](const net::WholeAnswer &answer) {
            handleSent(window, answer);
        });
}

void UsageReporter::handleSent(usage::Window window, const net::WholeAnswer &answer)
{
    const bool accepted = answer.end.failure == net::CallFailure::None && answer.status == Ok;
    m_eventLog.write(
        EventKind::State,
        accepted ? "usage-reported" : "usage-report-failed",
        {{"window", std::to_string(window)}, {"epoch", std::to_string(m_calledEpoch)}, {"outcome", outcomeOf(answer)}});
    m_acceptedReports += accepted ? 1 : 0;
    m_ledger.sent(window, accepted, m_time.at(BootClock::now()));
}

std::uint64_t UsageReporter::acceptedReports() const
{
    return m_acceptedReports;
}

} // namespace bergamot::node
