#pragma once

// The appender of one process: assigns each record its id {writer, incarnation, sequence} and sends the requests of an
// `AppendQueue` to the log.
//
//     BatchingAppender appender({.writer = "instance-3", .incarnation = incarnation}, loop, clock, log);
//     appender.append("config", "intent", payload, [](Result<Offset> offset) { ... });
//
// Create exactly one per incarnation of a process: `RecordDedup` relies on the order in which it sends records.

#include <memory>

#include "bergamot/base/clock.h"
#include "bergamot/base/event_loop.h"
#include "bergamot/journal/append_queue.h"
#include "bergamot/journal/appender.h"

namespace bergamot
{

struct BatchingAppenderOptions
{
    std::string writer;
    std::uint64_t incarnation = 0; // different for each start of the writer
    AppendQueueOptions queue;
};

/// Thread-safe. Callbacks run on the loop's thread. Records that are still queued when the appender is destroyed get no
/// callback.
class BatchingAppender final : public Appender
{
public:
    /// `loop`, `clock` and `log` must outlive the appender.
    BatchingAppender(BatchingAppenderOptions options, EventLoop &loop, Clock &clock, Log &log);
    ~BatchingAppender() override;

    /// A resent record may be in the log more than once. The offset passed to `done` is that of one copy; the first
    /// copy, which is the one that readers apply, may have a lower offset.
    RecordId append(const std::string &stream, std::string kind, std::string payload, Callback<Offset> done) override;

private:
    struct Core;
    std::shared_ptr<Core> m_core;
};

} // namespace bergamot
