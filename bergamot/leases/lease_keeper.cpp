#include "bergamot/leases/lease_keeper.h"

namespace bergamot
{

LeaseKeeper::LeaseKeeper(LeaseOptions options, EventLoop &loop, Clock &clock, Appender &appender, const LeaseFold &fold)
    : m_loop(loop)
    , m_clock(clock)
    , m_appender(appender)
    , m_fold(fold)
    , m_decision(std::move(options))
    , m_self(std::make_shared<LeaseKeeper *>(this))
{ }

LeaseKeeper::~LeaseKeeper()
{
    *m_self = nullptr;
}

void LeaseKeeper::acquire(const DutyId &duty)
{
    m_decision.acquire(duty);
}

void LeaseKeeper::relinquish(const DutyId &duty)
{
    m_decision.relinquish(duty, m_clock.now());
}

void LeaseKeeper::giveBackAll()
{
    m_decision.relinquishAll(m_clock.now());
}

bool LeaseKeeper::allHandedBack() const
{
    return m_decision.allReleased(m_fold);
}

void LeaseKeeper::onApplied()
{
    m_decision.observe(m_fold, m_clock.now());
}

void LeaseKeeper::tick()
{
    const TimePoint now = m_clock.now();
    const std::optional<LeaseRequest> request = m_decision.takeRequest(m_fold, now);
    if (!request) {
        return;
    }
    const auto done = [self = m_self, poster = m_loop.poster()](Result<Offset> offset) {
        poster.post([self, offset = std::move(offset)] {
            if (*self != nullptr) {
                (*self)->m_decision.recordAnswer(offset, (*self)->m_clock.now());
            }
        });
    };
    const RecordId id =
        m_appender.append(std::string(DutiesStream), std::string(request->kind), dutiesPayload(request->updates), done);
    m_decision.recordSent(id.sequence, now);
}

bool LeaseKeeper::holds(const DutyId &duty, TimePoint now) const
{
    return m_decision.holds(m_fold, duty, now);
}

std::optional<FencingNumber> LeaseKeeper::fencing(const DutyId &duty, TimePoint now) const
{
    return m_decision.fencing(m_fold, duty, now);
}

} // namespace bergamot
