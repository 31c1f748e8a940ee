#pragma once

// The appender of one process: gives each record its id {writer, incarnation, sequence} and runs an `AppendQueue`
// against the log.
//
//     BatchingAppender appender({.writer = "instance-3", .incarnation = incarnation}, loop, clock, log);
//     appender.append("config", "intent", payload, [](Result<Offset> offset) { ... });
//
// One per incarnation of a process: `RecordDedup` relies on the order in which it sends.

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
    std::uint64_t incarnation = 0; // differs for each start of the writer
    AppendQueueOptions queue;
};

/// Thread-safe. Callbacks run on the loop. What is still queued when it goes is never answered.
class BatchingAppender final : public Appender
{
public:
    /// `loop`, `clock` and `log` outlive the appender.
    BatchingAppender(BatchingAppenderOptions options, EventLoop &loop, Clock &clock, Log &log);
    ~BatchingAppender() override;

    /// The offset that `done` gets is that of one copy of the record; the first copy, which counts, may stand lower.
    RecordId append(const std::string &stream, std::string kind, std::string payload, Callback<Offset> done) override;

private:
    struct Core;
    std::shared_ptr<Core> m_core;
};

} // namespace bergamot
