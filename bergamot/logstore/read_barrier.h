#pragma once

// Decides when the view of a follower contains every record that was in its partition when a caller asked, so that the
// caller may be told that something is not there. It sends nothing itself.
//
//     ReadBarrier barrier;
//     const ReadBarrier::Ticket ticket = barrier.ask(now);
//     if (const auto read = barrier.beginRead(now)) { ... read the end, then call `onEnd` or `onReadFailed` ... }
//     for (const BarrierOutcome &outcome : barrier.takeOutcomes(tail.nextOffset(), now)) { ... }
//
// Load pattern: all instances read a large record at once, so the store's responses queue for more than a second, while
// callers ask every instance for a batch that was accepted a moment ago. The age of the last response then says little
// about the age of the state that it shows. A read that was sent after the question names an end that includes
// everything acknowledged before the question. Questions share reads, which are sent at a bounded rate, so a flood of
// them costs few small reads; a late read does not hold up the questions that come after it.

#include <cstdint>
#include <optional>
#include <vector>

#include "bergamot/base/clock.h"

namespace bergamot::logstore
{

struct ReadBarrierOptions
{
    Duration timeout = std::chrono::milliseconds(1000); // after which a question has failed
    Duration minReadInterval = std::chrono::milliseconds(50); // between the starts of two reads
};

struct BarrierOutcome
{
    std::uint64_t ticket = 0;
    bool confirmed = false; // the view contains every record that was in the partition at the time of the question
};

/// Each question gets exactly one outcome. Not thread-safe.
class ReadBarrier
{
public:
    using Ticket = std::uint64_t;
    using ReadId = std::uint64_t;

    explicit ReadBarrier(ReadBarrierOptions options = {})
        : m_options(options)
    { }

    Ticket ask(TimePoint now);
    /// The read of the partition's end that must be sent now, which counts as sent. Call it after each question and
    /// every 100 ms.
    std::optional<ReadId> beginRead(TimePoint now);
    /// The read named `end` as the end of the partition.
    void onEnd(ReadId read, std::uint64_t end);
    void onReadFailed(ReadId read);
    /// Removes and returns the questions that are decided for a view that contains all records before `nextOffset`.
    std::vector<BarrierOutcome> takeOutcomes(std::uint64_t nextOffset, TimePoint now);

private:
    enum class Stage {
        Waiting, // for the next read
        Reading,
        EndKnown,
        Failed,
    };

    struct Question
    {
        Ticket ticket = 0;
        TimePoint deadline{};
        Stage stage = Stage::Waiting;
        ReadId read = 0; // from stage `Reading` on
        std::uint64_t end = 0;
    };

    ReadBarrierOptions m_options;
    std::vector<Question> m_questions;
    Ticket m_lastTicket = 0;
    ReadId m_lastRead = 0;
    TimePoint m_lastReadAt{};
};

} // namespace bergamot::logstore
