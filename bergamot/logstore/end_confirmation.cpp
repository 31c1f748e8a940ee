#include "bergamot/logstore/end_confirmation.h"

namespace bergamot::logstore
{

namespace
{

constexpr Duration EndReadTimeout = std::chrono::milliseconds(1000);
constexpr std::uint32_t EndReadKilobytes = 1; // only the end of the partition is used

} // namespace

EndConfirmation::EndConfirmation(LogStore &store,
                                 std::string topic,
                                 ReadBarrierOptions options,
                                 std::function<void(const std::string &)> readFailed)
    : m_store(store)
    , m_topic(std::move(topic))
    , m_barrier(options)
    , m_readFailedHandler(std::move(readFailed))
{ }

void EndConfirmation::ask(std::uint64_t nextOffset, TimePoint now, std::function<void(bool)> done)
{
    m_nextOffset = nextOffset;
    m_handlers.emplace(m_barrier.ask(now), std::move(done));
    sendRead(now);
}

void EndConfirmation::advance(std::uint64_t nextOffset, TimePoint now)
{
    m_nextOffset = nextOffset;
    sendRead(now);
    reportOutcomes(now);
}

std::size_t EndConfirmation::waiting() const
{
    return m_handlers.size();
}

void EndConfirmation::sendRead(TimePoint now)
{
    const std::optional<ReadBarrier::ReadId> read = m_barrier.beginRead(now);
    if (!read) {
        return;
    }
    m_store.read({.topic = m_topic, .from = m_nextOffset, .maxKilobytes = EndReadKilobytes, .timeout = EndReadTimeout},
                 [this, id = *read](const ReadOutcome &outcome) {
                     if (outcome.status == ReadStatus::Done) {
                         m_barrier.onEnd(id, outcome.end);
                     } else {
                         m_readFailedHandler(outcome.detail);
                         m_barrier.onReadFailed(id);
                     }
                     reportOutcomes(BootClock::now());
                 });
}

void EndConfirmation::reportOutcomes(TimePoint now)
{
    for (const BarrierOutcome &outcome : m_barrier.takeOutcomes(m_nextOffset, now)) {
        const auto handler = m_handlers.extract(outcome.ticket);
        handler.mapped()(outcome.confirmed);
    }
}

} // namespace bergamot::logstore
