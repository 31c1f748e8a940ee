#pragma once

// A simulated log with random faults, for property tests of folds: lost answers, appends that take effect late,
// outages, short retention, and clients that are disconnected, paused or restarted. Deterministic for a seed; time is
// virtual.
//
//     RandomLog log(seed, "duties", std::make_unique<LeaseFold>());
//     RandomLogClient client(log, "instance-1", 1, fold);
//     log.advance(50ms);
//     client.step();

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/journal/append_queue.h"
#include "bergamot/journal/appender.h"
#include "bergamot/journal/checkpoint_timer.h"
#include "bergamot/journal/stream_follower.h"
#include "bergamot/standins/log_core.h"

namespace bergamot
{

/// Fault rates: each `std::uint32_t` is the average number of steps between two faults of its kind.
struct RandomFaults
{
    std::uint32_t outage = 600; // the log becomes unavailable
    Duration longestOutage = std::chrono::seconds(15);
    std::uint32_t pause = 300; // a client is paused
    Duration longestPause = std::chrono::seconds(10);
    std::uint32_t cut = 500; // a client is disconnected from the log
    std::uint32_t heal = 100; // a disconnected client is connected again
};

/// One stream, and a reference fold that applies every record when it is appended.
class RandomLog
{
public:
    RandomLog(std::uint64_t seed, std::string stream, std::unique_ptr<StreamFold> reference);

    /// Moves the clock on and runs the events that are due.
    void advance(Duration step);
    /// Runs `event` after `delay`.
    void after(Duration delay, std::function<void()> event);
    /// Randomly starts an outage, which ends after a random time.
    void injectFaults(const RandomFaults &faults);
    Result<Offset> append(std::vector<Record> records);
    Result<LogPage> read(Offset from);
    /// The state of the reference fold after the record at `offset`.
    const std::string &stateAt(Offset offset) const;

    /// Returns true once in `times` calls on average.
    bool oneIn(std::uint32_t times);
    /// Returns a random duration in [`min`, `max`).
    Duration between(Duration min, Duration max);

    const std::string stream;
    ManualClock clock;
    bool out = false; // true while the log is unavailable
    std::mt19937_64 random;

private:
    LogCore m_core;
    std::unique_ptr<StreamFold> m_reference;
    std::map<Offset, std::string> m_states; // state of the reference fold by offset
    std::multimap<TimePoint, std::function<void()>> m_events; // scheduled events by time
};

/// A process that uses the log: appends through an `AppendQueue`, follows the stream and writes checkpoints.
class RandomLogClient final : public Appender
{
public:
    /// `log` and `fold` must outlive the client.
    RandomLogClient(RandomLog &log, std::string writer, std::uint64_t incarnation, StreamFold &fold);
    ~RandomLogClient() override;

    RecordId append(const std::string &stream, std::string kind, std::string payload, Callback<Offset> done) override;
    /// Handles the answers received since the last step and sends what is due. Returns true if the fold has advanced.
    /// Does nothing while paused.
    bool step();
    /// Randomly pauses, disconnects or reconnects this client.
    void injectFaults(const RandomFaults &faults);
    bool paused() const;
    /// Returns true if the fold's state differs from the reference fold's at the same offset.
    bool diverged() const;
    bool caughtUp() const;

    bool cutOff = false; // true while disconnected from the log
    TimePoint pausedUntil;

private:
    struct Inbox;

    void send(AppendRequest request);
    void startRead();
    void updateCheckpointState(const StoredRecord &stored);
    void appendCheckpointIfDue();

    RandomLog &m_log;
    const std::string m_writer;
    const std::uint64_t m_incarnation;
    StreamFold &m_fold;
    AppendQueue m_queue;
    StreamFollower m_follower;
    CheckpointTimer m_timer;
    CheckpointAssembler m_checkpointParts;
    std::uint64_t m_bytesSinceCheckpoint = 0; // payload bytes of records read after the newest checkpoint
    std::uint64_t m_sequence = 0;
    bool m_reading = false; // true while a read is in flight
    std::shared_ptr<Inbox> m_inbox; // shared with events that may outlive the client
};

} // namespace bergamot
