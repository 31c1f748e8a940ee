#pragma once

// Confirms that a follower's view contains every record that was in its partition at the time of a question: the I/O
// around `ReadBarrier`.
//
//     EndConfirmation confirmation(store, "batches", {}, [&](const std::string &reason) { ... });
//     confirmation.ask(tail.nextOffset(), now, [](bool confirmed) { ... });
//     confirmation.advance(tail.nextOffset(), now);  // after each read, and every 100 ms

#include <functional>
#include <map>
#include <string>

#include "bergamot/logstore/log_store.h"
#include "bergamot/logstore/read_barrier.h"

namespace bergamot::logstore
{

/// Must outlive the calls to its store. Not thread-safe.
class EndConfirmation
{
public:
    /// `readFailed` receives the reason why the end of the partition is not known.
    EndConfirmation(LogStore &store,
                    std::string topic,
                    ReadBarrierOptions options,
                    std::function<void(const std::string &reason)> readFailed);

    /// Calls `done` once, never from within: with true if the view contains all records that are in the partition now,
    /// with false if that is not known in time.
    void ask(std::uint64_t nextOffset, TimePoint now, std::function<void(bool confirmed)> done);
    /// The view contains all records before `nextOffset`. Sends the read that is due, and calls what is decided.
    void advance(std::uint64_t nextOffset, TimePoint now);
    /// Number of questions without an outcome.
    std::size_t waiting() const;

private:
    void sendRead(TimePoint now);
    void reportOutcomes(TimePoint now);

    LogStore &m_store;
    std::string m_topic;
    ReadBarrier m_barrier;
    std::function<void(const std::string &)> m_readFailedHandler;
    std::map<ReadBarrier::Ticket, std::function<void(bool)>> m_handlers;
    std::uint64_t m_nextOffset = 0;
};

} // namespace bergamot::logstore
