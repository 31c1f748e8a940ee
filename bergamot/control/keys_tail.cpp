#include "bergamot/control/keys_tail.h"

namespace bergamot
{

namespace
{

constexpr std::chrono::milliseconds ReadTimeout{2000};
constexpr StreamReplicaLimits NoPeers{.recentRecords = 0, .recentBytes = 0}; // its records are not passed on

} // namespace

KeysTail::KeysTail(KeysTailOptions options, KeyFold &fold, KeysTailParts parts, std::function<void()> applied)
    : m_parts(parts)
    , m_replica(std::move(options.stream), fold, NoPeers)
    , m_tail(m_replica, options.logTail, Duration::zero())
    , m_appliedEvent(std::move(applied))
{ }

KeysTail::~KeysTail() = default;

void KeysTail::setActive(bool isActive)
{
    m_isActive = isActive;
}

void KeysTail::tick()
{
    if (!m_isActive) {
        return;
    }
    read();
    if (std::optional<std::string> part = m_tail.dueCheckpointPart(m_parts.clock.now())) {
        m_parts.appender.append(m_tail.stream(), std::string(CheckpointKind), std::move(*part), nullptr);
    }
}

void KeysTail::readSoon()
{
    m_tail.readSoon();
    read();
}

bool KeysTail::isCaughtUp() const
{
    return m_isActive && m_tail.isCurrent(m_parts.clock.now());
}

void KeysTail::read()
{
    const std::optional<LogRead> next = m_tail.nextRead(m_parts.clock.now());
    if (!next) {
        return;
    }
    const auto done = [this, poster = m_parts.loop.poster(), alive = std::weak_ptr(m_alive)](Result<LogPage> page) {
        poster.post([this, alive, page = std::move(page)] {
            if (alive.expired()) {
                return;
            }
            const Offset before = m_replica.applied();
            m_tail.pageRead(page, m_parts.clock.now());
            if (m_replica.applied() != before) {
                m_appliedEvent();
            }
            read();
        });
    };
    m_parts.log.read(m_tail.stream(), next->from, next->limit, ReadTimeout, done);
}

} // namespace bergamot
