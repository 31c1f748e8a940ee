#include "bergamot/evidence/evidence_chain.h"

#include "bergamot/evidence/chain_hash.h"

namespace bergamot
{

using web::json::value;

EvidenceChain::EvidenceChain(EvidenceChainOptions options, EventLoop &loop, Clock &clock, Appender &appender)
    : m_options(std::move(options))
    , m_loop(loop)
    , m_clock(clock)
    , m_appender(appender)
    , m_hashBeforePending(chainStart(m_options.instance, m_options.incarnation))
    , m_nextFlush(clock.now() + m_options.flushPeriod)
{ }

EvidenceChain::~EvidenceChain()
{
    *m_alive = false;
}

void EvidenceChain::record(std::string kind, value fields)
{
    if (m_pending.size() >= m_options.maxPending) {
        ++m_lost;
        ++m_lostInAll;
        return;
    }
    admitLostRecords();
    chain(kind, std::move(fields));
}

EvidencePosition EvidenceChain::nextPosition() const
{
    const std::uint64_t gapRecord = m_lost > 0 ? 1 : 0;
    return {.instance = m_options.instance,
            .incarnation = m_options.incarnation,
            .sequence = m_firstPending + m_pending.size() + gapRecord};
}

void EvidenceChain::chain(const std::string &kind, value fields)
{
    fields["sequence"] = value::number(static_cast<std::uint64_t>(m_firstPending + m_pending.size()));
    fields["kind"] = value::string(kind);
    fields["at_ms"] = value::number(static_cast<std::int64_t>(m_clock.wallTime().time_since_epoch().count()));
    m_pending.push_back(std::move(fields));
}

void EvidenceChain::admitLostRecords()
{
    if (m_lost == 0) {
        return;
    }
    value fields = value::object();
    fields["count"] = value::number(m_lost);
    m_lost = 0;
    chain("evidence-lost", std::move(fields));
}

void EvidenceChain::tick()
{
    const bool due = m_clock.now() >= m_nextFlush || m_pending.size() >= m_options.maxBatchRecords;
    if (due && !m_inFlight) {
        flush();
    }
}

void EvidenceChain::flush()
{
    m_nextFlush = m_clock.now() + m_options.flushPeriod;
    if (m_pending.empty()) {
        return;
    }
    m_inFlight = true;
    const std::size_t count = std::min(m_pending.size(), m_options.maxBatchRecords);
    m_appender.append(EvidenceStream,
                      EvidenceBatchKind,
                      batchText(count),
                      [this, count, poster = m_loop.poster(), alive = m_alive](const Result<Offset> &outcome) {
                          poster.post([this, count, alive, outcome] {
                              if (*alive) {
                                  flushed(count, outcome);
                              }
                          });
                      });
}

std::string EvidenceChain::batchText(std::size_t count) const
{
    value records = value::array(count);
    std::string hash = m_hashBeforePending;
    for (std::size_t i = 0; i < count; ++i) {
        hash = chainHash(hash, m_pending[i]);
        records[i] = m_pending[i];
    }
    value batch = value::object();
    batch["instance"] = value::string(m_options.instance);
    batch["incarnation"] = value::number(m_options.incarnation);
    batch["first"] = value::number(m_firstPending);
    batch["records"] = std::move(records);
    batch["previous_hash"] = value::string(m_hashBeforePending);
    batch["hash"] = value::string(hash);
    return batch.serialize();
}

void EvidenceChain::flushed(std::size_t count, const Result<Offset> &outcome)
{
    m_inFlight = false;
    if (!outcome) {
        m_log.warning("Could not append " + std::to_string(count) + " records: " + outcome.error().message + ".");
        m_nextFlush = m_clock.now() + m_options.retryDelay;
        return;
    }
    for (std::size_t i = 0; i < count; ++i) {
        m_hashBeforePending = chainHash(m_hashBeforePending, m_pending.front());
        m_pending.pop_front();
    }
    m_firstPending += count;
    if (!m_pending.empty()) {
        m_nextFlush = std::min(m_nextFlush, m_clock.now() + m_options.flushPeriod);
    }
}

} // namespace bergamot
