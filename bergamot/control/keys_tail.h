#pragma once

// Reads this domain's stream of idempotency keys while this instance claims keys for the domain. No other instance
// needs it: the next committer reads the stream when its turn comes.
//
//     KeysTail tail({stream}, fold, {loop, clock, log, appender}, [&] { keys.onApplied(); });
//     tail.setActive(isCommitter);
//     tail.tick();

#include <functional>
#include <memory>

#include "bergamot/base/event_loop.h"
#include "bergamot/journal/appender.h"
#include "bergamot/keys/key_fold.h"
#include "bergamot/membership/log_tail.h"

namespace bergamot
{

/// All outlive the tail.
struct KeysTailParts
{
    EventLoop &loop;
    Clock &clock;
    Log &log;
    Appender &appender;
};

struct KeysTailOptions
{
    std::string stream;
    LogTailOptions logTail;
};

/// Confined to the thread of the loop.
class KeysTail
{
public:
    KeysTail(KeysTailOptions options, KeyFold &fold, KeysTailParts parts, std::function<void()> applied);
    ~KeysTail();
    KeysTail(const KeysTail &) = delete;
    KeysTail &operator=(const KeysTail &) = delete;

    void setActive(bool isActive);
    void tick();
    /// A record of this process is on the log; it is read at once.
    void readSoon();
    /// True if the end of the stream was seen lately.
    bool isCaughtUp() const;

private:
    void read();

    KeysTailParts m_parts;
    StreamReplica m_replica;
    LogTail m_tail;
    std::function<void()> m_appliedEvent;
    bool m_isActive = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace bergamot
