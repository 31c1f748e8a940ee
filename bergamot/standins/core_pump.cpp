#include "bergamot/standins/endpoint_servers.h"

namespace bergamot
{

namespace
{

constexpr std::chrono::milliseconds ReopenPeriod{50};

} // namespace

CorePump::CorePump(EventLoop &loop, StandinPort &port, std::function<void()> pump)
    : m_loop(loop)
    , m_port(port)
    , m_pump(std::move(pump))
{ }

void CorePump::changed(std::optional<TimePoint> nextDue, bool down)
{
    if (down && !m_closed) {
        m_port.goDown();
        m_closed = true;
    }
    if (!down && m_closed) {
        m_closed = !m_port.comeBack();
    }
    if (m_closed && !down) {
        nextDue = BootClock::now() + ReopenPeriod; // the port is still taken
    }
    if (!nextDue || (m_scheduled && *m_scheduled <= *nextDue)) {
        return;
    }
    m_scheduled = nextDue;
    m_loop.postAfter(*nextDue - BootClock::now(), [this, due = *nextDue] {
        if (m_scheduled == due) {
            m_scheduled.reset();
        }
        m_pump();
    });
}

} // namespace bergamot
